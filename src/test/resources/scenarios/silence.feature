Feature: Connections that go silent for good are noticed and replaced
  Something between two processes forgets a connection: it stays open, carries nothing, and is never closed. A poll that
  is not answered within its wait of 250 ms and a grace of 500 ms counts as lost; one lost poll is all that a request
  needs to move to a fresh connection and go on where it was.

  Scenario: a silent connection to a side costs each request at most one lost poll
    Given silence: a path of two engines
    When silence: every open connection to the sides goes silent while 8 completions are streamed
    Then silence: all 8 are answered whole
    And silence: each was taken up again at most once

  Scenario: connections to a side that go silent twice cost each request at most two lost polls
    Given silence: a path of two engines
    When silence: every open connection to the sides goes silent twice while 8 completions are streamed
    Then silence: all 8 are answered whole
    And silence: each was taken up again at most 2 times

  Scenario: silent connections to an engine are replaced without running anything twice
    Given silence: a path of two engines
    When silence: every open connection to the engines goes silent while 8 completions are streamed
    Then silence: all 8 are answered whole
    And silence: the engines ran 8 generations

  Scenario: silent connections to sides and engines at once
    Given silence: a path of two engines
    When silence: every open connection goes silent while 8 completions are streamed
    Then silence: all 8 are answered whole
    And silence: the engines ran 8 generations
