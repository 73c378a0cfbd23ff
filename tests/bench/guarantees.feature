Feature: The product's decisions keep their guarantees on simulated days
  Every day is simulated from a seed, with its own clock and without sockets.

  Scenario Outline: Days of one pattern
    When <count> days of "<pattern>" are simulated
    Then no guarantee is violated

    Examples:
      | pattern      | count |
      | calm         | 1     |
      | some-slow    | 2     |
      | some-dark    | 2     |
      | some-refused | 2     |
      | some-shed    | 2     |
      | some-lose    | 2     |
      | all-shed     | 2     |
      | shard-lost   | 2     |
      | draining     | 2     |
      | everything   | 12    |

  Scenario: At-most-once requests under all faults
    When 12 days of "everything" are simulated with at-most-once requests
    Then no guarantee is violated

  Scenario Outline: A day detects a decision without its guard
    When 6 days of "<pattern>" are simulated with <kind> requests without the guard on <guard>
    Then the violation "<violation>" is found

    Examples:
      | pattern    | kind         | guard      | violation                 |
      | all-shed   | idempotent   | extra load | extra requests, more than |
      | everything | at-most-once | retries    | a leg ran                 |
      | everything | at-most-once | run status | reported as not run       |
      | draining   | idempotent   | draining   | started after its drain   |

  Scenario: Cancelling an attempt that waits for a connection releases none
    Given a target of a simulated instance, with 1 connection to it
    When 3 requests are sent to it, and the 2 that wait are cancelled
    Then 1 request is in flight to it
    When a further request is sent to it
    Then 1 request is in flight to it

  Scenario: The same seed gives the same day
    Then a day that is simulated again is the same

  Scenario: The current policy compared with the plain policy
    Then with some slow targets the credit exceeds the plain policy's by more than 0.1
    And with a lost shard at least 99 of 100 answers are on time
