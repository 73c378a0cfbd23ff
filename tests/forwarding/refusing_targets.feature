Feature: Targets that want no further requests

  Scenario: A target that says it is leaving receives nothing new
    Given a plain route to 2 targets
    And its targets take 20 ms
    And one target says in its replies that it is leaving
    When 10 callers request "/one/x" at once, and 20 at once after them
    Then every answer has the status 200
    And the first target received none of the last 20 requests

  Scenario: What waits for a connection to a leaving target goes to another one
    Given a plain route to 2 targets with 2 connections each
    And its targets take 60 ms
    And one target says in its replies that it is leaving
    When 10 callers request "/one/x" at once
    Then every answer has the status 200
    And the first target received at most 2 requests

  Scenario: Peers are told of a leaving target
    Given a plain route to 2 targets
    And a second instance
    And one target says in its replies that it is leaving
    When callers request "/one/x" until the first instance knows that it is leaving
    Then the second instance knows that it is leaving

  Scenario: An instance that joins later is told of a leaving target
    Given a plain route to 2 targets
    And one target says in its replies that it is leaving
    When callers request "/one/x" until the first instance knows that it is leaving
    And a second instance is started
    Then the second instance knows that it is leaving

  Scenario: A new incarnation of a target that left receives requests
    Given a plain route to 1 targets
    And one target says in its replies that it is leaving
    When a caller requests "/one/x"
    And the first target starts again under the same identifier
    And a caller requests "/one/x"
    Then the answer has the status 200 and the body of a target

  Scenario Outline: Nothing is sent to a target for as long as it asks for
    Given a plain route to 2 targets
    And one target sheds every request and asks for <text> s without any
    When 10 callers request "/one/x" at once, and 20 at once after them
    Then every answer has the status 200
    And the first target received none of the last 20 requests

    Examples:
      | text   |
      | 20     |
      | 20.5   |
      | 1e9    |
      | 999999 |

  Scenario: A target that asked for a pause is used again after it
    Given a plain route to 1 targets
    And one target sheds every request and asks for 0.1 s without any
    When a caller requests "/one/x"
    And the first target serves again and 0.15 s pass
    And a caller requests "/one/x"
    Then the answer has the status 200 and the body of a target

  Scenario: A request whose targets all asked for a pause is refused at once
    Given a plain route to 2 targets
    And all targets shed every request and ask for 1.5 s and 9 s without any
    When a caller requests "/one/x"
    And a caller requests "/one/x"
    Then the answer has the status 503
    And the answer has a retry time between 1.3 and 2.5 s
    And each target received 1 requests

  Scenario Outline: A pause that is no number of seconds is counted, logged and ignored
    Given a plain route to 1 targets
    And one target sheds every request and asks for <text> s without any
    When a caller requests "/one/x"
    And the first target serves again
    And a caller requests "/one/x"
    Then the answer has the status 200 and the body of a target
    And the metrics count 1 ignored header

    Examples:
      | text                          |
      | -5                            |
      | nan                           |
      | Wed, 21 Oct 2026 07:28:00 GMT |

  Scenario: A pause of zero seconds is none
    Given a plain route to 1 targets
    And one target sheds every request and asks for 0 s without any
    When a caller requests "/one/x"
    And the first target serves again
    And a caller requests "/one/x"
    Then the answer has the status 200 and the body of a target
