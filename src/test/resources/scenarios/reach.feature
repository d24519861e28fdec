Feature: Every model is reachable
  A student's model answers through any entry, whatever one target, one data centre or the platform does.

  Scenario Outline: a target dies
    Given a deployment that serves every model
    When the target <target> dies with its side
    Then every model answers through every entry

    Examples:
      | target |
      | 0      |
      | 1      |
      | 2      |

  Scenario: a target dies while the platform is out
    Given a deployment that serves every model
    When the platform is out
    And the target 1 dies with its side
    Then every model answers through every entry
