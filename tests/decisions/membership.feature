Feature: Which instances are believed live

  Background:
    Given an instance "me" that has heard of "a" and "b" alive

  Scenario: A neighbour that falls silent is suspected, then given up
    When 3.5 seconds pass in which only "b" is heard
    Then "a" is suspect
    When 5.5 seconds pass in which only "b" is heard
    Then "a" is gone

  Scenario: A newer incarnation replaces what was given up
    When "a" is told to be gone
    And "a" is told to be alive with a higher incarnation
    Then "a" is alive

  Scenario: An older word does not replace a newer one
    When "a" is told to be alive with a higher incarnation
    And "a" is told to be gone
    Then "a" is alive

  Scenario: An instance that hears itself called gone raises its incarnation
    When "me" is told to be gone
    Then "me" is alive with a higher incarnation, and says so

  Scenario: One that leaves is not suspected, and stays leaving
    When "a" is told to be leaving
    And 20 seconds pass in which only "b" is heard
    Then "a" is leaving

  Scenario: The lagging list does not bring back what is known to be gone
    When "a" is told to be gone
    And the list names "a"
    Then "a" is gone

  Scenario: The list is believed where it calls one leaving
    When the list calls "a" leaving
    Then "a" is leaving

  Scenario: Limits are shared by the largest recent count
    When "a" is told to be gone
    Then limits are shared by 3 instances
    When 700 seconds pass in which only "b" is heard
    Then limits are shared by 2 instances

  Scenario: A large fleet reads the list less often, so that it costs no more
    Then the list is read every 5 seconds by 9 instances
    And the list is read every 60 seconds by 480 instances

  Scenario: The gone are forgotten in the end
    When "a" is told to be gone
    And 700 seconds pass in which only "b" is heard
    Then "a" is forgotten

  Scenario: The table is bounded
    When 3000 instances are told to be gone
    Then at most 2048 entries are held, "me" among them

  Scenario: Every instance is watched by another
    Given 30 instances that know each other
    Then each is watched by 4 others

  Scenario: Advice leaves out all that are not alive, and puts the zone first
    Given 9 instances in 3 zones, of which one leaves and one is suspect
    Then advice for "zone-b" names 3 that are alive, its zone first
    And 300 callers are spread over all 7 that are alive
    And it may be kept for 15 to 20 seconds

  Scenario: A peer vouches only for the versions that both hold
    Given a configuration confirmed at 100 seconds, revision 7
    When a peer asked at 130 seconds vouches for 10 seconds ago with other versions
    Then it counts as confirmed at 100 seconds
    When a peer asked at 130 seconds vouches for 10 seconds ago with the same versions
    Then it counts as confirmed at 120 seconds
    When the service, asked at 140 seconds, shows revision 6
    Then it counts as confirmed at 120 seconds
