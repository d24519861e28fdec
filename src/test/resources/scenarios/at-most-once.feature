Feature: A non-idempotent call runs at most once
  A caller sends a deposit, loses patience or its entry, and sends it again through another entry with the same key. The
  judge is the count of runs of each key over every plain service there ever was, compared with what callers were told.

  Scenario Outline: <fault> and <other fault>, then the same deposits through another entry
    Given claims: a path of two plain services
    When claims: 4 deposits are sent through entry 0 with "<fault>" and "<other fault>"
    And claims: the faults end and the same deposits are sent through entry 1 until told for good
    Then claims: no deposit ran twice and what was told is true
    And claims: every resend was told "<resend>"

    Examples:
      | fault                         | other fault                   | resend   |
      | none                          | none                          | answered |
      | entry dies after its claim    | none                          | answered |
      | store answer lost             | none                          | answered |
      | store out                     | none                          | answered |
      | target not reachable          | none                          | answered |
      | target drops connections      | none                          | unknown  |
      | answer lost after the run     | none                          | unknown  |
      | target replaced after the run | none                          | unknown  |
      | store answer lost             | entry dies after its claim    | answered |
      | target not reachable          | store answer lost             | answered |
      | answer lost after the run     | store answer lost             | unknown  |
      | target replaced after the run | store answer lost             | unknown  |
