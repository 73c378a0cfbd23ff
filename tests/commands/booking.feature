Feature: A booking runs at most once
  A booking is reported as "not_run" only if it was certainly not run.  If there
  is no reply after the write, it is reported as "unknown".

  Background:
    Given a platform
    And service "reservas" with 2 shards and 2 replicas each
    And 1 instance that is ready

  Scenario: A booking is run once, at its home
    When a caller books "site-0001/0" as "b-1"
    Then the booking is run
    And "b-1" was run 1 time

  Scenario: A booking with the same id is not sent again
    When a caller books "site-0001/0" as "b-1"
    And a caller books "site-0001/0" as "b-1"
    Then the refusal is CT-305 with status 409, "run"
    And "b-1" was run 1 time

  Scenario: A booking with the same id is not sent again while its outcome is unknown
    Given every target loses the replies to bookings
    When a caller books "site-0001/0" as "b-1"
    And a caller books "site-0001/0" as "b-1"
    Then the refusal is CT-310 with status 409, "unknown"
    And "b-1" was run 1 time

  Scenario: The place is already taken
    When a caller books 8 places of "site-0001/0" as "b-1"
    And a caller books "site-0001/0" as "b-2"
    Then the refusal is CT-306 with status 409, "run"

  Scenario: The reply is lost after the booking ran
    Given every target loses the replies to bookings
    When a caller books "site-0001/0" as "b-1"
    Then the refusal is CT-307 with status 504, "unknown"
    And "b-1" was run 1 time

  Scenario: The home refuses connections before anything is written
    Given every target refuses new connections
    When a caller books "site-0001/0" as "b-1"
    Then the refusal is CT-304 with status 503, "not_run"
    And "b-1" was run 0 times

  Scenario: A booking that was not run may be sent again
    Given every target refuses new connections
    When a caller books "site-0001/0" as "b-1"
    And every target accepts connections again
    And a caller books "site-0001/0" as "b-1"
    Then the booking is run
    And "b-1" was run 1 time

  Scenario: The home reports that it is leaving
    Given every target is draining
    When a caller books "site-0001/0" as "b-1"
    Then the refusal is CT-304 with status 503, "not_run"
    And "b-1" was run 0 times

  Scenario: The home does not respond before the deadline
    Given no target responds
    When a caller books "site-0001/0" as "b-1" within 0.2 seconds
    Then the refusal is CT-307 with status 504, "unknown"

  Scenario: The caller disconnects after the write
    Given every target takes 0.3 seconds
    When a caller books "site-0001/0" as "b-1" and disconnects after the write
    Then "b-1" was eventually run 1 time
    And the instance keeps the outcome of "b-1"

  Scenario: The home is held
    When operators hold the homes of "reservas" in version 2
    And the instances serve version 2 of "reservas"
    And a caller books "site-0001/0" as "b-1"
    Then the refusal is CT-301 with status 503, "not_run"
    And "b-1" was run 0 times

  Scenario: After a move only the new target of the home runs the booking
    When operators hold the homes of "reservas" in version 2
    And operators move the homes of "reservas" to the second replica in version 3
    And the instances serve version 3 of "reservas"
    And a caller books "site-0001/0" as "b-1"
    Then the booking is run
    And "b-1" was run at a second replica

  Scenario: A process that paused before the write does not write the booking
    When a caller books "site-0001/0" as "b-1" and the process pauses 60 seconds before the write
    Then the refusal is CT-201 with status 504, "not_run"
    And "b-1" was run 0 times

  Scenario: The last confirmation of the configuration is too old
    Given the configuration service is down
    And the last confirmation is 60 seconds old
    When a caller books "site-0001/0" as "b-1"
    Then the refusal is CT-303 with status 503, "not_run"
    And "b-1" was run 0 times

  Scenario: A target that checks epochs refuses a booking with an old epoch
    Given every target checks epochs and its shards are at epoch 2
    When a caller books "site-0001/0" as "b-1"
    Then the refusal is CT-304 with status 503, "not_run"
    And "b-1" was run 0 times
