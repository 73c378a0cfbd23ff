Feature: Requests that may end their targets are sent to one at a time

  Scenario: A suspect search is first sent to a shard whose targets have ended
    Given an idempotent request to 4 shards of 3 targets, of which 3 must reply
    And targets of shard s2 have ended under the request before
    When it begins
    Then 1 attempts were sent
    And attempt 1 is that of shard s2
    When the attempts 1 succeed
    Then 4 attempts were sent
    When the attempts 2 3 4 succeed
    Then it is finished with 4 parts

  Scenario: Another shard is tried first where the suspect one has no target
    Given an idempotent request to 4 shards of 1 targets, of which 3 must reply
    And targets of shard s2 have ended under the request before
    When it begins
    And the attempts 1 are not sent
    Then 2 attempts were sent
    And attempt 2 is that of shard s0
    When the attempts 2 succeed
    Then 4 attempts were sent

  # Guards against: a hedge of a suspect request ends a second target.
  Scenario: A suspect request is not hedged
    Given an idempotent request to 1 shards of 3 targets, of which 1 must reply
    And targets of shard s0 have ended under the request before
    When it begins
    And 150 ms pass
    Then 1 attempts were sent

  Scenario: A request whose reply was lost is not hedged until one arrives
    Given an idempotent request to 3 shards of 3 targets, of which 2 must reply
    When it begins
    And the attempts 1 break off
    Then 4 attempts were sent
    When 150 ms pass
    Then 4 attempts were sent

  # Guards against: the retries of a search end a second target of each shard.
  Scenario: A search under which all targets end is retried at one of them
    Given an idempotent request to 3 shards of 3 targets, of which 2 must reply
    When it begins
    And the attempts 1 2 3 break off
    Then 4 attempts were sent
    When the targets of the attempts 1 2 are found ended
    And the attempts 4 break off
    Then 4 attempts were sent
    When the targets of the attempts 3 4 are found ended
    Then 4 attempts were sent
    And it is finished with 0 parts

  Scenario: What was lost is sent again once a target has survived the search
    Given an idempotent request to 4 shards of 3 targets, of which 3 must reply
    When it begins
    And the attempts 1 2 3 break off
    Then 5 attempts were sent
    When the targets of the attempts 1 2 3 are found ended
    Then 5 attempts were sent
    And it is not finished
    When the attempts 4 succeed
    Then 5 attempts were sent

  Scenario: What was lost is sent again if targets ended that were not three
    Given an idempotent request to 4 shards of 3 targets, of which 3 must reply
    When it begins
    And the attempts 1 2 break off
    And the targets of the attempts 1 2 are found ended
    Then 5 attempts were sent
    When the attempts 3 succeed
    Then 6 attempts were sent
    When the attempts 4 5 6 succeed
    Then it is finished with 4 parts

  # Guards against: lost connections hold a search up.
  Scenario: Replies whose targets still run are asked for again at once
    Given an idempotent request to 4 shards of 3 targets, of which 3 must reply
    When it begins
    And the attempts 1 2 3 4 break off
    Then 5 attempts were sent
    When the targets of the attempts 1 2 3 4 are found running
    Then 8 attempts were sent
    When the attempts 5 6 7 8 succeed
    Then it is finished with 4 parts

  Scenario: A search that ends targets of one shard lacks that shard
    Given an idempotent request to 4 shards of 3 targets, of which 3 must reply
    When it begins
    And the attempts 2 3 4 succeed
    And the attempts 1 break off
    And the attempts 5 break off
    And the targets of the attempts 1 5 are found ended
    Then it is finished with 3 parts

  # Guards against: a request that has been given up waits for its answer.
  Scenario: A request that may not be sent again ends at once
    Given an idempotent request to 1 shards of 3 targets, of which 1 must reply
    When it begins
    And the attempts 1 break off
    And the attempts 2 break off
    Then 2 attempts were sent
    And it is finished with 0 parts

  Scenario: A search that three targets are known to have ended under ends at once
    Given an idempotent request to 4 shards of 3 targets, of which 3 must reply
    When it begins
    And the attempts 1 2 3 4 break off
    And the attempts 5 break off
    And the targets of the attempts 1 2 3 are found ended
    Then 5 attempts were sent
    And it is finished with 0 parts

  Scenario: A trial is sent to one target only
    Given an idempotent request to 3 shards of 3 targets, of which 2 must reply
    And it is the trial of a blocked request
    When it begins
    Then 1 attempts were sent
    When the attempts 1 break off
    And the targets of the attempts 1 are found ended
    Then 1 attempts were sent
    And it is finished with 0 parts

  Scenario: A trial that has not run goes to another target
    Given an idempotent request to 1 shards of 3 targets, of which 1 must reply
    And it is the trial of a blocked request
    When it begins
    And the attempts 1 are shed
    And the attempts 2 are not sent
    Then 3 attempts were sent
    When the attempts 3 succeed
    Then it is finished with 1 parts

  Scenario: A trial that is survived goes on to all shards
    Given an idempotent request to 3 shards of 3 targets, of which 2 must reply
    And it is the trial of a blocked request
    When it begins
    And the attempts 1 succeed
    Then 3 attempts were sent
