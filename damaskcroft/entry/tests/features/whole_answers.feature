Feature: Every caller receives the complete answer to its own request
  A truncated answer is never passed on as a complete one.

  Scenario: The target breaks the connection during an answer
    Given every target breaks the connection during its answers
    When the caller sends a voucher request
    Then the caller receives an error with an unknown outcome
    And the voucher was issued 1 time

  Scenario: Two callers send requests at the same time
    Given a voucher request that the first entry has sent to a target
    When another caller's request runs at the same time
    Then each caller receives the complete answer to its own request
