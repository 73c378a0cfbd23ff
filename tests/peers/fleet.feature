Feature: Many instances act together

  Background:
    Given a platform
    And service "reservas" with 2 shards and 2 replicas each

  Scenario: A new configuration is in force everywhere
    Given 4 instances that are ready
    When operators publish version 2 of "reservas"
    Then the instances serve version 2 of "reservas"

  Scenario: A slow configuration service delays a change and loses none
    Given 3 instances that are ready
    And the configuration service takes 0.5 seconds
    When operators publish version 2 of "reservas"
    Then the instances serve version 2 of "reservas"

  Scenario: A list of instances that lags is made up for by the instances
    Given 2 instances that are ready
    When "entry-9" starts, which the list does not name
    Then every instance is believed alive again

  Scenario: Peers carry a configuration that the service cannot give
    Given 3 instances that are ready
    And the configuration service is down
    When one instance has version 2 of "reservas"
    Then the instances serve version 2 of "reservas"

  Scenario: A restart beside a stale service does not revert
    Given 3 instances that are ready
    And the configuration service shows the present for ever
    When one instance has version 5 of "reservas"
    And the instances serve version 5 of "reservas"
    And "entry-0" is killed and starts again
    Then "entry-0" never serves callers with less than version 5 of "reservas"

  Scenario Outline: A document that is refused leaves the good one in force
    Given 2 instances that are ready
    When operators publish version 3 of "reservas"
    And the instances serve version 3 of "reservas"
    And operators publish <fault> in "reservas"
    Then every instance logs that it was refused as "<outcome>"
    And the instances serve version 3 of "reservas"

    Examples:
      | fault             | outcome  |
      | an older version  | older    |
      | the same version  | conflict |
      | a wrong type      | invalid  |
      | a gap in a map    | invalid  |
      | no JSON           | invalid  |
      | a reused epoch    | invalid  |
      | a repartition that moves homes at the same epoch | invalid |

  Scenario: An instance that dies is given up and not advised
    Given 4 instances that are ready
    And every instance is believed alive
    When "entry-2" is killed
    Then no instance advises "entry-2"

  Scenario: An instance that leaves is not advised and cuts nothing off
    Given every target takes 0.4 seconds
    And 3 instances that are ready
    And every instance is believed alive
    When 20 searches are under way at "entry-1" and it is told to leave
    Then no instance advises "entry-1"
    And all 20 searches are answered in full
    And "entry-1" ends by itself

  Scenario: A split fleet finds itself again
    Given 3 instances that are ready
    And every instance is believed alive
    When "entry-0" and the others lose each other and give each other up
    Then every instance is believed alive again

  Scenario: A peer's word keeps bookings going while the service is down
    Given 2 instances that are ready
    When only "entry-0" can reach the configuration service
    Then "entry-1" gets a confirmation that is newer than this moment

  Scenario Outline: A message of a peer that is not understood
    Given 1 instance that is ready
    When a peer sends the message "<message>"
    Then the link is closed and the instance logs "<code>"
    And the instance still serves

    Examples:
      | message                  | code   |
      | another protocol version | CT-401 |
      | an unknown type          | CT-401 |
      | a wrong field            | CT-401 |
      | no CBOR                  | CT-401 |

  Scenario: A message of a peer that is too large
    Given 1 instance that is ready
    When a peer sends 3000000 bytes
    Then the instance still serves
