Feature: Decoders raise only their typed error
  The generated input is the same for every run; make fuzz tries other input.

  Scenario Outline: Arbitrary input
    Then the decoder of <what> accepts any input or rejects it with its error code

    Examples:
      | what           |
      | request bodies |
      | peer messages  |
      | configuration  |
      | settings       |
      | headers        |
      | advice queries |
      | store entries  |
      | routes         |
      | node settings  |
      | responses      |

  Scenario Outline: Valid input with one part replaced
    Then the decoder of <what> accepts valid input with any part replaced or rejects it with its error code

    Examples:
      | what          |
      | peer messages |
      | configuration |
      | settings      |
      | store entries |
      | routes        |
      | target lists  |

  Scenario: Numbers in text are finite and within bounds
    Then every number that is read from text is finite and within its bounds

  Scenario: Encoding and decoding a peer message
    Then every peer message is unchanged after encoding and decoding

  Scenario: Looking up the shard of a key
    Then every key belongs to exactly one shard of every valid partition map
