Feature: Replies that end too early

  # A target that stopped in the middle of the head of its reply made callers of
  # other systems receive a success with an empty or short body.
  Scenario Outline: A reply that is cut at any position is none
    When a server ends the connection at each position of a reply <framing>, with <ending>, after <count> whole replies
    Then no exchange that was cut before the end of its <part> has a reply
    And each exchange that was not cut has the whole reply

    Examples:
      | framing       | ending    | count | part |
      | with a length | a close   | 0     | body |
      | with a length | a reset   | 0     | body |
      | with a length | a close   | 2     | body |
      | in chunks     | a close   | 0     | body |
      | in chunks     | a reset   | 0     | body |
      | in chunks     | a close   | 2     | body |
      | until the end | a close   | 0     | head |
      | until the end | a reset   | 0     | body |

  Scenario Outline: Callers of published routes get no success from replies that are cut
    Given 12 routes for at-most-once requests, each to one target
    And the replies of its targets are cut at positions from 0 to <most>, with <ending>, after <count> whole replies
    When callers send 400 bookings to these routes in turn
    Then replies were cut at <positions> positions or more
    And each answer is whole or has no success

    Examples:
      | most | ending  | count | positions |
      | 60   | a close | 0     | 12        |
      | 160  | a close | 0     | 10        |
      | 160  | a reset | 0     | 10        |
      | 160  | a close | 2     | 10        |

  Scenario Outline: Callers of searches over shards get no part from replies that are cut
    Given a gather route over 4 shards of 1 targets
    And the replies of the targets of 2 shards are cut at position <position>, with <ending>
    When a caller requests "/all/x"
    Then the answer has the status 502

    Examples:
      | position | ending  |
      | 10       | a close |
      | 40       | a close |
      | 100      | a reset |
      | 150      | a close |

  Scenario Outline: The project's own interface has no success from replies that are cut
    Given a platform
    And service "reservas" with 1 shards and 1 replicas each
    And the replies of its targets are cut at position <position>, with <ending>
    And 1 instance that is ready
    When a caller books "site-0000/0" as "b-1"
    Then the refusal is CT-307 with status 504, "unknown"
    When a caller searches "reservas"
    Then no shard is covered

    Examples:
      | position | ending  |
      | 0        | a close |
      | 20       | a close |
      | 60       | a reset |
      | 90       | a close |
      | 150      | a close |
