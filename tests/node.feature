Feature: The daemon of the users' platform as a real process

  Scenario: It serves, tells what it does, and ends gracefully
    Given the platform's store, with a route to a target
    When the daemon is started with the settings that the platform writes
    Then it answers a caller
    And the platform's question and the directory are answered
    When the settings file changes and it gets SIGHUP
    And it gets SIGTERM
    Then it ends with exit code 0
    And its log says "started ready reloaded leaving stopped", every line an object

  Scenario: Settings with faults are refused whole
    When the daemon is started with settings that have 3 faults
    Then it ends with exit code 2
    And its log names "platform.Address Listen.Ready Zone"

  Scenario: The command line checks the same settings
    Then "celeryturn check --platform" finds the settings valid
    And it names all of "platform.Address Listen.Ready Zone" in faulty ones
