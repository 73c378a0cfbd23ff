Feature: Checks before a booking is written
  The checks are repeated right before the write with the state known then.

  Background:
    Given a home "t-1" at epoch 3, a dwell of 15 s and bookings of 2 s

  Scenario: Nothing changed since admission
    Then the booking may be written

  Scenario Outline: Something changed since admission
    When <change>
    Then the booking is refused as <kind>

    Examples:
      | change                                               | kind                |
      | the deadline has passed                              | deadline_passed     |
      | the configuration was confirmed 13 seconds ago       | stale_configuration |
      | the home is held                                     | home_held           |
      | the home moved to "t-2" at epoch 4                   | home_held           |
      | the home moved to another target and back by epoch 5 | home_held           |
      | the home's target is leaving                         | target_unavailable  |
      | the shard has no home any more                       | no_home             |
      | a repartition gave the key another home              | home_held           |

  Scenario: The configuration has exactly the maximum age
    When the configuration was confirmed 12 seconds ago
    Then the booking may be written

  Scenario Outline: Whether a booking without a reply was run
    When a booking was <sending>
    Then the run state is reported as "<run>"

    Examples:
      | sending                         | run     |
      | not written                     | not_run |
      | written and not answered        | unknown |
      | written and reported as not run | not_run |

  Scenario: The table of booking ids is bounded and drops the oldest
    When 10001 bookings are started and end
    Then 10000 ids are recorded and the oldest is dropped

  Scenario: The id of a booking in flight is never dropped
    When a booking is started
    And 10001 further bookings are started and end
    Then the first id is still recorded as in flight

  Scenario: No booking is sent while the table is full of bookings in flight
    When 10000 bookings are started
    Then a further booking is not sent
    When one of them ends
    Then a further booking is sent
