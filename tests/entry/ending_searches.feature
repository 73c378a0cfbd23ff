Feature: Searches that end the targets that run them

  # Guards against: a search of the project's own interface is sent to target
  # after target, and again by each caller that repeats it.
  Scenario: A search that ends its targets stops reaching them
    Given a platform
    And service "reservas" with 4 shards and 3 replicas each
    And 3 instances that are ready
    And each target ends when it runs a search for "deadly", and is back later
    When a search for "deadly" is sent 8 times, to the instances in turn
    Then at most 7 targets of the service ended
