Feature: Accelerator memory is never overcommitted
  An engine may fail any request when its memory is overcommitted. The engine's own record is the judge.

  Scenario Outline: an order <fault>, and placement changes its mind meanwhile
    Given an engine that <fences> fencing numbers and holds one model
    When a side starts that wants model "none"
    And 35 s pass
    And <step>
    And the side wants model "a" instead
    And the side wants model "b" instead
    And 60 s pass
    Then the engine's memory was never overcommitted
    And model "b" is in memory

    Examples:
      | fences  | fault                      | step                                        |
      | heeds   | is lost                    | the next order is lost                      |
      | heeds   | lands after its time-out   | the next order lands 10 s after its time-out |
      | ignores | is lost                    | the next order is lost                      |
      | ignores | lands after its time-out   | the next order lands 10 s after its time-out |

  Scenario Outline: an eviction is never confirmed on an engine that <fences> fencing numbers, and the side is replaced
    Given an engine that <fences> fencing numbers and holds one model
    When a side starts that wants model "a"
    And 35 s pass
    And the engine takes orders and never does them
    And the side wants model "b" instead
    And 20 s pass
    And the side dies
    And a side starts that wants model "b"
    And 40 s pass
    And the engine does its orders again
    And 40 s pass
    Then the engine's memory was never overcommitted
    And model "b" is in memory

    Examples:
      | fences  |
      | heeds   |
      | ignores |

  Scenario Outline: an order lands after its side was replaced, on an engine that <fences> fencing numbers
    Given an engine that <fences> fencing numbers and holds one model
    When a side starts that wants model "a"
    And 35 s pass
    And the side wants model "b" instead
    And the next order lands 10 s after its time-out
    And 1 s pass
    And the side dies
    And a side starts that wants model "a"
    And 60 s pass
    Then the engine's memory was never overcommitted
    And model "a" is in memory

    Examples:
      | fences  |
      | heeds   |
      | ignores |

  Scenario: a predecessor's order lands between the new side's reading and its first order
    Given an engine that heeds fencing numbers and holds one model
    When a side starts that wants model "none"
    And 1 s pass
    And the next order lands 10 s after its time-out
    And the side wants model "a" instead
    And the side dies
    And the next order is under way for 15 s
    And a side starts that wants model "b"
    And 60 s pass
    Then the engine's memory was never overcommitted
    And model "b" is in memory

  Scenario Outline: a paused side goes on beside its successor, on an engine that <fences> fencing numbers
    Given an engine that <fences> fencing numbers and holds one model
    When a side starts that wants model "none"
    And 35 s pass
    And <fault>
    And the side wants model "a" instead
    And 1 s pass
    And the side is paused
    And a side starts that wants model "b"
    And 40 s pass
    And the paused side goes on
    And 60 s pass
    Then the engine's memory was never overcommitted

    Examples:
      | fences  | fault                                        |
      | heeds   | the next order is lost                       |
      | ignores | the next order is lost                       |
      | heeds   | the next order lands 10 s after its time-out |
      | ignores | the next order lands 10 s after its time-out |
