Feature: Ranking of targets and admission to a target

  Scenario: Replicas are ranked by observed latency
    Given targets "a b c" of which "b" replied slowly
    Then "b" is ranked last

  Scenario: A reported empty queue does not outweigh observed latency
    Given targets "a b c" of which "b" replied slowly
    And "b" reports an empty queue, the others 1 waiting
    Then "b" is ranked last

  Scenario: A target that fails repeatedly is ranked last until its ejection ends
    Given targets "a b c" of which "a" failed 3 times
    Then "a" is ranked last
    When 6 seconds pass for the targets
    Then "a" may be ranked first again

  Scenario: If all targets fail equally often, none of them is always last
    Given targets "a b c" of which "a b c" failed 3 times
    Then "a" may be ranked first again
    And "b" may be ranked first again

  Scenario: A target that never replies is ranked last as well
    Given targets "a b c" of which "c" did not respond for 2 seconds
    Then "c" is ranked last

  Scenario: Sweep requests leave one place for urgent requests
    Given a gate with a share of 4
    When 10 sweep requests are offered
    Then 3 are sent and 7 wait
    When 1 urgent request is offered
    Then 4 are sent and 7 wait

  Scenario: Urgent requests are sent before sweep requests that waited longer
    Given a gate with a share of 1
    When 3 sweep requests are offered
    And 1 urgent request is offered
    And one request ends
    Then the urgent one is sent next

  Scenario: A request that can no longer meet its deadline is not sent
    Given a gate with a share of 1
    When 3 sweep requests are offered
    And one request ends after all deadlines
    Then nothing more is sent

  Scenario: The limit falls while the target sheds load and recovers with replies
    Given a gate with a share of 8
    When the target sheds load 6 times
    Then the limit of the gate is 1
    When 200 replies arrive
    Then the limit of the gate is 8

  Scenario: The limit falls when the target queues, before it sheds load
    Given a gate with a share of 8
    When 50 replies arrive after 0.010 seconds each
    Then the limit of the gate is 8
    When 30 replies arrive after 0.050 seconds each
    Then the limit of the gate is 1
    When 100 replies arrive after 0.010 seconds each
    Then the limit of the gate is 8

  Scenario: One sweep request is sent after every urgent request
    Given a gate with a share of 1
    When 1 urgent request is offered
    And 3 sweep requests are offered
    And 12 urgent requests are offered
    And 6 requests end one after the other
    Then requests were sent in the order "urgent sweep urgent sweep urgent sweep"

  Scenario: A booking whose expected wait is too long is refused at once
    Given a gate with a share of 1
    When 50 replies arrive after 0.100 seconds each
    And 11 urgent requests are offered
    Then a booking with 2 seconds left is refused as late
    But a booking with 3 seconds left is not refused

  Scenario: The queue for a target is bounded
    Given a gate with a share of 1
    When 300 sweep requests are offered
    Then 1 are sent and 256 wait
    And 43 are refused

  Scenario Outline: Connections are shared equally among live instances
    Then <connections> connections among <instances> instances give a share of <share>

    Examples:
      | connections | instances | share |
      | 40          | 9         | 4     |
      | 110         | 9         | 12    |
      | 30          | 480       | 1     |
      | 40          | 0         | 40    |
