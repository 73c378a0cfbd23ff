Feature: Connections to targets that start again at the same address

  # A field that is added to the connections and kept by mistake would apply to
  # another process.
  Scenario: Nothing of the connections to an earlier start is kept
    Given a plain route to 1 targets
    And a caller has requested "/one/x"
    When the first target is listed with a new start
    Then each field of its connections is treated as follows
      | field                       | at a new start       |
      | _last_sequence_number       | as at first          |
      | address                     | from the new entry   |
      | connection_count            | as at first          |
      | connection_share            | computed at each use |
      | connections                 | as configured        |
      | identifier_use              | as at first          |
      | idle                        | as at first          |
      | is_open                     | as at first          |
      | opening                     | as at first          |
      | port                        | from the new entry   |
      | reset_backoff_until_seconds | as at first          |
      | waiting                     | as at first          |
    And the new start is logged

  # Requests were written to connections whose process had ended, and lost.
  Scenario: No request is sent over a connection to an earlier start
    Given a plain route to 1 targets
    And a caller has requested "/one/x"
    When the first target is listed with a new start
    Then the connection to its earlier start is closed
    When a caller requests "/one/y"
    Then the answer has the status 200
    And one connection to the new start is counted

  # If the later start counted one connection less than it has, this instance
  # would exceed its share of the connections of the target.
  Scenario: A request in flight at an earlier start completes and is not counted at the later one
    Given a plain route to 1 targets
    And its targets take 300 ms
    When a caller requests "/one/x" while the first target is listed with a new start
    Then the answer has the status 200
    And no connection to the new start is counted

  Scenario: A request that is cancelled at an earlier start is not counted at the later one
    Given a plain route to 1 targets
    And one target has the fault "silent"
    When a caller requests "/one/x" until the first target is listed with a new start, and disconnects
    Then the earlier start of the first target notices the end of its connection
    And no connection to the new start is counted

  # A request that waited for a connection was sent to the later start unseen by
  # its limits.
  Scenario: A request that waits for a connection is given another target
    Given a plain route to 2 targets
    And only the second target is full
    And no connection to a target can be opened for now
    When a caller requests "/one/x" while the first target is listed with a new start
    Then the answer has the status 200
    And the request waited for the earlier start

  # The connection that showed that the target runs led to its later start, so
  # the request that had ended the earlier one was not suspected.
  Scenario: A target that is listed with a new start has ended, though it accepts connections
    Given a plain route to 1 targets
    When a reply is lost and the first target is listed with a new start
    Then the end of the earlier start is known
