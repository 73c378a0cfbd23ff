Feature: Whether a booking may be written
  Decided again right before the write, on what is known at that moment.

  Background:
    Given a home "t-1" at epoch 3, a dwell of 15 s and bookings of 2 s

  Scenario: All is as it was at admission
    Then the booking may be written

  Scenario Outline: Something changed since admission
    When <change>
    Then the booking is refused as <kind>

    Examples:
      | change                                         | kind                |
      | the deadline has passed                        | deadline_passed     |
      | the configuration was confirmed 13 seconds ago | stale_configuration |
      | the home is held                               | home_held           |
      | the home moved to "t-2" at epoch 4             | home_held           |
      | the home moved away and back by epoch 5        | home_held           |
      | the home's target is leaving                   | target_unavailable  |
      | the shard has no home any more                 | no_home             |
      | a repartition gave the key another home        | home_held           |

  Scenario: A confirmation just inside the bound
    When the configuration was confirmed 12 seconds ago
    Then the booking may be written

  Scenario Outline: What silence means
    When a booking was <sending>
    Then its silence is "<run>"

    Examples:
      | sending                              | run     |
      | not written                          | not_run |
      | written and not answered             | unknown |
      | written and the target said not run  | not_run |

  Scenario: The table of ids is bounded and forgets the oldest
    When 10001 bookings are begun
    Then 10000 ids are held and the oldest is forgotten
