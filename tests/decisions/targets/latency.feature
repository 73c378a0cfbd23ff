Feature: Quantiles of observed latencies

  Scenario: Each caller gets its own default while there are too few samples
    Given a latency window without samples
    Then the 95th percentile with the default 40 ms is 40 ms
    And the 95th percentile with the default 900 ms is 900 ms

  Scenario: A quantile does not depend on the default once there are samples
    Given a latency window with 100 replies of 20 ms
    Then the 95th percentile with the default 40 ms is 20 ms
    And the 95th percentile with the default 900 ms is 20 ms
