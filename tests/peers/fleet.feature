Feature: Instances exchange configurations and membership

  Background:
    Given a platform
    And service "reservas" with 2 shards and 2 replicas each

  Scenario: Every instance adopts a new configuration
    Given 4 instances that are ready
    When operators publish version 2 of "reservas"
    Then the instances serve version 2 of "reservas"

  Scenario: A slow configuration service delays a change but does not lose it
    Given 3 instances that are ready
    And the configuration service takes 0.5 seconds
    When operators publish version 2 of "reservas"
    Then the instances serve version 2 of "reservas"

  Scenario: Gossip finds an instance that is missing from a stale list
    Given 2 instances that are ready
    When "entry-9" starts and is missing from the instance list
    Then every instance lists all instances as alive again

  Scenario: Peers pass on a configuration while the service is down
    Given 3 instances that are ready
    And the configuration service is down
    When one instance adopts version 2 of "reservas"
    Then the instances serve version 2 of "reservas"

  Scenario: A restart with a stale service does not revert the configuration
    Given 3 instances that are ready
    And the configuration service serves only its current state from now on
    When one instance adopts version 5 of "reservas"
    And the instances serve version 5 of "reservas"
    And "entry-0" is killed and starts again
    Then "entry-0" becomes ready only with version 5 of "reservas"

  Scenario Outline: A rejected document does not replace the current one
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

  Scenario: A killed instance is not advised to callers
    Given 4 instances that are ready
    And every instance lists all instances as alive
    When "entry-2" is killed
    Then no other instance advises callers to use "entry-2"

  Scenario: A draining instance is not advised and completes its requests
    Given every target takes 0.4 seconds
    And 3 instances that are ready
    And every instance lists all instances as alive
    When 20 searches are in flight at "entry-1" and it starts to drain
    Then no other instance advises callers to use "entry-1"
    And all 20 searches are answered with complete coverage
    And "entry-1" shuts down without an error

  Scenario: The fleet reconnects after a partition
    Given 3 instances that are ready
    And every instance lists all instances as alive
    When a partition separates "entry-0" from the others until all are marked gone
    Then every instance lists all instances as alive again

  Scenario: A peer confirms the configuration so that bookings continue without the service
    Given 2 instances that are ready
    When only "entry-0" can reach the configuration service
    Then the configuration of "entry-1" is confirmed after this moment

  Scenario Outline: An invalid message from a peer closes the link
    Given 1 instance that is ready
    When a peer sends the message "<message>"
    Then the link is closed and the instance logs "<code>"
    And the instance still answers searches

    Examples:
      | message                          | code   |
      | another protocol version         | CT-401 |
      | a map, as earlier builds sent    | CT-401 |
      | a message type that is no number | CT-401 |
      | a message without a type         | CT-401 |
      | a field of a wrong type          | CT-401 |
      | a missing field                  | CT-401 |
      | invalid CBOR                     | CT-401 |

  Scenario: A message type and fields of a later build are ignored
    Given 2 instances that are ready
    And every instance lists all instances as alive
    When a peer sends an unknown message type, then a ping with further fields
    Then the ping is answered

  Scenario: A message from a peer that is too large
    Given 1 instance that is ready
    When a peer sends a message of 3000000 bytes
    Then the instance still answers searches
