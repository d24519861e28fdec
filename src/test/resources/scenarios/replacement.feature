Feature: Two sides for one target
  The platform may start a side for a target whose old side still runs. Only the newer may give orders or lend.

  Scenario: the older side steps down for good
    Given a deployment that serves every model
    When a second side starts for target 0 while the first lives on
    Then the first steps down and lends no permits of the shared limits
    And every model answers through every entry
