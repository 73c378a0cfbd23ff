Feature: What the project checks of itself

  Scenario: The catalogues in the docs are those of the code
    Then docs/ERRORS.md and docs/EVENTS.md are up to date

  Scenario: A catalogue that misses an event is noticed
    When a page's table lacks a line
    Then the page is not what the code says

  Scenario: Every kind has one row and every code stands once
    Then each kind of error has an answer with a code of its own
    And each event has a number of its own

  Scenario: Only the platform's folder knows the platform's names
    Then the package passes the check of names
    And the platform's folder is under a tenth of the package

  Scenario Outline: A name of the platform elsewhere is found
    When a module has the line "<line>"
    Then the check of names finds it

    Examples:
      | line                        |
      | key = 'X-Attempt-Id'        |
      | path = '/v1/kv-range'       |
      | share = body['MinPartShare'] |
      | TopK = 3                    |

  Scenario: The decisions import nothing that acts
    Then the decisions pass the import check

  Scenario Outline: An import that acts is found
    When a decision has the line "<line>"
    Then the import check names it

    Examples:
      | line                                    |
      | import asyncio                          |
      | import os.path                          |
      | from time import monotonic              |
      | from celeryturn.http.client import fetch |
