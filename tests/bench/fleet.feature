Feature: A simulated fleet of many instances

  Background:
    Given a simulated fleet of 48 instances in 4 zones

  Scenario: A start of all costs each instance a bounded number of bytes
    When all instances start at once
    Then all know all within 4 s
    And each has sent at most 40000 bytes after 16 s, a fifth of them to other zones
    And each sends at most 1000 bytes a second at rest

  Scenario: The loss of one instance is noticed by all
    When all instances start at once
    And 16 simulated seconds pass
    And 1 instance is lost
    Then all know all within 5 s

  Scenario: The loss of a zone is noticed by all
    When all instances start at once
    And 16 simulated seconds pass
    And all instances of a zone are lost
    Then all know all within 12 s

  Scenario: The loss of half of the instances is noticed by all
    When all instances start at once
    And 16 simulated seconds pass
    And every second instance is lost
    Then all know all within 20 s

  Scenario: Two halves that were apart unite
    When all instances start at once
    And 16 simulated seconds pass
    And the fleet is cut into halves for 30 s
    Then all know all within 5 s

  Scenario: An instance that was only watched is told what is new once it is a neighbour
    When all instances start at once
    And 16 simulated seconds pass
    And all but 12 instances are lost
    Then all know all within 60 s
    When 5 simulated seconds pass
    Then each is linked as a neighbour with its neighbours
