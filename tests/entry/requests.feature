Feature: Handling of invalid and interrupted requests
  Invalid input gets a typed error with its code.  No request crashes the
  instance or leaves a connection or sub-request behind.

  Background:
    Given a platform
    And service "reservas" with 4 shards and 2 replicas each
    And 1 instance that is ready

  Scenario Outline: A request that is not valid
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

  Scenario: All faults of a body are reported at once
    When a caller posts json {"service":"A B","limit_count":0,"colour":1} to /v1/search
    Then the refusal lists faults in "colour limit_count service"

  Scenario: A body that is too large
    When a caller posts a body of 70000 bytes to /v1/search
    Then the refusal is CT-105 with status 413, "not_run"

  Scenario Outline: Bytes that are not valid HTTP
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

  Scenario: A request that does not arrive completely in time
    Given requests must be complete within 0.1 seconds
    When a caller sends the bytes "POST /v1/search HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc"
    Then the refusal is CT-106 with status 408, "not_run"
    And the connection is closed

  # Each piece of a head began the time for the request anew, so that a head
  # could be kept open for good.
  Scenario: A head that arrives byte by byte does not arrive in time either
    Given requests must be complete within 0.1 seconds
    When a caller sends a head without end, byte by byte
    Then the refusal is CT-106 with status 408, "not_run"
    And the connection is closed

  Scenario: A request that is cut off
    When a caller sends the bytes "POST /v1/search HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc" and closes
    Then the instance has no caller connections left

  Scenario: Two requests in one packet are answered in order
    When a caller sends two requests in one packet
    Then both are answered in order

  Scenario: A caller that sends too many bytes before its answer is disconnected
    Given every target takes 5 seconds
    When a caller searches "reservas" and sends 100000 further bytes before the answer
    Then the instance has no caller connections left
    And no sub-request is in flight

  Scenario: Sub-requests are cancelled when their caller disconnects
    Given every target takes 5 seconds
    When a caller searches "reservas" and disconnects once 4 sub-requests are in flight
    Then no sub-request is in flight

  Scenario: Answers are not mixed up when many requests are cancelled at random
    Given every target takes 0.002 seconds
    And operators allow 10 seconds for a read of "reservas"
    And the targets hold 1000 records
    When 1000 callers request one record each, no two the same, and 300 of them cancel
    Then each of the others receives its own record or a refusal
    And no sub-request is in flight
    And no target ever had more than 40 connections
