Feature: Loops of an instance

  Scenario: A loop that fails is run again, and one that ends is not
    Given a loop that fails 2 times and then ends
    When it is kept running
    Then it was begun 3 times and 2 faults are in the log

  Scenario: A fault of this program does not stop an instance from watching
    Given a platform
    And service "reservas" with 2 shards and 2 replicas each
    And 1 instance that is ready
    When one change makes an instance fail
    And operators publish version 3 of "reservas"
    Then the instances serve version 3 of "reservas"
