Feature: Route and service of a request

  Scenario: The longest matching prefix of a host is used
    Given routes with the prefixes "/a/ /a/b/ /c/"
    Then "/a/b/x" has the route "/a/b/"
    And "/a/x" has the route "/a/"
    And "/d/x" has no route
    And another host has no route for "/a/x"

  Scenario: A prefix ends with a slash and matches only whole path segments
    Given routes with the prefixes "/a/"
    Then "/ab/x" has no route

  Scenario: Only a table with a higher version replaces the current one
    Given the current table has version 7
    Then version 8 is newer
    And version 7 is not newer
    And version 6 is not newer

  Scenario: A small number of requests is also split by weight
    Given a route split over "x:3 y:1"
    When 40 requests are split
    Then "x" gets 30 and "y" gets 10

  Scenario: A change of the services restarts the split
    Given a route split over "x:3 y:1"
    When 10 requests are split
    And the route is split over "x:1 z:1"
    And 20 requests are split
    Then "x" gets 10 and "z" gets 10

  Scenario Outline: A caller's elapsed wait is estimated from its remaining time
    Given callers of a route with <reported> ms remaining, mostly 1200
    Then a caller with <left> ms remaining has waited <waited> ms

    Examples:
      | reported                 | left | waited |
      | 1200 1200 1192 1186 1200 | 1200 | 0      |
      | 1200 1200 1192 1186 1200 | 1186 | 14     |
      | 1200 1200 1200 9000      | 9000 | 0      |
      | 1200 1200 1200           | 300  | 0      |
