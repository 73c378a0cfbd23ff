Feature: What instances tell each other about the members of the fleet

  Scenario: Equal tables exchange no entry
    Given two instances that know the same 200 members
    Then a new link between them exchanges 0 entries

  Scenario: Only what differs is exchanged
    Given two instances that know the same 200 members
    And the first one knows 2 members more and 1 in a later incarnation
    Then a new link between them exchanges 4 entries
    And both know the same members

  Scenario: An instance that starts receives each entry once
    Given an instance that knows 200 members and one that knows only itself
    Then a new link between them exchanges 201 entries
    And both know the same members

  Scenario: A single change is told at once, many in a short time together
    Given a peer to which nothing was told for 10 s
    When member "a" changes
    Then it is told at once
    When the members "b c d" change within 0.1 s
    Then they are told together, 0.2 s after the first message

  Scenario: What a peer has told itself is not told to it
    Given a peer to which "a b" are to be told
    When the peer tells "a", and an earlier incarnation of "b"
    Then only "b" is told to it

  Scenario: An instance that joins is introduced to those that follow it on the ring
    Given 40 instances in 4 zones that know each other
    Then one that joins zone "z-1" is introduced to 7 instances, mostly of its zone
    And an instance that knows few of its zone introduces it later

  Scenario: Neighbours are mostly in the same availability zone
    Given 40 instances in 4 zones that know each other
    Then of the 3 neighbours of each at most 1 in 4 is in another zone
    And each is also watched by one other instance, mostly of another zone

  Scenario: A suspect neighbour is watched on, and does not count
    Given 40 instances in 4 zones that know each other
    When the next 2 neighbours of an instance are suspect
    Then it has 5 neighbours, of which 3 are alive

  Scenario: Each zone has three delegates, on which all agree
    Given 40 instances in 4 zones that know each other
    Then 3 instances of each zone are delegates
    And each pair of zones is linked by 3 links of delegates
    And any other instance is linked to one delegate of its zone

  Scenario: In a small fleet all instances are delegates without further links
    Given 9 instances in 3 zones that know each other
    Then 3 instances of each zone are delegates
    And no instance dials a delegate as such

  Scenario: The loss of a delegate makes another one of its zone a delegate
    Given 40 instances in 4 zones that know each other
    When a delegate of zone "z-1" is gone
    Then 3 instances of each zone are delegates

  Scenario: Delegates are dialled once they have been chosen for a time
    Given 40 instances in 4 zones that know each other
    Then a delegate that was chosen just now is dialled after 2 s

  Scenario: An instance that has just joined links to one neighbour first
    Then an instance links to 1 neighbour for 2 s after its first contact, then to 3
    And an instance without any contact tries 3 neighbours
