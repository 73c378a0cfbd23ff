Feature: From a request's identifier to its cause

  Scenario: A partial answer names the shard, its targets and the version
    Given a gather route over 3 shards of 2 targets
    And all targets of one shard crash
    When a caller asks for "/all/x"
    Then the story of "attempt-1" has "shard-0: not_sent"
    And the story of "attempt-1" has "parts=2/3"
    And the story of "attempt-1" has "table_adopted: version=1"

  Scenario: A booking that nobody took is told as not run
    Given a plain route to 2 targets for requests that run once
    And all targets have the fault "shed"
    When a caller books at "/one/x"
    Then the story of "attempt-1" has "run=not_run"
    And the story of "attempt-1" has "shed"

  Scenario: A late answer names the target that was slow
    Given a plain route to 1 targets with an objective of 50 ms
    And its targets take 120 ms
    When a caller asks for "/one/x"
    Then the story of "attempt-1" has "late=True"
    And the story of "attempt-1" has "status=200"
    And the story of "attempt-1" has "bookings: succeeded, no target for a second attempt"
    And the causes have "route /one/: 200: late, no target for a second attempt"

  Scenario: Causes are counted, and lines that cannot be read too
    Given a gather route over 3 shards of 2 targets
    And all targets of one shard crash
    When a caller asks for "/all/x"
    Then the causes have "route /all/: 200: shard-0 not_sent"
    And a log with 2 broken lines says so

  Scenario: Lines as a collector writes them, with time and instance before
    Then a line with "  11.52 front-a-1 " before it is of the instance "front-a-1"

  Scenario: Lines on what went wrong keep their place
    Given a log budget
    When 1000 requests go well and 100 go wrong within a second
    Then all 100 lines on what went wrong are written
    And at most 10 lines on what went well are written

  Scenario: What is left out is counted
    Given a log budget
    When 0 requests go well and 1000 go wrong within a second
    Then the budget says how many lines were left out

  Scenario: A reader that stops reading holds nothing up
    Given a log stream whose reader has stopped
    When 20000 lines of 100 bytes are written to it
    Then it holds at most 1000000 bytes and counts the rest
    When the reader goes on
    Then every line that was not given up comes whole

  Scenario: A log stream whose reader is gone
    Given a log stream whose reader has gone
    When 10 lines of 100 bytes are written to it
    Then it counts 10 lines as given up
