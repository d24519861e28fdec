Feature: A leaving target gets no new work, and a shutdown cuts nothing
  A long stream keeps the leaving side alive, so that work could still reach it. Started generations are counted by the
  engine, from when the side announced that it leaves.

  Scenario: a target leaves while the VM list is late by tens of seconds
    Given a deployment whose VM list is 30 s late
    And a long stream runs on a target
    When that target's side leaves
    Then further requests are answered elsewhere and none starts on that target
    And the open streams arrive whole and right

  Scenario: the VM list marks a target as leaving and then goes back
    Given a deployment that serves every model
    And a long stream runs on a target
    When the platform's list marks that target as leaving
    And the platform's list goes back
    Then further requests are answered elsewhere and none starts on that target
    And the open streams arrive whole and right

  Scenario: a target leaves while the platform is out
    Given a deployment that serves every model
    And a long stream runs on a target
    When the platform is out
    And that target's side leaves
    Then further requests are answered elsewhere and none starts on that target
    And the open streams arrive whole and right

  Scenario: a side is shut down with streams open and work queued
    Given a deployment that serves every model
    And a long stream runs on a target
    And more requests queue behind it than run at once
    When that target's side leaves
    Then each request arrives whole and right or is told that it did not run

  Scenario: an entry is shut down with streams open and work queued, and the platform is out
    Given a deployment that serves every model
    And a long stream runs on a target
    And more requests queue behind it than run at once
    When the platform is out
    And the first entry is shut down
    Then each request arrives whole and right or is told that it did not run
