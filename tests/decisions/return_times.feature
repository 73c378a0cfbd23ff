Feature: When callers whose request was refused may come back

  Scenario Outline: An outage is expected to last as long again, within bounds
    Then after an outage of <passed> s a caller is told between <least> and <most> s

    Examples:
      | passed | least | most |
      | 0      | 0.015 | 0.025 |
      | 0.4    | 0.3   | 0.5  |
      | 60     | 1.5   | 2.5  |

  Scenario: Callers of one outage do not all return together
    Then 100 callers of an outage of 0.4 s are told at least 70 different times

  Scenario: Where enough shards have room again, the slowest that is needed counts
    Given shards that take a request after 0.1, 0.2, 0.3 and 1.0 s
    Then a caller that needs 3 of them is told between 0.225 and 0.375 s

  Scenario: Where too few shards have a target at all, nothing is made up
    Given shards that take a request after 0.1, 0.2, inf and inf s
    Then a caller that needs 3 of them is told what the table says

  Scenario: A target that is avoided is counted from when it is asked again
    Given a target that is avoided for 0.5 s and one that is not
    Then the service has room at once
    When both are avoided for 0.5 s
    Then the service has room after 0.5 s

  Scenario: A full target has room when what is before it is done
    Given a target with 4 slots that runs 4 requests, with 4 waiting
    Then the service has room after 0.045 s
