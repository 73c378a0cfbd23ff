Feature: Crowds of clients that do not behave

  # Large bodies that were not complete, answers that were not read and requests
  # that were sent ahead ended a process, which ran out of memory.
  Scenario Outline: A node stays within its memory, at each port
    Given a node with <memory> MB and 2000 descriptors, whose targets take <delay> ms
    When <count> clients send <what> to its <port> port
    Then an ordinary request is answered
    And the process has stayed within its memory
    And the process has stayed within its descriptors

    Examples:
      | port      | what                                       | count | memory | delay |
      | front     | large bodies, short of their end           | 400   | 100    | 0     |
      | front     | large bodies in pieces, short of their end | 400   | 100    | 0     |
      | front     | whole large bodies                         | 400   | 100    | 500   |
      | front     | large chunks, short of their end           | 400   | 100    | 0     |
      | front     | chunks of one byte, short of their end     | 400   | 100    | 0     |
      | front     | requests ahead, and read no answer         | 40    | 100    | 0     |
      | front     | bodies ahead of their turn                 | 400   | 100    | 500   |
      | front     | heads, short of their end                  | 1200  | 64     | 0     |
      | front     | chunk sizes, short of their end            | 1200  | 64     | 0     |
      | front     | trailers, short of their end               | 1200  | 64     | 0     |
      | ready     | large bodies, short of their end           | 1300  | 100    | 0     |
      | ready     | chunks of one byte, short of their end     | 1300  | 100    | 0     |
      | directory | large bodies in pieces, short of their end | 1300  | 100    | 0     |
      | directory | heads, short of their end                  | 1200  | 64     | 0     |
      | metrics   | large chunks, short of their end           | 1300  | 100    | 0     |
      | metrics   | requests ahead, and read no answer         | 400   | 100    | 0     |
      | control   | handshakes, short of their end             | 250   | 100    | 0     |
      | control   | peer messages, short of their end          | 120   | 100    | 0     |

  Scenario Outline: The daemon of the project's own interface stays within its memory
    Given a celeryturnd with <memory> MB and 2000 descriptors
    When <count> clients send <what> to its <port> port
    Then an ordinary request is answered
    And the process has stayed within its memory
    And the process has stayed within its descriptors

    Examples:
      | port    | what                                       | count | memory |
      | callers | large bodies, short of their end           | 1300  | 100    |
      | callers | large bodies in pieces, short of their end | 1300  | 100    |
      | callers | whole large bodies                         | 1300  | 100    |
      | callers | large chunks, short of their end           | 1300  | 100    |
      | callers | chunks of one byte, short of their end     | 1300  | 100    |
      | callers | requests ahead, and read no answer         | 100   | 64     |
      | callers | heads, short of their end                  | 1200  | 64     |
      | peers   | handshakes, short of their end             | 250   | 100    |
      | peers   | peer messages, short of their end          | 120   | 100    |

  # The ports had a limit each, and what was over it was the newcomer.
  Scenario: A node stays within its descriptors
    Given a node with 100 MB and 1000 descriptors, whose targets take 0 ms
    When 400 clients connect to each of its ports and send nothing
    Then an ordinary request is answered
    And the process has stayed within its memory
    And the process has stayed within its descriptors

  Scenario: The daemon of the project's own interface stays within its descriptors
    Given a celeryturnd with 100 MB and 1000 descriptors
    When 1000 clients connect to each of its ports and send nothing
    Then an ordinary request is answered
    And the process has stayed within its memory
    And the process has stayed within its descriptors

  Scenario Outline: A caller that reads slowly but steadily gets its whole answer
    Given a node with 100 MB and 2000 descriptors, whose targets take 0 ms
    When a caller begins to read an answer bit by bit
    And <count> clients send <what> to its front port
    Then that caller gets its whole answer
    And an ordinary request is answered
    And the process has stayed within its memory

    Examples:
      | what                               | count |
      | requests ahead, and read no answer | 40    |
      | large bodies, short of their end   | 400   |

  # A body was written to each of the services of a request.
  Scenario: Bodies for many services stay within the memory
    Given a node with 100 MB and 2000 descriptors, and 120 shards that read nothing
    When 40 clients send whole large bodies to its shards
    Then an ordinary request is answered
    And the process has stayed within its memory

  # The process ended about 3 s after the signal and cut the answer.
  Scenario: A shutdown waits for a caller that reads slowly but steadily
    Given a node with 100 MB and 2000 descriptors, whose targets take 0 ms
    When it gets SIGTERM while a caller reads an answer bit by bit
    Then that caller gets its whole answer
    And the process ends by itself

  Scenario: A shutdown of the project's own interface waits for such a caller too
    Given a celeryturnd with 100 MB and 2000 descriptors
    When it gets SIGTERM while a caller reads an answer bit by bit
    Then that caller gets its whole answer
    And the process ends by itself
