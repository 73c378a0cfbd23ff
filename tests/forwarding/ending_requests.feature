Feature: Requests that end the targets that run them

  # Guards against: a request that ends every target that runs it is sent to
  # target after target, by its route's retries and by each caller that repeats it.
  Scenario: A request that ends its targets stops reaching them
    Given a plain route to 9 targets
    And 2 more instances
    And each target ends when it runs "/one/deadly", and is back later
    When "/one/deadly" is requested 12 times, at the instances in turn
    Then at most 6 targets ended
    When 20 callers at each instance request "/one/x" together
    Then every answer has the status 200

  # Guards against: a search that ends its targets is sent to all shards again
  # and again, until no shard is left for other searches.
  Scenario: A search that ends a target of each shard stops reaching them
    Given a gather route over 3 shards of 3 targets
    And 2 more instances
    And each target ends when it runs "/all/deadly", and is back later
    When "/all/deadly" is requested 12 times, at the instances in turn
    Then at most 6 targets ended
    When 20 callers at each instance request "/all/x" together
    Then every answer has the status 200

  # Guards against: popular requests are refused, since they are in flight
  # whenever a target ends for another reason.
  Scenario: Popular requests on targets that end one after the other are served
    Given a plain route to 6 targets
    And 2 more instances
    And its targets take 20 ms
    And each target that ends is back later
    When 9 targets end in turn, each while it runs popular requests
    Then no request is blocked at any instance
    When 20 callers at each instance request "/one/popular" together
    Then every answer has the status 200

  # Guards against: a request is taken for the cause of ends when only its
  # replies or connections are lost.
  Scenario Outline: A request whose replies are lost is not blocked
    Given a plain route to 6 targets
    And 2 more instances
    And each target that ends is back later
    And all targets have the fault "<fault>"
    When "/one/x" is requested 12 times, at the instances in turn
    Then no request is blocked at any instance

    Examples:
      | fault    |
      | lose     |
      | truncate |
      | garble   |

  # Guards against: the end of a target that was announced counts against what it
  # was running.
  Scenario: A target that leaves as announced is no evidence
    Given a plain route to 6 targets
    And its targets take 300 ms
    And each target that ends is back later
    When 12 callers request "/one/x" while all targets but one are listed as leaving, and end
    Then no request is suspect at any instance

  # Guards against: links that one instance has lost block requests at all.
  Scenario: A request that fails for lost links is not blocked elsewhere
    Given a plain route to 6 targets
    And 2 more instances
    When 20 callers of each instance request "/one/x" at once
    And the first instance loses its links to targets, which are refused
    And callers of the first instance request "/one/x" until one is served
    Then no request is blocked at any instance

  Scenario: A blocked request is refused at once, as not run
    Given a plain route to 9 targets
    And 2 more instances
    And each target ends when it runs "/one/deadly", and is back later
    When "/one/deadly" is requested until all instances have blocked it
    And no trial is due for a minute
    And "/one/deadly" is requested 3 times, at the instances in turn
    Then every answer has the status 503
    And the answer has a retry time between 0.9 and 301 s
    And no more targets ended
    And the metrics count 1 blocked request

  # Guards against: a restarted instance begins to send the request again.
  Scenario: An instance that joins later is told of a blocked request
    Given a plain route to 9 targets
    And each target ends when it runs "/one/deadly", and is back later
    When "/one/deadly" is requested until all instances have blocked it
    And a second instance is started
    Then all instances have blocked "/one/deadly"

  Scenario: Another request on the same path is served
    Given a plain route to 9 targets
    And each target ends when it runs "/one/deadly", and is back later
    When "/one/deadly" is requested until all instances have blocked it
    And a caller requests "/one/deadly?page=2"
    Then the answer has the status 200 and the body of a target

  Scenario: A request that must run at most once is sent once by each caller
    Given a plain route to 9 targets for at-most-once requests
    And 2 more instances
    And each target ends when it runs "/one/deadly", and is back later
    When "/one/deadly" is requested 12 times, at the instances in turn
    Then at most 6 targets ended
    And each request ran at most once

  Scenario Outline: Targets that end <how> are noticed too
    Given a plain route to 9 targets
    And 2 more instances
    And each target ends when it runs "/one/deadly", <how>
    When "/one/deadly" is requested 12 times, at the instances in turn
    Then at most 6 targets ended

    Examples:
      | how                                           |
      | and is back later under another identifier    |
      | after a part of its reply, and is back later  |
      | after 30 ms, and is back later                |

  # Guards against: hedges and retries of callers that ask together.
  Scenario: Ten callers that ask together end few targets once it is known
    Given a plain route to 12 targets
    And 2 more instances
    And each target ends when it runs "/one/deadly", and is back later
    When "/one/deadly" is requested until all instances have blocked it
    And no trial is due for a minute
    And 10 callers at each instance request "/one/deadly" together
    Then no more targets ended

  # Guards against: a search that ends targets of one shard is refused as a
  # whole, or sent to them for ever.
  Scenario: A search that ends the targets of one shard lacks that shard
    Given a gather route over 3 shards of 3 targets
    And 2 more instances
    And each target of the first shard ends when it runs "/all/deadly"
    When "/all/deadly" is requested 12 times, at the instances in turn
    Then at most 6 targets ended

  Scenario: A blocked request is served again once its targets are mended
    Given a plain route to 9 targets
    And 2 more instances
    And each target ends when it runs "/one/deadly", and is back later
    When "/one/deadly" is requested until all instances have blocked it
    And the targets no longer end
    And 2 s have passed since the last end
    And "/one/deadly" is requested 3 times, at the instances in turn
    Then no request is blocked at any instance
    When "/one/deadly" is requested 3 times, at the instances in turn
    Then every answer has the status 200

  # Guards against: a request that a peer serves is counted by neither side.
  Scenario: A request that peers serve is blocked as well
    Given a plain route to 9 targets
    And 2 more instances
    And each target ends when it runs "/one/deadly", and is back later
    And the first instance has lost its links to targets
    When "/one/deadly" is requested 6 times, at the first instance
    Then at most 6 targets ended
    And all instances have blocked "/one/deadly"

  Scenario: An operator sees a blocked request and clears it
    Given a plain route to 9 targets
    And 2 more instances
    And each target ends when it runs "/one/deadly", and is back later
    When "/one/deadly" is requested until all instances have blocked it
    Then the state of each instance shows "/one/deadly" as blocked
    When the targets no longer end
    And an operator clears "/one/deadly" at the second instance
    Then no request is blocked at any instance
    When "/one/deadly" is requested 3 times, at the instances in turn
    Then every answer has the status 200

  Scenario: A fingerprint that is none is refused
    Given a plain route to 1 targets
    When an operator clears the fingerprint "12xy"
    Then the answer has the status 400

  # Guards against: a reply that is lost on a connection from before an end is
  # taken for a sign that the target still runs.
  Scenario Outline: Only a reply shows that a target has not ended
    Given a plain route to 2 targets
    When the first instance is told of an end of the first target
    And an exchange on an older connection to it is <outcome>
    Then the request of that end is <standing>

    Examples:
      | outcome   | standing |
      | lost      | suspect  |
      | not_sent  | suspect  |
      | unusable  | suspect  |
      | shed      | clear    |
      | succeeded | clear    |

  # Guards against: links that break off make all targets seem to have ended.
  Scenario: Requests in flight when links break off are not taken for the cause
    Given a plain route to 6 targets
    And 2 more instances
    And its targets take 300 ms
    And each target that ends is back later
    When 12 callers request "/one/x" while the links of the first instance break off
    Then no request is suspect at any instance
