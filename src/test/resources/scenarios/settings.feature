Feature: Bad settings refuse the start
  An operator who mistypes a key is told so at once, rather than finding later that it had no effect.

  Scenario: an unknown key is named together with the one that was meant
    Given the settings of an entry with "caler_port = 8080" added
    When the settings are read
    Then they are refused with "caler_port: is no known key; did you mean caller_port?"
