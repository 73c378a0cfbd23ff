Feature: The product's decisions keep their promises on modelled days
  Every day is played from a seed, with its own clock and without sockets.

  Scenario Outline: Days of one pattern
    When <count> days of "<pattern>" are played
    Then no promise is broken

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

  Scenario: Requests that must run once, whatever happens
    When 12 days of "everything" are played with requests that run once
    Then no promise is broken

  Scenario Outline: A day finds out a decision without its guard
    When 6 days of "<pattern>" are played <with> without the guard on <guard>
    Then the promise "<promise>" is broken

    Examples:
      | pattern    | with                         | guard      | promise           |
      | all-shed   | with requests that run often | extra load | extra requests of |
      | everything | with requests that run once  | repeats    | a leg ran         |
      | everything | with requests that run once  | doubt      | told as not run   |
      | draining   | with requests that run often | draining   | after it had left |

  Scenario: The same seed gives the same day
    Then a day that is played again is the same

  Scenario: What the product gains over a plain policy
    Then with some slow targets the credit is above the plain policy's by 0.1
    And with a lost shard 99 of 100 answers still are on time
