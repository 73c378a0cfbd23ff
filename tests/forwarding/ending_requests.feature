Feature: Requests that end the targets that run them

  # Guards against: a request that ends every target that runs it is sent to
  # target after target, by its route's retries and by each caller that repeats it.
  Scenario: A request that ends its targets stops reaching them
    Given a plain route to 9 targets
    And 2 more instances
    And each target ends when it runs "/one/deadly", and is back later
    When "/one/deadly" is requested 12 times, at the instances in turn
    Then at most 6 targets ended
    When 20 callers of each instance request "/one/x" at once
    Then every answer has the status 200

  # Guards against: a search that ends its targets is sent to all shards again
  # and again, until no shard is left for other searches.
  Scenario: A search that ends a target of each shard stops reaching them
    Given a gather route over 3 shards of 3 targets
    And 2 more instances
    And each target ends when it runs "/all/deadly", and is back later
    When "/all/deadly" is requested 12 times, at the instances in turn
    Then at most 6 targets ended
    When 20 callers of each instance request "/all/x" at once
    Then every answer has the status 200
