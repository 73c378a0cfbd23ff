Feature: Which targets there are

  Scenario: A draining target gets nothing new
    Given the entries "a b"
    When "a" is listed as draining
    Then "b" serves

  Scenario: One whose entry is removed gets nothing new
    Given the entries "a b"
    When the entries "a" go missing
    Then "b" serves

  Scenario: Many entries that go missing together may have lapsed
    Given the entries "a b c d"
    When the entries "a b c" go missing
    Then "a b c d" serves
    When 1 seconds pass at the store
    And "a" is listed again
    And 2 seconds pass at the store
    Then "a d" serves

  Scenario: Some that go missing together are given less time
    Given the entries "a b c d e f g h"
    When the entries "a b c" go missing
    Then "a b c d e f g h" serves
    When 1.3 seconds pass at the store
    Then "d e f g h" serves

  Scenario: A single entry that goes missing right after a rest is gone
    Given the entries "a"
    When 60 seconds pass at the store
    And the entries "a" go missing
    Then "a" serves
    When 2.3 seconds pass at the store
    Then nothing serves

  Scenario: After the store was away a single entry may have lapsed too
    Given the entries "a b"
    When the store is back
    And the entries "a" go missing
    Then "a b" serves
    When 2.3 seconds pass at the store
    Then "b" serves

  Scenario: A draining target that goes missing has left, lapse or not
    Given the entries "a b c d"
    When "a" is listed as draining
    And the store is back
    And the entries "a b c" go missing
    Then "b c d" serves

  Scenario: Another start under the same identifier is another target
    Given the entries "a b"
    When "a" was slow and starts again
    Then nothing is remembered of "a"

  Scenario: An entry that was overtaken changes nothing
    Given the entries "a b"
    When "a" is listed as draining
    And an older entry of "a" comes late
    Then "b" serves

  Scenario: A whole list replaces what was believed
    Given the entries "a b"
    When the list is read and has "b c"
    Then "b c" serves
