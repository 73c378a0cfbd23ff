Feature: Retry times of callers whose request was refused

  Scenario Outline: An outage is expected to last as long again, within bounds
    Then after <elapsed> s of an outage the retry time is between <min> and <max> s

    Examples:
      | elapsed | min  | max  |
      | 0.4     | 0.75 | 1.25 |
      | 1.6     | 1.2  | 2.0  |
      | 60      | 1.5  | 2.5  |

  Scenario: The retry time is short right after a start, while nothing has failed
    Then 0.01 s after a start the retry time is between 0.075 and 0.125 s

  Scenario: Callers refused during one outage do not all return at once
    Then 100 callers of an outage of 1.2 s get at least 70 different retry times

  Scenario: With enough shards, the slowest one that is needed sets the retry time
    Given shards that have capacity after 0.1, 0.2, 0.3 and 1.0 s
    Then for a caller that needs 3 of them the retry time is between 0.225 and 0.375 s

  Scenario: Without a target for enough shards, no retry time is estimated
    Given shards that have capacity after 0.1, 0.2, inf and inf s
    Then for a caller that needs 3 of them no retry time is estimated

  Scenario: A blocked target has capacity once its block ends
    Given a target that is blocked for 0.5 s and one that is not
    Then the service has capacity at once
    When both are blocked for 0.5 s
    Then the service has capacity after 0.5 s

  Scenario: A full target has capacity after the requests ahead are processed
    Given a target with 4 slots that runs 4 requests, with 4 waiting
    Then the service has capacity after 0.045 s
