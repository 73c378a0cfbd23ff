Feature: Known targets

  Scenario: A draining target gets no new requests
    Given the entries "a b"
    When "a" is listed as draining
    Then "b" serves

  Scenario: A target whose entry is removed gets no new requests
    Given the entries "a b"
    When the entries "a" go missing
    Then "b" serves

  Scenario: Many entries that go missing together may reappear
    Given the entries "a b c d"
    When the entries "a b c" go missing
    Then "a b c d" serves
    When 1 seconds pass at the store
    And "a" is listed again
    And 2 seconds pass at the store
    Then "a d" serves

  Scenario: Some entries that go missing together get a shorter grace period
    Given the entries "a b c d e f g h"
    When the entries "a b c" go missing
    Then "a b c d e f g h" serves
    When 1.3 seconds pass at the store
    Then "d e f g h" serves

  Scenario: A single entry that goes missing after a time without changes is dropped
    Given the entries "a"
    When 60 seconds pass at the store
    And the entries "a" go missing
    Then "a" serves
    When 2.3 seconds pass at the store
    Then nothing serves

  Scenario: After an outage of the store a single entry may reappear too
    Given the entries "a b"
    When the store recovers
    And the entries "a" go missing
    Then "a b" serves
    When 2.3 seconds pass at the store
    Then "b" serves

  Scenario: A draining target whose entry goes missing is dropped at once
    Given the entries "a b c d"
    When "a" is listed as draining
    And the store recovers
    And the entries "a b c" go missing
    Then "b c d" serves

  Scenario: A new incarnation with the same identifier is a new target
    Given the entries "a b"
    When "a" was slow and restarts
    Then no observation is kept of "a"

  Scenario: An outdated entry changes nothing
    Given the entries "a b"
    When "a" is listed as draining
    And an outdated entry of "a" arrives late
    Then "b" serves

  Scenario: A complete list replaces the known targets
    Given the entries "a b"
    When a complete list is read with "b c"
    Then "b c" serves
