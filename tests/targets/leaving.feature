Feature: A target that is leaving gets nothing new

  Background:
    Given a platform
    And service "reservas" with 2 shards and 3 replicas each
    And 1 instance that is ready

  Scenario: The target says so itself
    Given target "s00-0" drains
    When callers search "reservas" until the sign of "s00-0" is seen
    And a caller searches "reservas" 20 times
    Then "s00-0" got nothing since
    And every answer covers 2 of 2 shards

  Scenario: Operators publish it
    When operators publish that "s00-0" of "reservas" is leaving
    And the instances serve version 2 of "reservas"
    And a caller searches "reservas" 20 times
    Then "s00-0" got nothing since

  Scenario: Its health says that it serves, while it drains
    Given target "s00-0" drains
    And the health of "s00-0" falsely says that it serves
    When callers search "reservas" until the sign of "s00-0" is seen
    And a caller searches "reservas" 20 times
    Then "s00-0" got nothing since

  Scenario: It starts again and serves again
    Given target "s00-0" drains
    When callers search "reservas" until the sign of "s00-0" is seen
    And "s00-0" starts again
    Then "s00-0" gets work again
