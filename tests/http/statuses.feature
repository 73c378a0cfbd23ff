Feature: Replies with a status that must not be passed on

  # A target in trouble sent a reply with the status 000, or 999, and the caller
  # got it as an answer.
  Scenario: A reply with any status below or above the range of HTTP is none
    When a server replies with each status from 0 to 99 and from 600 to 999
    Then no exchange has a reply

  Scenario Outline: A caller of a published route gets a failure of the instance
    Given a plain route to 1 targets
    And a target of the route "/raw/" that replies with the status "<status>"
    When a caller requests "/raw/x"
    Then the answer has the status 502
    And the answer has no stamp of a target

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |

  Scenario Outline: A caller of a search over shards gets no part with such a status
    Given a gather route over 4 shards of 1 targets
    And the targets of <count> shards reply with the status "<status>"
    When a caller requests "/all/x"
    Then the answer has the status <answer>
    And the answer names <part_count> parts

    Examples:
      | status | count | answer | part_count |
      | 000    | 1     | 200    | 3          |
      | 099    | 2     | 502    | 0          |
      | 600    | 1     | 200    | 3          |
      | 999    | 2     | 502    | 0          |

  Scenario Outline: The project's own interface has no success from such a reply
    Given a platform
    And service "reservas" with 1 shards and 1 replicas each
    And its targets reply with the status "<status>"
    And 1 instance that is ready
    When a caller books "site-0000/0" as "b-1"
    Then the refusal is CT-307 with status 504, "unknown"
    When a caller searches "reservas"
    Then no shard is covered

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |

  # A booking that its target had run was answered 503, so that its caller booked
  # once more.
  Scenario Outline: A status that promises not to have run is not passed on for a booking that may have run
    Given a plain route to 1 targets
    And a target of the at-most-once route "/raw/" that replies with the status "<status>"
    When a caller books at "/raw/x"
    Then the answer has the status 502
    And the answer has no stamp of a target

    Examples:
      | status |
      | 408    |
      | 429    |
      | 503    |

  Scenario Outline: The project's own interface does not call a booking not run because of such a status
    Given a platform
    And service "reservas" with 1 shards and 1 replicas each
    And its targets reply with the status "<status>"
    And 1 instance that is ready
    When a caller books "site-0000/0" as "b-1"
    Then the refusal is CT-307 with status 504, "unknown"

    Examples:
      | status |
      | 408    |
      | 429    |
      | 503    |

  Scenario: Another failure of a target is passed on for a booking
    Given a plain route to 1 targets
    And a target of the at-most-once route "/raw/" that replies with the status "500"
    When a caller books at "/raw/x"
    Then the answer has the status 500
