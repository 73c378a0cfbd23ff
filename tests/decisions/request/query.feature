Feature: One query from its first sub-request to its answer
  Whatever the targets do, the answer comes from one snapshot and reports its
  coverage correctly.  It is delivered whole to its own caller.

  Background:
    Given a service of 4 shards with 3 replicas each

  Scenario: Every shard replies
    When a query begins with a deadline of 2 seconds
    Then 4 attempts are in flight
    When every attempt is replied to
    Then the answer is complete
    And 4 attempts were sent in total

  Scenario: A straggler is hedged to another replica and then cancelled
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s02 is replied to
    And 0.06 seconds pass
    Then 2 attempts of s02 are in flight to different targets
    When the newest attempt of s02 is replied to
    Then the answer is complete
    And 1 attempt was cancelled

  Scenario: No hedge is sent while the targets are short of slots
    Given the targets are short of slots
    When a query begins with a deadline of 2 seconds
    And 1 seconds pass
    Then 4 attempts were sent in total

  Scenario: A late reply to a cancelled attempt is ignored
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s02 is replied to
    And 0.06 seconds pass
    And the newest attempt of s02 is replied to
    And the cancelled attempt of s02 is replied to from snapshot 77
    Then the answer is complete
    And every record is of snapshot 100

  Scenario: A lost attempt is retried on another replica
    When a query begins with a deadline of 2 seconds
    And the attempt of s01 fails as lost
    And every attempt is replied to
    Then the answer is complete

  Scenario: A shard whose attempts are all lost is reported as lacking
    Given the extra-load budget holds 10 tokens
    When a query begins with a deadline of 2 seconds
    And every attempt of s01 fails as lost until none is left
    And every attempt is replied to
    Then the answer lacks s01 because of "lost"
    And the answer includes "s00 s02 s03"

  Scenario: The query ends when the last unsettled shard is given up
    Given the extra-load budget holds 10 tokens
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s01 is replied to
    And every attempt of s01 fails as lost until none is left
    Then the answer lacks s01 because of "lost"

  Scenario: A shard without a reply by the deadline is reported as lacking
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s03 is replied to
    And 2 seconds pass
    Then the answer lacks s03 because of "not_in_time"
    And no attempt is in flight

  Scenario: A reply of another snapshot is not merged
    When a query begins with a deadline of 2 seconds
    And the attempt of s00 is replied to from snapshot 99
    Then 1 attempt of s00 is in flight
    When every attempt is replied to
    Then the answer is complete
    And every record is of snapshot 100

  Scenario: A reply of another index version is not merged
    When a query begins with a deadline of 2 seconds
    And the attempt of s00 is replied to from index 2
    And every attempt is replied to
    Then the answer is complete
    And every record is of snapshot 100

  Scenario: The whole query restarts once if the pinned snapshot is gone
    Given the targets hold snapshots 105 to 110
    And the pinned snapshot is 100
    And the extra-load budget holds 1 tokens
    When a query begins with a deadline of 2 seconds
    And the attempt of s00 is replied to
    And the attempt of s01 fails as snapshot_gone
    Then 4 attempts are in flight
    When every attempt is replied to
    Then the answer is complete
    And every record is of snapshot 110

  Scenario: After an idle period one shard is probed before the others
    Given the targets have sent no recent report
    When a query begins with a deadline of 2 seconds
    Then 1 attempt of s00 is in flight
    And 1 attempts were sent in total
    When every attempt is replied to
    Then the answer is complete
    And 4 attempts were sent in total

  Scenario: A snapshot that is gone after an idle period costs one attempt
    Given the targets have sent no recent report
    And the extra-load budget holds 0 tokens
    When a query begins with a deadline of 2 seconds
    And the targets report that they hold snapshots 105 to 110
    And the attempt of s00 fails as snapshot_gone
    And every attempt is replied to
    Then the answer is complete
    And every record is of snapshot 110
    And 5 attempts were sent in total

  Scenario: A probe without a response delays the other shards only briefly
    Given the targets have sent no recent report
    When a query begins with a deadline of 2 seconds
    And 0.025 seconds pass
    Then 2 attempts were sent in total
    When 0.02 seconds pass
    Then 4 attempts were sent in total

  Scenario: A query does not restart a second time
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

  Scenario: The budget bounds extra load whatever fails
    Given the extra-load budget holds 0 tokens
    When a query begins with a deadline of 2 seconds
    And the attempt of s01 fails as lost
    And the attempt of s02 fails as lost
    And 2 seconds pass
    Then 4 attempts were sent in total
    And the answer lacks s01 because of "lost"

  Scenario: A shard whose replicas are all ejected is given up at once
    Given the extra-load budget holds 0 tokens
    And the targets "s01-0 s01-1 s01-2" have failed repeatedly
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s01 is replied to
    And the attempt of s01 fails as lost
    Then the answer lacks s01 because of "lost"

  Scenario: An attempt that was not sent is retried without using the budget
    Given the extra-load budget holds 0 tokens
    When a query begins with a deadline of 2 seconds
    And the attempt of s01 fails as not_sent
    And every attempt is replied to
    Then the answer is complete
    And the answer cost 4 sub-requests

  Scenario: Nothing is sent to a leaving target
    Given the targets "s01-0 s01-1 s01-2" are leaving
    When a query begins with a deadline of 2 seconds
    And every attempt is replied to
    Then the answer lacks s01 because of "no_replica"

  Scenario: A coverage-first service waits until its deadline
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s03 is replied to
    And 1.9 seconds pass
    Then the query is not finished

  Scenario: A latency-first service stops early if few shards are missing
    Given a latency-first service of 10 shards with 3 replicas each
    When a query begins with a deadline of 2 seconds
    And every attempt but that of s03 is replied to
    And 0.5 seconds pass
    Then the answer lacks s03 because of "not_in_time"

  Scenario: A latency-first service waits while many shards are missing
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
