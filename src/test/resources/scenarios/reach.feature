Feature: Every model is reachable
  A student's model answers through any entry, whatever one target, one data centre or the platform does.

  Scenario: a data centre is lost, and then the platform
    Given a deployment that serves every model
    When the first data centre is lost
    And the platform is out
    Then every model answers through every entry

  Scenario: a target dies while the platform is out
    Given a deployment that serves every model
    When the platform is out
    And the target 2 dies with its side
    Then every model answers through every entry

  Scenario: models with a second home answer while a target dies, during tenfold demand
    Given a deployment that serves every model
    When demand for one model is tenfold
    And a target dies, each model with a second home answers every request
    Then every model answers through every entry
