Feature: Every caller receives the whole answer to its own request
  Inspectors read findings on tablets with poor networks. A lost finding is a missed discrepancy, and
  a doubled finding is a disputed invoice.

  Scenario: An engine crashes in the middle of an answer
    Given an inspector reads a long finding through entry 1
    When the engine that writes it crashes
    Then the inspector gets the whole finding

  Scenario: A tablet loses its connection and comes back elsewhere
    Given an inspector reads a long finding through entry 1
    When the tablet loses its connection and comes back through entry 2
    Then the inspector gets the whole finding
    And the finding was written once

  Scenario: A tablet sends its request again
    Given an inspector got a short finding through entry 1
    When the tablet sends the same request again through entry 3
    Then the tablet gets the same finding
    And the finding was written once

  Scenario: A key is used for another request
    Given an inspector got a short finding through entry 1
    When the tablet sends another request with the same key
    Then that request is refused with status 422

  Scenario: The entry is shut down while an inspector reads
    Given an inspector reads a long finding through entry 2
    When entry 2 is shut down
    Then the inspector gets the whole finding

  Scenario: The process beside the engine is shut down while an inspector reads
    Given an inspector reads a long finding through entry 1
    When the process beside the engine that writes it is shut down
    Then the inspector gets the whole finding
