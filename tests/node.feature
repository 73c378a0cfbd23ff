Feature: The daemon of the users' platform as a real process

  Scenario: It serves, tells what it does, and ends gracefully
    Given the platform's store, with a route to a target
    When the daemon is started with the settings that the platform writes
    Then it answers a caller
    And the platform's question and the directory are answered
    And it dumps its state on request
    When the settings file changes and it gets SIGHUP
    And it gets SIGTERM
    Then it ends with exit code 0
    And its log says "started ready reloaded leaving stopped", every line an object

  Scenario: Three failures of the real process, each told from its log
    Given the platform's store, with a route to a target
    And one more route over 3 shards, of which 2 must reply
    When the daemon is started with the settings that the platform writes
    Then it answers a caller
    When 2 shards fail, and a caller asks for all of them as "partial"
    And the target sheds, and a caller books as "refused"
    And the target is slow, the objective shortened, and a caller asks as "late"
    And it gets SIGTERM
    Then it ends with exit code 0
    And the story of "partial" from its output has "coverage_too_low" and "shard-0: failed"
    And the story of "refused" from its output has "run=not_run" and "once: shed"
    And the story of "late" from its output has "late=True" and "version=3"

  Scenario: Settings with faults are refused whole
    When the daemon is started with settings that have 3 faults
    Then it ends with exit code 2
    And its log names "platform.Address Listen.Ready Zone"

  Scenario: The command line checks the same settings
    Then "celeryturn check --platform" finds the settings valid
    And it names all of "platform.Address Listen.Ready Zone" in faulty ones
