Feature: Choice of the target for the next request
  Targets a and b are in the availability zone of the instance, c in another.

  Scenario: The own zone is preferred while it is fast enough
    Given targets in zones "a:near c:far"
    When "a" replies in 60 ms, 20 times
    Then the next request goes to "a"

  Scenario: A far target is chosen when the near one is too slow
    Given targets in zones "a:near c:far"
    When "a" replies in 400 ms, 20 times
    Then the next request goes to "c"

  Scenario: The slowness of a target without requests decays
    Given targets in zones "a:near c:far"
    When "a" replies in 400 ms, 20 times
    And 20 seconds pass at the targets
    Then the next request goes to "a"

  Scenario: Pauses of one target: requests go elsewhere while it is stalled
    Given targets in zones "a:near c:far"
    When "a" has a request in flight for 150 ms
    Then the next request goes to "c"

  Scenario: Pauses of one target: a single request probes whether it is over
    Given targets in zones "a:near c:far"
    When "a" did not respond for 150 ms
    Then the next request goes to "c"
    When 0.07 seconds pass at the targets
    Then the next request goes to "a"
    When "a" has a request in flight for 1 ms
    Then the next request goes to "c"
    When "a" replies in 40 ms, 1 times
    Then the next request goes to "a"

  Scenario Outline: Pauses of one target: any response shows that it is over
    Given targets in zones "a:near c:far"
    When "a" did not respond for 150 ms
    And 0.07 seconds pass at the targets
    And "a" has a request in flight for 1 ms
    Then target "a" seems stalled
    When "a" <response>
    Then target "a" does not seem stalled

    Examples:
      | response                    |
      | responds with a failure     |
      | sheds a request             |
      | replies in 40 ms, 1 times   |

  Scenario: Pauses of one target: probes back off while it does not respond
    Given targets in zones "a:near c:far"
    When "a" did not respond for 150 ms
    And 0.2 seconds pass at the targets
    And "a" did not respond for 150 ms
    And 0.07 seconds pass at the targets
    Then the next request goes to "c"
    When 0.2 seconds pass at the targets
    Then the next request goes to "a"

  Scenario: A shed or failed request penalizes a target for a while
    Given targets in zones "a:near b:near"
    When "a" fails 3 times
    Then the next request goes to "b"
    When 30 seconds pass at the targets
    Then a random choice is made between "a" and "b"

  Scenario: An unreachable target gets no requests for a short time
    Given targets in zones "a:near"
    When no connection to "a" can be opened
    Then the next request has no target
    When 0.3 seconds pass at the targets
    Then the next request goes to "a"

  Scenario: A target without free slots is not chosen
    Given targets in zones "a:near b:near"
    When "a" reports 4 running and 9 waiting of 4 slots
    Then the next request goes to "b"
    When 1 seconds pass at the targets
    Then a random choice is made between "a" and "b"

  Scenario: Connections are divided among the instances of all zones
    Then of 41 connections of a near target, 2 near and 7 far instances get 10 and 1 each
    And of 41 connections of a near target, 0 near and 7 far instances get 0 and 4 each
    And all shares together stay below the limit

  Scenario: A target that asked for a time without requests gets none meanwhile
    Given targets in zones "a:near"
    When "a" wants no requests for 5 s
    Then no target is chosen for 4.9 s
    And "a" is chosen after 5.1 s

  Scenario: A failure to connect does not shorten the time that a target asked for
    Given targets in zones "a:near"
    When "a" wants no requests for 5 s
    And no connection to "a" can be opened
    Then no target is chosen for 4.9 s

  Scenario: A target that asks for an absurd time is probed after a minute
    Given targets in zones "a:near"
    When "a" wants no requests for 1e11 s
    Then no target is chosen for 59.9 s
    And "a" is chosen after 60.1 s
