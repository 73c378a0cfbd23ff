Feature: Replies of faulty targets that do not end

  # Targets sent bytes without end, and the process that had called them kept
  # them until it ran out of memory.
  Scenario Outline: A node stays within its memory, whose targets do not end their replies
    Given a node with 100 MB and 2000 descriptors, and <shards> shards that send <what> without end
    When <callers> callers search over these shards
    Then an ordinary request is answered
    And the process has stayed within its memory
    And the process has stayed within its descriptors

    Examples:
      | what                     | shards | callers |
      | bytes that are no reply  | 60     | 40      |
      | a status line            | 60     | 40      |
      | a header                 | 60     | 40      |
      | headers                  | 60     | 40      |
      | interim replies          | 60     | 40      |
      | replies to others        | 60     | 40      |
      | a body                   | 60     | 40      |
      | a body with a length     | 60     | 40      |
      | more after a whole reply | 60     | 40      |
      | large chunks             | 60     | 40      |
      | chunks of one byte       | 60     | 40      |
      | a chunk size             | 60     | 40      |
      | trailers                 | 60     | 40      |
      | a body that stalls       | 60     | 40      |
      | many headers and stall   | 60     | 40      |

  Scenario Outline: The daemon of the project's own interface stays within its memory, whose targets do not end their replies
    Given a celeryturnd with 100 MB and 2000 descriptors, and <shards> shards that send <what> without end
    When <callers> callers search over these shards
    Then an ordinary request is answered
    And the process has stayed within its memory
    And the process has stayed within its descriptors

    Examples:
      | what                     | shards | callers |
      | bytes that are no reply  | 60     | 40      |
      | a status line            | 60     | 40      |
      | a header                 | 60     | 40      |
      | headers                  | 60     | 40      |
      | interim replies          | 60     | 40      |
      | replies to others        | 60     | 40      |
      | a body                   | 60     | 40      |
      | a body with a length     | 60     | 40      |
      | more after a whole reply | 60     | 40      |
      | large chunks             | 60     | 40      |
      | chunks of one byte       | 60     | 40      |
      | a chunk size             | 60     | 40      |
      | trailers                 | 60     | 40      |
      | a body that stalls       | 60     | 40      |
      | many headers and stall   | 60     | 40      |
