Feature: Decoders raise nothing but their typed error
  Generated input, the same for every run; make fuzz goes on with other input.

  Scenario Outline: Input of any kind
    Then the decoder of <what> takes any input or refuses it with its code

    Examples:
      | what           |
      | request bodies |
      | peer messages  |
      | configuration  |
      | settings       |

  Scenario Outline: Valid input with one part replaced
    Then the decoder of <what> takes valid input with any part replaced, or refuses it with its code

    Examples:
      | what          |
      | peer messages |
      | configuration |
      | settings      |

  Scenario: What is packed is unpacked the same
    Then every peer message comes back as it was

  Scenario: Any key has one shard in any partition map
    Then any key stands in exactly one shard of any valid map
