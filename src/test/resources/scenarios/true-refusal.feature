Feature: A refusal that says not run is true
  A caller is told one of three things: the call ran, it did not run, or nobody can tell. The judge is the count of runs
  that the plain service's stand-in keeps, compared with what each caller was told.

  Scenario Outline: <fault> and <other fault>
    Given refusals: a path of two plain services
    When refusals: 6 deposits are sent with "<fault>" and "<other fault>"
    Then refusals: what each caller was told is true of the runs
    And refusals: every caller was told "<told>"

    Examples:
      | fault                         | other fault                   | told               |
      | none                          | none                          | answered           |
      | answer lost after the run     | none                          | unknown            |
      | target not reachable          | none                          | did_not_run        |
      | table out                     | none                          | did_not_run        |
      | side ends between take and run | none                         | unknown            |
      | link cut between take and run | none                          | unknown            |
      | answer lost after the run     | link silent between take and run | unknown         |
      | answer lost after the run     | table answer lost             | unknown            |
      | target not reachable          | table out                     | did_not_run        |
      | table answer lost             | side ends between take and run | unknown           |
