Feature: Instances of two builds form one fleet

  # The bytes were written by the build of commit 8b4d914.  Guards against: an
  # instance that is replaced is not understood by those that are not yet.
  Scenario Outline: A message of the former build is understood, and written alike
    When a peer sends the bytes <bytes>
    Then they are a message of type <type>
    And the message is written with the same bytes

    Examples:
      | type              | bytes |
      | Hello             | 84020167656e7472792d31f5 |
      | Join              | 8302028a67656e7472792d316831302e302e302e31191f40191e3c667a6f6e652d611b000001a0c4506c0065616c697665190834f4f5 |
      | Digest            | 830203480101010101010101 |
      | Summary           | 840210480202020202020202480303030303030303 |
      | EntryRequest      | 830211480404040404040404 |
      | Members           | 830204818a67656e7472792d316831302e302e302e31191f40191e3c667a6f6e652d611b000001a0c4506c0065616c697665190834f4f5 |
      | Ping              | 840205fb402900000000000083098201184dfb3fd0000000000000 |
      | Pong              | 870206fb4029000000000000fb3fe00000000000001a075bcd15182c83098201184dfb3fd0000000000000 |
      | Announcement      | 83020783098201184dfb3fd0000000000000 |
      | Versions          | 830208a168726573657276617303 |
      | DocumentRequest   | 830209687265736572766173 |
      | Document          | 83020a427b7d |
      | TableRequest      | 83020b09 |
      | Table             | 83020c42789c |
      | TargetListRequest | 83020d8201184d |
      | LeavingTargets    | 83020f818263692d311b000001a0c4506c00 |
      | RequestRates      | 830212818463692d311b000001a0c4506c00fb402d000000000000fb3fe0000000000000 |
      | Handover          | 880213058209fb3fc000000000000063474554662f6f6e652f78818264686f73746d74726970732e6578616d706c6540 |
      | HandoverReply     | 8602140518c8818263782d61616244626f6479 |
      | HandoverDecline   | 83021505 |
      | HandoverCancel    | 83021605 |
      | TargetList        | 83020e858201184df5818a63692d316872657365727661736831302e302e302e39192328667a6f6e652d6105f4fb3ff80000000000001b000001a0c4506c000c8163692d3209 |

  Scenario: The former build ignores the messages that it does not know
    Then each message that was added since has a code that the former build does not use
