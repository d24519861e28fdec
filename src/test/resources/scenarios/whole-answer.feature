Feature: Each caller gets the whole answer to its own request
  What a caller reads must be the text of its own request, with every piece once and in order, whatever happens to the
  connections between entry, side and engine. The judge is the text that the engine's stand-in derives from the prompt.

  Scenario Outline: answers stay whole with <fault> and <other fault>
    Given answers: a path of two engines
    When answers: 12 completions are streamed through two entries with "<fault>" and "<other fault>"
    Then answers: each caller has the whole answer to its own request

    Examples:
      | fault                       | other fault                 |
      | none                        | none                        |
      | late answers                | none                        |
      | engine repeats tokens       | none                        |
      | engine streams cut short    | none                        |
      | engine streams go silent    | none                        |
      | side connections go silent  | none                        |
      | side connections closed     | none                        |
      | target connections silent   | none                        |
      | late answers                | side connections go silent  |
      | engine repeats tokens       | side connections go silent  |
      | engine repeats tokens       | engine streams cut short    |
      | engine streams cut short    | side connections closed     |
      | target connections silent   | side connections go silent  |
      | engine streams go silent    | side connections closed     |

  Scenario: a caller that has gone takes its request with it
    Given answers: a path of two engines
    When answers: a caller reads the start of a long answer and goes
    Then answers: no engine goes on with it
