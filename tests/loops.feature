Feature: Loops of an instance

  Scenario: A loop that fails is restarted, and one that ends is not
    Given a loop that fails 2 times and then ends
    When it is run with restarts
    Then it was started 3 times and 2 errors are logged

  Scenario: An unexpected error does not stop an instance from watching
    Given a platform
    And service "reservas" with 2 shards and 2 replicas each
    And 1 instance that is ready
    When an instance fails to process one change
    And operators publish version 3 of "reservas"
    Then the instances serve version 3 of "reservas"
