Feature: Which target gets what

  Scenario: Replicas are ranked by what was observed
    Given targets "a b c" of which "b" answered slowly
    Then "b" is ranked last

  Scenario: A flattering report does not outweigh observation
    Given targets "a b c" of which "b" answered slowly
    And "b" reports an empty queue, the others 1 waiting
    Then "b" is ranked last

  Scenario: One that fails again and again comes last until its time is over
    Given targets "a b c" of which "a" failed 3 times
    Then "a" is ranked last
    When 6 seconds pass for the targets
    Then "a" may be ranked first again

  Scenario: Where all fail alike none is held back
    Given targets "a b c" of which "a b c" failed 3 times
    Then "a" may be ranked first again
    And "b" may be ranked first again

  Scenario: One that stays silent is learned from though it never replies
    Given targets "a b c" of which "c" stayed silent for 2 seconds
    Then "c" is ranked last

  Scenario: A sweep leaves a place for urgent requests
    Given a gate with a share of 4
    When 10 sweep requests are offered
    Then 3 are sent and 7 wait
    When 1 urgent request is offered
    Then 4 are sent and 7 wait

  Scenario: Urgent requests go before sweeps that waited longer
    Given a gate with a share of 1
    When 3 sweep requests are offered
    And 1 urgent request is offered
    And one ends
    Then the urgent one is sent next

  Scenario: What can no longer meet its deadline is not sent
    Given a gate with a share of 1
    When 3 sweep requests are offered
    And one ends after the deadline of all
    Then nothing more is sent

  Scenario: A target that sheds gets less, then more again
    Given a gate with a share of 8
    When it sheds 6 times
    Then its limit is 1
    When 200 replies come
    Then its limit is 8

  Scenario: A target that begins to queue gets less, before it sheds
    Given a gate with a share of 8
    When 50 replies come after 0.010 seconds each
    Then its limit is 8
    When 30 replies come after 0.050 seconds each
    Then its limit is 1
    When 100 replies come after 0.010 seconds each
    Then its limit is 8

  Scenario: A sweep has its turn after every urgent request
    Given a gate with a share of 1
    When 1 urgent request is offered
    And 3 sweep requests are offered
    And 12 urgent requests are offered
    And 6 end one after the other
    Then the turns were "urgent sweep urgent sweep urgent sweep"

  Scenario: What would wait too long is refused at once
    Given a gate with a share of 1
    When 50 replies come after 0.100 seconds each
    And 11 urgent requests are offered
    Then a booking with 2 seconds left is hopeless
    But a booking with 3 seconds left is not

  Scenario: The line before a target is bounded
    Given a gate with a share of 1
    When 300 sweep requests are offered
    Then 1 are sent and 256 wait
    And 43 are refused

  Scenario Outline: Connections are shared by the instances believed live
    Then <connections> connections among <instances> instances make a share of <share>

    Examples:
      | connections | instances | share |
      | 40          | 9         | 4     |
      | 110         | 9         | 12    |
      | 30          | 480       | 1     |
      | 40          | 0         | 40    |
