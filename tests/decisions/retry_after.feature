Feature: When callers whose request was refused may come back

  Scenario Outline: An outage is expected to last as long again, within bounds
    Then after <passed> s of an outage a caller is told between <least> and <most> s

    Examples:
      | passed | least | most  |
      | 0.4    | 0.75  | 1.25  |
      | 1.6    | 1.2   | 2.0   |
      | 60     | 1.5   | 2.5   |

  Scenario: What has just been asked for the first time may be there at once
    Then 0.01 s after a start a caller is told between 0.075 and 0.125 s

  Scenario: Callers of one outage do not all return together
    Then 100 callers of an outage of 1.2 s are told at least 70 different times

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
