Feature: The cause of a failed request from its identifier

  Scenario: A partial answer names the shard, its targets and the version
    Given a gather route over 3 shards of 2 targets
    And all targets of one shard crash
    When a caller requests "/all/x"
    Then the story of "attempt-1" has "shard-0: not_sent"
    And the story of "attempt-1" has "parts=2/3"
    And the story of "attempt-1" has "table_adopted: version=1"

  Scenario: A booking that no target accepted is reported as not run
    Given a plain route to 2 targets for at-most-once requests
    And all targets have the fault "shed"
    When a caller books at "/one/x"
    Then the story of "attempt-1" has "run=not_run"
    And the story of "attempt-1" has "shed"

  Scenario: A late answer names the slow target
    Given a plain route to 1 targets with an objective of 50 ms
    And its targets take 120 ms
    When a caller requests "/one/x"
    Then the story of "attempt-1" has "late=True"
    And the story of "attempt-1" has "status=200"
    And the story of "attempt-1" has "bookings: succeeded, no target for a second attempt"
    And the causes have "route /one/: 200: late, no target for a second attempt"

  Scenario: Causes are counted, and so are unreadable lines
    Given a gather route over 3 shards of 2 targets
    And all targets of one shard crash
    When a caller requests "/all/x"
    Then the causes have "route /all/: 200: shard-0 not_sent"
    And a log with 2 broken lines is reported to have unreadable ones

  Scenario: Lines with the time and instance that a collector prepends
    Then a line with the prefix "  11.52 front-a-1 " is attributed to the instance "front-a-1"

  Scenario: Lines on successful requests do not displace lines on failed ones
    Given a log budget
    When 1000 requests succeed and 100 fail within a second
    Then all 100 lines on failed requests are written
    And at most 10 lines on successful requests are written

  Scenario: Dropped lines are counted
    Given a log budget
    When 0 requests succeed and 1000 fail within a second
    Then the budget has the number of dropped lines

  Scenario: A reader that stops reading does not block the writer
    Given a log stream whose reader has stopped
    When 20000 lines of 100 bytes are written to it
    Then it holds at most 1000000 bytes and counts the dropped lines
    When the reader resumes
    Then every line that was not dropped is read complete

  Scenario: A log stream whose reader has closed its end
    Given a log stream whose reader has closed its end
    When 10 lines of 100 bytes are written to it
    Then it counts 10 dropped lines
