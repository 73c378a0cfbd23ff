Feature: A large fleet on unequal machines
  Callers use the largest instances of their availability zone while these can
  carry the load, since a small one takes long to gather the replies of many
  shards.

  Scenario: Callers are advised of the large instances of their zone
    Given 2 instances of capacity 4000 and 30 of capacity 900 in "a"
    And 0 instances of capacity 4000 and 3 of capacity 900 in "b"
    Then callers of "a" are advised of 2 instances of capacity 4000
    And callers of "b" are advised of 3 instances of capacity 900

  Scenario: Equal instances are all advised
    Given 9 instances of capacity 2000 and 0 of capacity 900 in "a"
    Then callers of "a" are advised of 9 instances of capacity 2000

  Scenario: A single large instance is not advised alone
    Given 1 instances of capacity 4000 and 5 of capacity 900 in "a"
    Then callers of "a" are advised of 6 instances

  Scenario: Once too few large instances are not busy, all instances are advised
    Given 2 instances of capacity 4000 and 30 of capacity 900 in "a"
    When a large instance is busy
    Then callers of "a" are advised of 32 instances

  Scenario: A large instance that is gone is no longer advised
    Given 3 instances of capacity 4000 and 30 of capacity 900 in "a"
    When a large instance is gone
    Then callers of "a" are advised of 2 instances of capacity 4000

  Scenario: Advised instances share connections and extra load among themselves
    Given 2 instances of capacity 4000 and 30 of capacity 900 in "a"
    And 2 instances of capacity 4000 and 22 of capacity 900 in "b"
    Then a large instance shares the limits with 4 instances
    And a small instance shares the limits with 56 instances

  Scenario: All instances together stay within the slack of the extra load
    Given 2 instances of capacity 4000 and 30 of capacity 900 in "a"
    And 2 instances of capacity 4000 and 22 of capacity 900 in "b"
    Then the initial tokens of all instances are at most 212 of 212

  Scenario Outline: An instance is busy above half of its capacity, for a while
    Given an instance of capacity 1000
    When it sends <rate> sub-requests a second for 3 s
    Then it <first>
    When it sends 0 sub-requests a second for 20 s
    Then it <first>
    When it sends 0 sub-requests a second for 15 s
    Then it is not busy

    Examples:
      | rate | first       |
      | 400  | is not busy |
      | 600  | is busy     |

  Scenario: An instance of unknown capacity is never busy
    Given an instance of capacity 0
    When it sends 9000 sub-requests a second for 3 s
    Then it is not busy

  Scenario: Peers believe an instance that becomes busy
    Given 2 instances of capacity 4000 and 3 of capacity 900 in "a"
    When a large instance announces that it is busy
    Then its peers know it as busy
