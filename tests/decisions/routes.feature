Feature: Which route and service a request has

  Scenario: The longest prefix of the host decides
    Given routes with the prefixes "/a/ /a/b/ /c/"
    Then "/a/b/x" has the route "/a/b/"
    And "/a/x" has the route "/a/"
    And "/d/x" has no route
    And another host has no route for "/a/x"

  Scenario: A prefix ends with a slash, so that a longer name is another
    Given routes with the prefixes "/a/"
    Then "/ab/x" has no route

  Scenario: Only a higher version replaces the one in force
    Given a table of version 7 is in force
    Then version 8 is newer
    And version 7 is not newer
    And version 6 is not newer

  Scenario: Requests are split by weight, over short spans too
    Given a route split over "x:3 y:1"
    When 40 requests are split
    Then "x" gets 30 and "y" gets 10

  Scenario: A split whose services change begins anew
    Given a route split over "x:3 y:1"
    When 10 requests are split
    And the route is split over "x:1 z:1"
    And 20 requests are split
    Then "x" gets 10 and "z" gets 10

  Scenario Outline: What a caller had waited before is told by what is left
    Given callers of a route that told <told> ms, most of them 1200
    Then one that tells <left> ms has waited <waited> ms

    Examples:
      | told                     | left | waited |
      | 1200 1200 1192 1186 1200 | 1200 | 0      |
      | 1200 1200 1192 1186 1200 | 1186 | 14     |
      | 1200 1200 1200 9000      | 9000 | 0      |
      | 1200 1200 1200           | 300  | 0      |
