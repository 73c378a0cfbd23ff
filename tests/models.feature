Feature: Models of the core protocol, searched exhaustively
  The transitions of the models call the decisions of the package.  Each mutant
  lacks one guard and must lead to a counterexample.

  Scenario Outline: A model holds in every state
    When the model "<model>" is searched
    Then the search is complete
    And every property holds

    Examples:
      | model    |
      | adoption |
      | booking  |
      | query    |
      | leaving  |
      | forwarded once      |
      | forwarded to shards |

  Scenario Outline: A mutant is detected
    When the mutant "<mutant>" is searched
    Then "<property>" is violated, with a counterexample

    Examples:
      | mutant                                             | property                |
      | adoption without the guard against older versions  | never_reverts           |
      | booking without freshness                          | one_home_at_a_time      |
      | booking decided at admission only                  | one_home_at_a_time      |
      | booking fresh for the whole dwell                  | one_home_at_a_time      |
      | booking sent again after silence                   | sent_once               |
      | booking whose silence is not run                   | not_run_was_not_run     |
      | query that takes any snapshot                      | one_snapshot            |
      | query that takes late replies                      | one_snapshot            |
      | leaving instance that is advised                   | serves_kept_advice      |
      | leaving without serving kept advice                | serves_kept_advice      |
      | leaving without finishing                          | cuts_nothing_off        |
      | draining target that gets work                     | nothing_new_to_draining |
      | forwarded again after a lost connection            | runs_within_limit       |
      | forwarded by newer routes                          | one_version             |
      | forwarded to draining targets                      | nothing_new_to_draining |
      | forwarded without counting                         | within_extra_load       |
