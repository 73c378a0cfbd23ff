Feature: Which target is asked next
  The targets a and b stand in the own availability zone, c in another one.

  Scenario: The own zone is asked while it is fast enough
    Given targets in zones "a:near c:far"
    When "a" replies in 60 ms, 20 times
    Then the next request goes to "a"

  Scenario: A far target is asked where the near one is too slow
    Given targets in zones "a:near c:far"
    When "a" replies in 400 ms, 20 times
    Then the next request goes to "c"

  Scenario: Slowness is forgotten when nothing is asked of a target
    Given targets in zones "a:near c:far"
    When "a" replies in 400 ms, 20 times
    And 20 seconds pass at the targets
    Then the next request goes to "a"

  Scenario: Pauses of one target: work goes elsewhere while it stands still
    Given targets in zones "a:near c:far"
    When "a" has a request under way for 150 ms
    Then the next request goes to "c"

  Scenario: Pauses of one target: one request finds out that it is over
    Given targets in zones "a:near c:far"
    When "a" stayed silent for 150 ms
    Then the next request goes to "c"
    When 0.07 seconds pass at the targets
    Then the next request goes to "a"
    When "a" has a request under way for 1 ms
    Then the next request goes to "c"
    When "a" replies in 40 ms, 1 times
    Then the next request goes to "a"

  Scenario: Pauses of one target: it is tried less often while it stays silent
    Given targets in zones "a:near c:far"
    When "a" stayed silent for 150 ms
    And 0.2 seconds pass at the targets
    And "a" stayed silent for 150 ms
    And 0.07 seconds pass at the targets
    Then the next request goes to "c"
    When 0.2 seconds pass at the targets
    Then the next request goes to "a"

  Scenario: A shed or failed request speaks against a target for a while
    Given targets in zones "a:near b:near"
    When "a" fails 3 times
    Then the next request goes to "b"
    When 30 seconds pass at the targets
    Then chance decides between "a" and "b"

  Scenario: A target that cannot be reached gets nothing for a moment
    Given targets in zones "a:near"
    When no connection to "a" can be opened
    Then the next request goes nowhere
    When 0.3 seconds pass at the targets
    Then the next request goes to "a"

  Scenario: A full target is passed over
    Given targets in zones "a:near b:near"
    When "a" reports 4 running and 9 waiting of 4 slots
    Then the next request goes to "b"
    When 1 seconds pass at the targets
    Then chance decides between "a" and "b"

  Scenario: Connections are shared with the instances of other zones
    Then of 41 connections of a near target, 2 near and 7 far instances get 10 and 1 each
    And of 41 connections of a near target, 0 near and 7 far instances get 0 and 4 each
    And all shares together stay below the limit
