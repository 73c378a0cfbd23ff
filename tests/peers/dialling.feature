Feature: Dialling peers that may have no power
  A packet to a peer without power is lost and sent again only after a second.

  Scenario: The first attempts are shorter than the repetition by the system
    Then the first two attempts to dial a peer take less than 1 s together

  Scenario: A peer that may be slow gets more time with each attempt
    When 5 attempts to dial a peer time out
    Then the next attempt may take 2 s

  Scenario: A peer that refuses a connection has power and is starting
    When 5 attempts to dial a peer time out
    And it refuses a connection
    Then the next attempt may take 0.25 s
