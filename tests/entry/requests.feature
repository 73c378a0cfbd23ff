Feature: What bad input gets
  A typed error with its code, no crash, and nothing that is left over.

  Background:
    Given a platform
    And service "reservas" with 4 shards and 2 replicas each
    And 1 instance that is ready

  Scenario Outline: A request that cannot be understood
    When a caller posts json <body> to <path>
    Then the refusal is <code> with status <status>, "not_run"

    Examples:
      | path           | body                                                         | code   | status |
      | /v1/search     | {"service":"nothing"}                                        | CT-103 | 404    |
      | /v1/search     | {"service":"reservas","shards":["s99"]}                      | CT-104 | 404    |
      | /v1/search     | {"service":"reservas","deadline_seconds":-1}                 | CT-201 | 504    |
      | /v1/search     | {"service":"reservas","deadline_seconds":"soon"}             | CT-101 | 400    |
      | /v1/search     | {"service":                                                  | CT-101 | 400    |
      | /v1/search     | [1,2]                                                        | CT-101 | 400    |
      | /v1/nothing    | {}                                                           | CT-102 | 404    |
      | /v1/book       | {"service":"reservas","key":"a/1"}                           | CT-101 | 400    |
      | /v1/book       | {"service":"reservas","key":"a","booking_id":"b","deadline_seconds":0} | CT-201 | 504 |
      | /v1/quickcheck | {"service":"reservas","site":7}                              | CT-101 | 400    |

  Scenario: Every fault of a body is named at once
    When a caller posts json {"service":"A B","limit_count":0,"colour":1} to /v1/search
    Then the refusal names "colour limit_count service"

  Scenario: A body that is too large
    When a caller posts a body of 70000 bytes to /v1/search
    Then the refusal is CT-105 with status 413, "not_run"

  Scenario Outline: Bytes that are no HTTP
    When a caller sends the bytes "<sent>"
    Then the refusal is <code> with status <status>, "not_run"
    And the connection is closed

    Examples:
      | sent                                                         | code   | status |
      | NONSENSE\r\n\r\n                                             | CT-101 | 400    |
      | GET / HTTP/1.1\r\n\r\n                                       | CT-101 | 400    |
      | POST /v1/search HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n | CT-101 | 400 |

  Scenario: Headers that are too large
    When a caller sends a header of 40000 bytes
    Then the refusal is CT-105 with status 413, "not_run"

  Scenario: A request that does not come to its end
    Given requests must be whole within 0.1 seconds
    When a caller sends the bytes "POST /v1/search HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc"
    Then the refusal is CT-106 with status 408, "not_run"
    And the connection is closed

  Scenario: A request that is cut off
    When a caller sends the bytes "POST /v1/search HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc" and closes
    Then the instance has no connection of callers left

  Scenario: Two requests in one packet are answered in order
    When a caller sends two requests in one packet
    Then both are answered in order

  Scenario: A caller that sends far ahead of its answer is cut off
    Given every target takes 5 seconds
    When a caller searches "reservas" and sends 100000 bytes ahead
    Then the instance has no connection of callers left
    And no sub-request is under way

  Scenario: A caller that goes away cancels its sub-requests
    Given every target takes 5 seconds
    When a caller searches "reservas" and goes away once 4 sub-requests are under way
    Then no sub-request is under way

  Scenario: Many requests with random cancellation cross no answer
    Given every target takes 0.002 seconds
    And operators allow 10 seconds for a read of "reservas"
    When 1000 callers ask for records of their own, 300 of them going away
    Then each of the others has its own record or a refusal
    And no sub-request is under way
    And no target ever saw more than 40 connections
