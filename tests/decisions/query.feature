Feature: The course of one query
  The answer comes from one snapshot, states its coverage truly, and is whole
  for its own caller, whatever the targets do.

  Background:
    Given a service of 4 shards with 3 replicas each

  Scenario: Every shard replies
    When a query begins with a deadline of 2 seconds
    Then 4 attempts are under way
    When every attempt is replied to
    Then the answer is complete
    And 4 attempts were sent in all

  Scenario: A straggler is hedged to another replica and then cancelled
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s02 is replied to
    And 0.06 seconds pass
    Then 2 attempts of s02 are under way at different targets
    When the newest attempt of s02 is replied to
    Then the answer is complete
    And 1 attempt was cancelled

  Scenario: No hedge goes into a shortage of slots
    Given the targets are short of slots
    When a query begins with a deadline of 2 seconds
    And 1 seconds pass
    Then 4 attempts were sent in all

  Scenario: A late reply of a cancelled attempt changes nothing
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s02 is replied to
    And 0.06 seconds pass
    And the newest attempt of s02 is replied to
    And the cancelled attempt of s02 is replied to from snapshot 77
    Then the answer is complete
    And every record is of snapshot 100

  Scenario: A replica that is lost is replaced by another
    When a query begins with a deadline of 2 seconds
    And the attempt of s01 fails as lost
    And every attempt is replied to
    Then the answer is complete

  Scenario: A shard whose replicas are all lost is stated as lacking
    Given the extra-load budget holds 10 tokens
    When a query begins with a deadline of 2 seconds
    And every attempt of s01 fails as lost until none is left
    And every attempt is replied to
    Then the answer lacks s01 because of "lost"
    And the answer includes "s00 s02 s03"

  Scenario: A shard that is given up last ends the query
    Given the extra-load budget holds 10 tokens
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s01 is replied to
    And every attempt of s01 fails as lost until none is left
    Then the answer lacks s01 because of "lost"

  Scenario: Silence to the deadline is stated as lacking
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s03 is replied to
    And 2 seconds pass
    Then the answer lacks s03 because of "not_in_time"
    And nothing is under way

  Scenario: A reply of another snapshot is not merged
    When a query begins with a deadline of 2 seconds
    And the attempt of s00 is replied to from snapshot 99
    Then 1 attempt of s00 is under way
    When every attempt is replied to
    Then the answer is complete
    And every record is of snapshot 100

  Scenario: A reply of another index version is not merged
    When a query begins with a deadline of 2 seconds
    And the attempt of s00 is replied to from index 2
    And every attempt is replied to
    Then the answer is complete
    And every record is of snapshot 100

  Scenario: A pinned snapshot that is gone moves the whole query once
    Given the targets hold snapshots 105 to 110
    And the pinned snapshot is 100
    And the extra-load budget holds 1 tokens
    When a query begins with a deadline of 2 seconds
    And the attempt of s00 is replied to
    And the attempt of s01 fails as snapshot_gone
    Then 4 attempts are under way
    When every attempt is replied to
    Then the answer is complete
    And every record is of snapshot 110

  Scenario: After a pause one shard is asked first, and then the others
    Given nothing recent is known of the targets
    When a query begins with a deadline of 2 seconds
    Then 1 attempt of s00 is under way
    And 1 attempts were sent in all
    When every attempt is replied to
    Then the answer is complete
    And 4 attempts were sent in all

  Scenario: After a pause the snapshot may be gone, which costs one attempt
    Given nothing recent is known of the targets
    And the extra-load budget holds 0 tokens
    When a query begins with a deadline of 2 seconds
    And the targets say that they hold snapshots 105 to 110
    And the attempt of s00 fails as snapshot_gone
    And every attempt is replied to
    Then the answer is complete
    And every record is of snapshot 110
    And 5 attempts were sent in all

  Scenario: After a pause a silent target does not hold the others up for long
    Given nothing recent is known of the targets
    When a query begins with a deadline of 2 seconds
    And 0.025 seconds pass
    Then 2 attempts were sent in all
    When 0.02 seconds pass
    Then 4 attempts were sent in all

  Scenario: A second loss of the snapshot does not move it again
    Given the targets hold snapshots 105 to 110
    And the pinned snapshot is 100
    And the extra-load budget holds 10 tokens
    When a query begins with a deadline of 2 seconds
    And the attempt of s01 fails as snapshot_gone
    And every attempt of s01 fails as snapshot_gone until none is left
    And every attempt is replied to
    And 2 seconds pass
    Then the answer lacks s01 because of "snapshot_gone"
    And every record is of snapshot 110

  Scenario: Extra load is bounded by the budget whatever fails
    Given the extra-load budget holds 0 tokens
    When a query begins with a deadline of 2 seconds
    And the attempt of s01 fails as lost
    And the attempt of s02 fails as lost
    And 2 seconds pass
    Then 4 attempts were sent in all
    And the answer lacks s01 because of "lost"

  Scenario: A shard whose replicas all fail is given up at once
    Given the extra-load budget holds 0 tokens
    And the targets "s01-0 s01-1 s01-2" have failed again and again
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s01 is replied to
    And the attempt of s01 fails as lost
    Then the answer lacks s01 because of "lost"

  Scenario: What was never sent is tried elsewhere without budget
    Given the extra-load budget holds 0 tokens
    When a query begins with a deadline of 2 seconds
    And the attempt of s01 fails as not_sent
    And every attempt is replied to
    Then the answer is complete
    And the answer cost 4 sub-requests

  Scenario: A leaving target gets nothing
    Given the targets "s01-0 s01-1 s01-2" are leaving
    When a query begins with a deadline of 2 seconds
    And every attempt is replied to
    Then the answer lacks s01 because of "no_replica"

  Scenario: A coverage-first service waits to its deadline
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s03 is replied to
    And 1.9 seconds pass
    Then the query is not finished

  Scenario: A latency-first service stops when little is left out
    Given a latency-first service of 10 shards with 3 replicas each
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s03 is replied to
    And 0.5 seconds pass
    Then the answer lacks s03 because of "not_in_time"

  Scenario: A latency-first service waits while much is left out
    Given a latency-first service of 10 shards with 3 replicas each
    When a query begins with a deadline of 2 seconds
    And the attempt of s03 is replied to
    And 0.5 seconds pass
    Then the query is not finished

  Scenario: Old and new schema versions of a record never both appear
    When a query begins with a deadline of 2 seconds
    And s00 and s01 both reply with record "a/1" in schema versions 1 and 2
    And s02 replies with record "b/1" in schema version 3
    And every attempt is replied to
    Then record "a/1" appears once in schema version 2
    And record "b/1" does not appear
