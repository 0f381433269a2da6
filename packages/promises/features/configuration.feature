Feature: Operators drive the fleet by one text
  An accepted text is in force everywhere within seconds and never reverts. Nothing else changes the
  fleet.

  Scenario: An accepted edit is in force everywhere
    When an operator changes the deadline of inspect-llm to "20 min" and applies the text
    Then the edit is accepted
    And it is in force at every process

  Scenario: Two operators edit the same version
    Given two operators edit the version in force
    When the first changes the priority of filing-desk to 70 and applies the text
    And the second changes the deadline of inspect-llm to "25 min" and applies the text
    Then the second is refused, and is shown that "priority" was changed
    And the first operator's text is still in force

  Scenario: A faulty text changes nothing
    When an operator changes the deadline of inspect-llm to "20" and applies the text
    Then the text is refused with a fault "unit-missing" at its line
    And the version in force is the one before

  Scenario: The answer to an edit is lost
    Given the key-value service will lose its next answer
    When an operator changes the deadline of inspect-llm to "30 min" and applies the text
    Then the edit is accepted
    And applying the same text again gives the same version

  Scenario: A withdrawn target gets no new work, and none is cut
    Given an inspector reads a long finding through entry 1
    When an operator withdraws the target that writes it
    Then the inspector gets the whole finding
    And the withdrawn target gets no new work
    When the operator returns it
    Then it gets work again
