Feature: Instances that rely on delegates

  Scenario: Changes come from a delegate, without a call to the store
    Given only "entry-0" is a delegate
    And a plain route to 2 targets
    And a second instance, which relies on peers
    When the operator publishes version 4
    And one target is added, one is draining and one is removed
    Then both instances have version 4
    And the second instance lists the same targets as the first
    And the second instance has made no call meanwhile

  Scenario: The store is asked once what peers tell is old
    Given no instance is a delegate
    And what peers tell is old after 0.1 s
    And a plain route to 2 targets
    And a second instance, which relies on peers
    When the operator publishes version 4
    Then both instances have version 4

  Scenario: Routes that belong to what a peer sent are read if no peer sends them
    Given only "entry-0" is a delegate
    And a plain route to 2 targets
    And a second instance, which relies on peers
    And peers send no routes
    And what peers tell is old after 0.1 s
    When the operator publishes version 4
    Then both instances have version 4
