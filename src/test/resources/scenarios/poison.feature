Feature: A request that crashes its target takes down few of them
  The bound is two targets for one copy sent again and again, and one more for every further copy that was running when
  the first target crashed. After the second crash the request is refused everywhere at once with status 422.

  Scenario Outline: a poison request sent <sends> times through different entries with <store>
    Given poison: a path of four engines with <store>
    When poison: 12 completions run while a poison request is sent <sends> times, one after the other
    Then poison: at most 2 targets crashed
    And poison: the poison request is refused with status 422 through every entry
    And poison: every other caller got its whole answer, sending again where it was told to

    Examples:
      | sends | store         |
      | 5     | the store up  |
      | 5     | the store out |

  Scenario: three copies at once
    Given poison: a path of four engines with the store up
    When poison: 12 completions run while 3 copies of a poison request are sent at once and then again
    Then poison: at most 4 targets crashed
    And poison: the poison request is refused with status 422 through every entry
    And poison: every other caller got its whole answer, sending again where it was told to
