Feature: Every caller receives the whole answer to its own request
  Nothing of an answer that was cut off is passed on as if it were whole.

  Scenario: The target breaks off in the middle of an answer
    Given every target breaks off in the middle of its answers
    When the caller sends a voucher request
    Then the caller is told that the outcome is unknown
    And the voucher was issued 1 time

  Scenario: Two callers ask at the same moment
    Given a voucher request at the first entry that is being run
    When another caller's request runs beside it
    Then each caller has its own whole answer
