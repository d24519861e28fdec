Feature: An accepted bundle is in force everywhere and never reverts
  The versions of every process are recorded as they change; none may go down.

  Scenario: two operators race, then an answer is lost after acceptance
    Given a deployment that serves every model
    And each process's version is recorded
    When two operators submit different bundles of version 2 at once
    Then exactly one of them is accepted
    When an operator submits version 3 and its answers are lost, then again
    Then the operator is told that it is accepted
    And version 3 is in force in every process and no version ever went down

  Scenario: a process is restarted with the platform out
    Given a deployment that serves every model
    And each process's version is recorded
    When an operator submits version 2
    Then version 2 is in force in every process and no version ever went down
    When the platform is out
    And the side 0 is restarted and knows nobody
    Then the side 0 is not ready and has no bundle
    When the side 1 is restarted and knows peers
    Then the side 1 becomes ready with version 2
    When the platform answers again
    Then version 2 is in force in every process and no version ever went down

  Scenario: peers offer forged, altered and older bundles
    Given a deployment that serves every model
    And each process's version is recorded
    When an operator submits version 2
    Then version 2 is in force in every process and no version ever went down
    When a peer offers forged bundles as version 9
    And its offers have been fetched
    And a peer offers altered bundles as version 9
    And its offers have been fetched
    And a peer offers older bundles as version 1
    And its offers have been fetched
    Then version 2 is in force in every process and no version ever went down
    And every model answers through every entry

  Scenario: larger versions are rolled out into full accelerators
    Given a deployment that serves every model
    And each process's version is recorded
    When an operator rolls out larger versions of every model as version 2
    Then version 2 is in force in every process and no version ever went down
    And every model answers in its larger version
