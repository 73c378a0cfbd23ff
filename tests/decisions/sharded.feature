Feature: One request to one service or to many shards

  Scenario: All shards are asked at once, one target each
    Given an idempotent request to 3 shards of 2 targets, of which 2 must reply
    When it begins
    Then 3 of its attempts are under way
    When the attempts 1 2 3 succeed
    Then it is finished with 3 parts

  Scenario: A shard that stays silent is asked again, at another target
    Given an idempotent request to 3 shards of 2 targets, of which 2 must reply
    When it begins
    And the attempts 1 2 succeed
    And 60 ms pass
    Then 2 of its attempts are under way
    And no target was asked twice
    When the attempts 4 succeed
    Then it is finished with 3 parts
    And attempt 3 was cancelled

  Scenario: While a second attempt is possible, a short silence is borne
    Given an idempotent request to 1 shards of 2 targets, of which 1 must reply
    And the first target of the shard has been silent for 60 ms
    When it begins
    Then it was sent to the first target

  Scenario: Without extra load left, a target that may pause is left alone sooner
    Given an idempotent request to 1 shards of 2 targets, of which 1 must reply
    And no extra load is left
    And the first target of the shard has been silent for 60 ms
    When it begins
    Then it was sent to the second target

  Scenario: When an answer would be late, it goes out with the parts there are
    Given an idempotent request to 3 shards of 2 targets, of which 2 must reply
    When it begins
    And the attempts 1 2 succeed
    And 200 ms pass
    Then it is finished with 2 parts

  Scenario: What goes out when it is due is not told as late
    Given an idempotent request to 3 shards of 2 targets, of which 2 must reply
    Then an answer after 202 ms is in time, and one after 206 ms is late

  Scenario: With too few parts it waits on until there are enough
    Given an idempotent request to 3 shards of 2 targets, of which 2 must reply
    When it begins
    And the attempts 1 succeed
    And 200 ms pass
    Then it is not finished
    When the attempts 2 succeed
    Then it is finished with 2 parts

  Scenario: At the deadline it ends
    Given an idempotent request to 3 shards of 2 targets, of which 2 must reply
    When it begins
    And 1000 ms pass
    Then it is finished with 0 parts

  Scenario: Shards that are lost are given up at once
    Given an idempotent request to 3 shards of 1 targets, of which 2 must reply
    When it begins
    And the attempts 1 2 fail
    Then it is finished with 0 parts

  Scenario: Where too few shards have a target nothing is sent
    Given an idempotent request to 3 shards of 0 targets, of which 2 must reply
    When it begins
    Then it is finished with 0 parts
    And nothing was sent

  Scenario: A failed attempt is repeated at another target, within the limit
    Given an idempotent request to 1 shards of 3 targets, of which 1 must reply
    When it begins
    And the attempts 1 fail
    Then 1 of its attempts are under way
    When the attempts 2 fail
    Then it is finished with 0 parts
    And 2 attempts were sent

  Scenario: What was shed did not run and may go to further targets
    Given an idempotent request to 1 shards of 3 targets, of which 1 must reply
    When it begins
    And the attempts 1 2 are shed
    And the attempts 3 succeed
    Then it is finished with 1 parts

  Scenario Outline: However many instances share it, each can ask a second target
    Then one of <count> instances with <requests> requests in 10 s may hedge, and keeps something for repeats

    Examples:
      | count | requests |
      | 9     | 100      |
      | 74    | 11       |
      | 480   | 20       |

  Scenario: Without extra load left a failed attempt is not repeated
    Given an idempotent request to 1 shards of 3 targets, of which 1 must reply
    And no extra load is left
    When it begins
    And the attempts 1 fail
    Then it is finished with 0 parts

  Scenario: What never left the instance is repeated without extra load
    Given an idempotent request to 1 shards of 3 targets, of which 1 must reply
    And no extra load is left
    When it begins
    And the attempts 1 are not sent
    And the attempts 2 succeed
    Then it is finished with 1 parts

  Scenario: A request that must run once is sent on only where it did not run
    Given a request that must run once to 3 targets
    When it begins
    And the attempts 1 are shed
    Then 1 of its attempts are under way
    When the attempts 2 are lost
    Then it is finished with 0 parts
    And 2 attempts were sent
    And it may have run

  Scenario: A request that must run once is never hedged
    Given a request that must run once to 3 targets
    When it begins
    And 900 ms pass
    Then 1 attempts were sent

  Scenario: Only shed attempts leave no doubt that nothing ran
    Given a request that must run once to 2 targets
    When it begins
    And the attempts 1 2 are shed
    Then it is finished with 0 parts
    And it surely did not run

  Scenario: A caller that goes cancels all that is under way
    Given an idempotent request to 3 shards of 2 targets, of which 2 must reply
    When it begins
    And its caller goes
    Then 0 of its attempts are under way
    And attempt 1 was cancelled
    And attempt 3 was cancelled

  Scenario: Instances together keep within the bound on extra load
    Then 9 instances that hedge whenever they may stay within 0.2 and 58 in any 10 seconds
    And 9 instances that all start anew in between do so too
