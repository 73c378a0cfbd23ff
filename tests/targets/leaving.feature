Feature: A leaving target receives no new requests

  Background:
    Given a platform
    And service "reservas" with 2 shards and 3 replicas each
    And 1 instance that is ready

  Scenario: The target reports that it drains
    Given target "s00-0" drains
    When callers search "reservas" until the sign of "s00-0" is seen
    And a caller searches "reservas" 20 times
    Then "s00-0" got nothing since
    And every answer covers 2 of 2 shards

  Scenario: Operators publish that the target is leaving
    When operators publish that "s00-0" of "reservas" is leaving
    And the instances serve version 2 of "reservas"
    And a caller searches "reservas" 20 times
    Then "s00-0" got nothing since

  Scenario: The health endpoint reports that a draining target serves
    Given target "s00-0" drains
    And the health of "s00-0" falsely says that it serves
    When callers search "reservas" until the sign of "s00-0" is seen
    And a caller searches "reservas" 20 times
    Then "s00-0" got nothing since

  Scenario: A restarted target receives requests again
    Given target "s00-0" drains
    When callers search "reservas" until the sign of "s00-0" is seen
    And "s00-0" starts again
    Then "s00-0" gets work again
