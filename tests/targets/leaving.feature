Feature: A leaving target receives no new requests

  Background:
    Given a platform
    And service "reservas" with 2 shards and 3 replicas each
    And 1 instance that is ready

  Scenario: The target reports that it drains
    Given target "s00-0" is draining
    When callers search "reservas" until the instance excludes "s00-0"
    And a caller searches "reservas" 20 times
    Then "s00-0" has received no requests since then
    And every answer covers 2 of 2 shards

  Scenario: Operators publish that the target is leaving
    When operators publish that "s00-0" of "reservas" is leaving
    And the instances serve version 2 of "reservas"
    And a caller searches "reservas" 20 times
    Then "s00-0" has received no requests since then

  Scenario: The health endpoint reports that a draining target serves
    Given target "s00-0" is draining
    And the health endpoint of "s00-0" wrongly reports that it serves
    When callers search "reservas" until the instance excludes "s00-0"
    And a caller searches "reservas" 20 times
    Then "s00-0" has received no requests since then

  Scenario: A restarted target receives requests again
    Given target "s00-0" is draining
    When callers search "reservas" until the instance excludes "s00-0"
    And "s00-0" starts again
    Then "s00-0" receives requests again
