Feature: Published routes on real connections

  Scenario: A request goes to one target, and its reply comes back whole
    Given a plain route to 2 targets
    When a caller asks for "/one/x?q=1"
    Then the answer has the status 200 and the body of a target
    And the target was told its name, what is left of the time, and the caller's id

  Scenario: A gathered answer has the greatest records of all shards
    Given a gather route over 3 shards of 2 targets
    When a caller asks for "/all/x"
    Then the answer has 3 parts, lacks 0, and the greatest records

  Scenario: A gathered answer says what it lacks
    Given a gather route over 3 shards of 2 targets
    And all targets of one shard crash
    When a caller asks for "/all/x"
    Then the answer has 2 parts, lacks 1, and the greatest records

  Scenario: With too few parts there is no success
    Given a gather route over 3 shards of 1 targets
    And 2 shards fail what they run
    When a caller asks for "/all/x"
    Then the answer has the status 502

  Scenario: Where no shard has a target the caller is told so at once
    Given a gather route over 3 shards of 0 targets
    When a caller asks for "/all/x"
    Then the answer has the status 503
    And it says when to come back

  Scenario: A path without a route
    Given a plain route to 1 targets
    When a caller asks for "/other/x"
    Then the answer has the status 404

  Scenario Outline: A reply that is not the target's whole answer is never passed on
    Given a plain route to 2 targets
    And all targets have the fault "<fault>"
    When a caller asks for "/one/x"
    Then the answer has the status <status>

    Examples:
      | fault    | status |
      | lose     | 502    |
      | truncate | 502    |
      | garble   | 502    |
      | encoded  | 502    |
      | unsigned | 502    |
      | fail     | 500    |
      | shed     | 503    |

  Scenario: One target that fails is made up for by another
    Given a plain route to 2 targets
    And one target has the fault "fail"
    When 20 callers ask for "/one/x" one after the other
    Then every answer has the status 200

  Scenario Outline: Bytes that belong to no request reach no caller
    Given a plain route to 1 targets
    And all targets have the fault "<fault>"
    When 5 callers ask for "/one/x" one after the other
    Then every answer is that of its own request

    Examples:
      | fault      |
      | repeat     |
      | late_extra |

  Scenario Outline: A booking runs at most once, and "not run" is true
    Given a plain route to 3 targets for requests that run once
    And all targets have the fault "<fault>"
    When a caller books at "/one/x"
    Then the answer has the status <status>
    And it ran <count> times

    Examples:
      | fault | status | count |
      | none  | 200    | 1     |
      | lose  | 502    | 1     |
      | shed  | 503    | 0     |

  Scenario: A caller that goes away takes its work with it
    Given a gather route over 3 shards of 1 targets
    And all targets have the fault "silent"
    When a caller asks for "/all/x" and leaves
    Then every target notices

  Scenario: What cannot be answered in time is answered when the time is over
    Given a plain route to 1 targets
    And all targets have the fault "silent"
    When a caller asks for "/one/x" and waits 200 ms
    Then the answer has the status 504

  Scenario: Another target at the address says so and runs nothing
    Given a plain route to 1 targets
    And its address is listed under another name
    When a caller asks for "/one/x"
    Then the answer has the status 503
    And it ran 0 times

  Scenario: Entries of another writer name no target, the others hold
    Given a plain route to 1 targets
    And the store has entries that cannot be read
    When a caller asks for "/one/x"
    Then the answer has the status 200 and the body of a target

  Scenario: A configuration that cannot be read changes nothing
    Given a plain route to 1 targets
    And the operator's key holds something else
    When a caller asks for "/one/x"
    Then the answer has the status 200 and the body of a target

  Scenario Outline: What the store does, callers are served on
    Given a plain route to 1 targets
    When the store turns <mode>
    And a caller asks for "/one/x"
    Then the answer has the status 200 and the body of a target

    Examples:
      | mode    |
      | busy    |
      | limited |
      | silent  |

  Scenario: What was observed of a route goes with it
    Given a plain route to 1 targets
    And a caller has asked for "/one/x"
    When the route moves to "/moved/"
    Then nothing is held of the former route

  Scenario: History that is gone is made up for by a whole read
    Given a plain route to 1 targets
    When the store is busy while the route moves, and forgets its history
    Then the instance serves the moved route

  Scenario: A version reaches an instance that the store turns away
    Given a plain route to 1 targets
    And a second instance, which the store turns away from then on
    When the operator publishes version 9
    Then both instances have version 9

  Scenario: An instance that starts while the store is away asks its peers
    Given a plain route to 1 targets
    When the store turns busy
    And a second instance is started
    Then both instances have version 1

  Scenario: An instance that starts while the store is away serves what its peers know
    Given a plain route to 2 targets
    When the store turns busy
    And a second instance is started
    And a caller asks the second instance for "/one/x"
    Then the answer has the status 200 and the body of a target

  Scenario: An instance that knows no targets is not ready and not advised
    Given a plain route to 1 targets
    And the first instance has forgotten its targets while the store is away
    When a second instance learns the routes alone
    Then the second instance says that it is not ready

  Scenario: An instance that the store turns away learns of targets from its peers
    Given a plain route to 2 targets
    And a second instance, which the store turns away from then on
    When one more target is listed, one drains and one is gone
    Then the second instance lists the same targets as the first

  Scenario: A watch that a silent store forgot is given up in time
    Then within 4 s of a silent store's return a watch has been asked for anew

  Scenario: An instance that knows nothing asks a silent store again soon
    Then within 2 s it has asked a silent store 3 times, the last time for longest

  Scenario: A fault of this program does not stop the instance from following
    Given a plain route to 1 targets
    When one change makes the program fail
    And the operator publishes version 3
    Then the instance has version 3

  Scenario: A draining target gets nothing new
    Given a plain route to 2 targets
    When one target is listed as draining
    And 10 callers ask for "/one/x" one after the other
    Then the draining target ran nothing

  Scenario: Callers are told of all live instances, and not of one that leaves
    Given a plain route to 1 targets
    And a second instance
    Then the directory names 2 addresses
    When the second instance is told to end
    Then the directory names 1 addresses
    And the second instance says that it is not ready

  Scenario: A graceful shutdown cuts nothing off
    Given a plain route to 1 targets
    And its targets take 300 ms
    When 5 callers ask for "/one/x" at once and the instance is told to end
    Then every answer has the status 200
    And the instance ends by itself
