Feature: Membership of the fleet, advice and freshness

  Background:
    Given an instance "me" that knows "a" and "b" to be alive

  Scenario: A neighbour that does not respond becomes suspect, then gone
    When 3.5 seconds pass in which only "b" responds
    Then "a" is suspect
    When 5.5 seconds pass in which only "b" responds
    Then "a" is gone

  Scenario: A higher incarnation replaces an entry that is gone
    When "a" is reported gone
    And "a" is reported alive with a higher incarnation
    Then "a" is alive

  Scenario: A lower incarnation does not replace a higher one
    When "a" is reported alive with a higher incarnation
    And "a" is reported gone
    Then "a" is alive

  Scenario: An instance that is reported gone raises its own incarnation
    When "me" is reported gone
    Then "me" is alive with a higher incarnation, which is gossiped

  Scenario: A leaving instance does not become suspect, and stays leaving
    When "a" is reported leaving
    And 20 seconds pass in which only "b" responds
    Then "a" is leaving

  Scenario: A stale list does not bring back an instance that is gone
    When "a" is reported gone
    And the list names "a"
    Then "a" is gone

  Scenario: An instance that the list reports as leaving is leaving
    When the list reports "a" as leaving
    Then "a" is leaving

  Scenario: Limits are shared by the largest recent count
    When "a" is reported gone
    Then limits are shared by 3 instances
    When 700 seconds pass in which only "b" responds
    Then limits are shared by 2 instances

  Scenario: A large fleet reads the list less often, which limits the cost
    Then the list is read every 5 seconds by 9 instances
    And the list is read every 60 seconds by 480 instances

  Scenario: An instance that has been gone for long is removed
    When "a" is reported gone
    And 700 seconds pass in which only "b" responds
    Then "a" is removed

  Scenario: The membership table is bounded
    When 3000 instances are reported gone
    Then at most 2048 entries are held, including "me"

  Scenario: Names that peers state for themselves are not kept
    When 3000 unknown names make contact
    Then times of contact are held for at most 2 names

  Scenario: An instance that restarts behind a clock set back is believed at once
    Given "a" started at the time 5000000 by its clock
    And "a" is reported gone by "me"
    When "a" starts again 2400000 earlier by its clock
    And "a" and "me" exchange their entries
    Then "me" knows "a" to be alive with an incarnation above 5000000

  Scenario: Every instance is watched by others
    Given 30 instances that know each other
    Then each is watched by 4 others

  Scenario: Advice names only live instances, those of the zone first
    Given 9 instances in 3 zones, of which one is leaving and one is suspect
    Then advice for "zone-b" names 3 live instances, its zone first
    And 300 callers are spread over all 7 live instances
    And the advice may be kept for 15 to 20 seconds

  Scenario: A peer confirms only the versions that both instances hold
    Given a configuration confirmed at 100 seconds, revision 7
    When a peer replies to a request sent at 130 seconds with age 10 seconds and other versions
    Then the configuration counts as confirmed at 100 seconds
    When a peer replies to a request sent at 130 seconds with age 10 seconds and the same versions
    Then the configuration counts as confirmed at 120 seconds
    When the service replies with revision 6 to a request sent at 140 seconds
    Then the configuration counts as confirmed at 120 seconds
