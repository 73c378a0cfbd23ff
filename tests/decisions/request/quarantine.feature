Feature: Requests under which targets ended

  Scenario: A request is blocked once three targets ended under it
    Given no target has ended
    When target a-1 of service a ends under the request
    Then it is suspect for a
    When target a-2 of service a ends under the request
    Then it is suspect for a
    When target a-3 of service a ends under the request
    Then its standing is blocked
    And any other request is clear

  # Guards against: one end, told by many, blocks a request.
  Scenario: An end counts once however often it is told
    Given no target has ended
    When target a-1 of service a ends under the request
    And all of this is told again 5 times
    Then it is suspect for a

  Scenario: The same target that starts and ends again counts again
    Given no target has ended
    When the starts 1 2 3 of target a-1 of service a end under the request
    Then its standing is blocked

  # Guards against: popular requests are blocked, since they are in flight
  # whenever a target ends.
  Scenario: A request that a target has survived since is clear
    Given no target has ended
    When target a-1 of service a ends under the request
    And target a-2 of service a ends under the request
    And a target of service a survives the request
    And target a-3 of service a ends under the request
    Then it is suspect for a
    When a target of service a survives the request
    Then its standing is clear

  Scenario: Ends of three services block a request that nothing has survived
    Given no target has ended
    When target a-1 of service a ends under the request
    And target b-1 of service b ends under the request
    And target c-1 of service c ends under the request
    Then its standing is blocked
    When a target of service d survives the request
    Then it is suspect for a b c
    When a target of service b survives the request
    Then it is suspect for a c

  Scenario: A request that ends targets of one service only is blocked too
    Given no target has ended
    When target a-1 of service a ends under the request
    And a target of service b survives the request
    And target a-2 of service a ends under the request
    And a target of service b survives the request
    And target a-3 of service a ends under the request
    And a target of service b survives the request
    Then its standing is blocked

  Scenario: What is cleared stays so, whatever a peer that missed it tells
    Given no target has ended
    When target a-1 of service a ends under the request
    And all of this is noted by a peer
    And a target of service a survives the request
    And the peer tells what it has noted
    Then its standing is clear

  Scenario: Any order of what is told leads to the same standing
    Then ends and survivals in any order, told any number of times, lead to one standing

  # Guards against: lost links make targets seem to have ended.
  Scenario: An end is none if the target replies on a connection from before
    Given no target has ended
    When target a-1 of service a ends under the request
    And target a-1 replies on an older connection to a later request
    Then its standing is clear

  Scenario Outline: A reply that another process may have sent clears nothing
    Given no target has ended
    When target a-1 of service a ends under the request
    And target a-1 replies <how>
    Then it is suspect for a

    Examples:
      | how                                            |
      | on a newer connection to a later request       |
      | on an older connection to an earlier request   |

  Scenario: Ends of long ago are forgotten
    Given no target has ended
    When target a-1 of service a ends under the request
    And 3700 s go by
    Then nothing is known of any request

  Scenario: What is known is bounded
    Given no target has ended
    When 3000 requests each end 40 targets
    Then at most 2048 requests with at most 32 ends are known
    And what is told on a new link fits a message

  # Guards against: a target that hangs for long fills the memory.
  Scenario: Lost replies that nothing explains are bounded
    When 1000 replies of one target are lost, and nothing shows whether it ended
    Then at most 64 of its ends are kept

  Scenario: A blocked request is tried again, twice at most
    Given no target has ended
    When targets a-1 a-2 a-3 of service a end under the request
    Then a trial is due in 1 s
    When 1 s go by
    And target a-4 of service a ends under the request
    Then a trial is due in 300 s
    When 300 s go by
    And target a-5 of service a ends under the request
    Then a trial is due in 3600 s

  # Guards against: many targets that end at once use up all trials of a request
  # that was only in flight.
  Scenario: Ends at the same time do not count as trials
    Given no target has ended
    When targets a-1 a-2 a-3 a-4 a-5 a-6 of service a end under the request
    Then a trial is due in 1 s

  Scenario: One of the live instances makes the trial
    Then exactly one of 9 instances makes the trial of each of 200 requests
    And the trials of an instance that is gone are made by others
