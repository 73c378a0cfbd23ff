@fleet
Feature: Real processes: the daemon and the command-line tool
  Nine instances and the stand-ins of the "consorcio" fleet, each in a process
  of its own.

  Scenario Outline: A command prints a readable answer
    When an operator runs "<words>"
    Then it exits with <code>
    And it prints "<printed>"

    Examples:
      | words                                            | code | printed                 |
      | search reservas                                  | 0    | coverage 10 of 10 shards, complete |
      | search informes-socios --text site-0003          | 0    | coverage 14 of 14       |
      | quickcheck reservas --site site-0002             | 0    | site-0002/0             |
      | record liquidacion site-0001/2                   | 0    | site-0001/2             |
      | addresses --caller c-1 --zone bilbao-c           | 0    | entry-bilbao-c          |
      | state                                            | 0    | waiting_at_one_target   |
      | config                                           | 0    | entry-santander-b-2     |
      | explain avisos                                   | 0    | by expected wait        |
      | book avisos site-0001/0 --booking-id cli-1       | 0    | booked: site-0001/0     |
      | book avisos site-0001/0 --booking-id cli-1       | 5    | CT-305                  |
      | book avisos site-0001/0 --places 9 --booking-id cli-2 | 5 | CT-306               |
      | search nothing                                   | 3    | CT-103                  |
      | record reservas site-0001/77                     | 3    | CT-308                  |
      | search reservas --deadline-seconds -1            | 4    | CT-201                  |
      | search reservas --at 127.0.0.1:1                 | 7    | CT-601                  |
      | search reservas --at nonsense                    | 2    | CT-101                  |
      | check README.md                                  | 2    | CT-501                  |
      | check nothing.yaml                               | 2    | cannot be read          |
      | check examples/settings-redda.yaml               | 0    | valid settings of       |
      | check examples/configuration-reservas.yaml       | 0    | valid configuration of reservas |

  Scenario: A path that looks like a number causes no warning
    When an operator runs "check /tmp/0none/1e5x.yaml"
    Then it exits with 2
    And only the refusal is printed

  Scenario: JSON for machines
    When an operator runs "search reservas --json"
    Then it exits with 0
    And it prints JSON with the fields "coverage snapshot records"

  Scenario: All faults of a settings file are reported
    When a daemon is started with settings in which
      | field             | is           |
      | availability_zone | atlantis     |
      | neighbour_count   | many         |
      | colour            | blue         |
      | callers.port      | 99999        |
    Then it exits with 2
    And it prints "availability_zone: must be one of the zones in regions"
    And it prints "neighbour_count: Expected `int`"
    And it prints "colour: unknown field"
    And it prints "callers.port: Expected `int` <= 65535"

  Scenario: All ports that are in use are reported, and the daemon does not start
    When a daemon is started with the ports of a running instance
    Then it exits with 2
    And it prints "callers.port: must be a free port"
    And it prints "peers.port: must be a free port"

  Scenario: SIGTERM under load interrupts no request
    When 60 callers search through "entry-oviedo-a-1" while it receives SIGTERM
    Then every search accounts for all shards and misses only those not in time
    And "entry-oviedo-a-1" exits with 0

  Scenario: A second signal stops an instance immediately
    When "entry-oviedo-a-2" receives SIGTERM twice
    Then "entry-oviedo-a-2" exits with 0 before the advice kept by callers expires

  Scenario: A killed process is no longer advised
    When "entry-bilbao-c-0" is killed as a process
    Then "addresses" no longer names it

  Scenario: A process that resumes after a pause is listed as alive again
    When "entry-bilbao-c-1" is paused until another instance lists it as gone
    And it resumes
    Then "state" lists it as alive again
    And a search through "entry-bilbao-c-1" has complete coverage
