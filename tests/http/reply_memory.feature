Feature: Memory of replies that are not complete

  # Replies without end took what other replies, and clients, needed.
  Scenario: The largest reply gives way to a smaller one
    Given an account of 1000000 bytes
    And replies that hold 250000, 150000 and 90000 bytes
    When another reply comes to hold 60000 bytes
    Then the reply of 250000 bytes gives way
    And replies hold 300000 bytes together

  # If large replies pushed out each other, the most advanced would be lost.
  Scenario: A larger reply does not give way to a large one
    Given an account of 1000000 bytes
    And replies that hold 250000 and 200000 bytes
    When another reply comes to hold 90000 bytes
    Then there is no room for it
    And no reply gives way

  Scenario: A reply that is the largest gets no more room
    Given an account of 1000000 bytes
    And replies that hold 150000, 150000 and 150000 bytes
    When another reply comes to hold 160000 bytes
    Then there is no room for it
    And no reply gives way

  Scenario: Idle clients do not give way to replies that hold half of the account
    Given an account of 1000000 bytes
    And 150 idle clients of 4096 bytes
    And replies that hold 260000 and 200000 bytes
    When another reply comes to hold 60000 bytes
    Then the reply of 260000 bytes gives way
    And some idle clients are left

  Scenario: A reply that is alone may hold more than half of the account
    Given an account of 1000000 bytes
    And replies that hold 1000 bytes
    When that reply comes to hold 700000 bytes
    Then there is room for it

  Scenario: A small reply is received however much others hold
    Given an account of 1000000 bytes
    And 1000000 bytes of replies that are complete
    When another reply comes to hold 4096 bytes
    Then there is room for it

  # Configurations are large replies; without them, routes stay old.
  Scenario: A reply of the store does not give way
    Given an account of 1000000 bytes
    And a reply of the store that holds 900000 bytes
    And replies that hold 4000 bytes
    When another reply comes to hold 80000 bytes
    Then there is no room for it
    And no reply gives way

  Scenario: The store is read though there is no memory left for replies
    Given replies may take 100000 bytes together
    When the client of the store reads an item of 900000 bytes
    Then it has that item
