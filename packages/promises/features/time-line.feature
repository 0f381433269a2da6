Feature: The time line tells what happened, without the source at hand

  Scenario: One request's whole story by its key
    Given an inspector reads a long finding through entry 1
    When the engine that writes it crashes
    Then the inspector gets the whole finding
    And the time line of the request tells, in this order
      | request-accepted   |
      | request-dispatched |
      | request-answered   |
    And the time line of the target tells "engine-crashed"

  Scenario: An edit spreads
    When an operator changes the deadline of inspect-llm to "35 min" and applies the text
    Then the edit is accepted
    And the time line shows the new version in force at every process

  Scenario: A process can not be asked
    When entry 3 is shut down
    Then the time line says that it could not reach entry 3

  Scenario: The key-value service is away for a while
    Given the key-value service is away
    Then the time line tells "key-value-outage"
    When the key-value service is back
    Then the time line tells "key-value-back"
