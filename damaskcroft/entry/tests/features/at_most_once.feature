Feature: A non-idempotent request runs at most once
  A voucher that is issued twice has to be traced and reversed by hand.

  Scenario: The entry crashes while the voucher is being issued
    Given a voucher request that the first entry has sent to a target
    When the first entry crashes
    And the caller retries at the second entry
    Then the caller receives the complete answer
    And the voucher was issued 1 time

  Scenario: The entry crashes between the claim and the run
    Given a voucher request that the first entry has only claimed
    When the first entry crashes
    And the caller retries at the second entry
    Then the caller receives the complete answer
    And the voucher was issued 1 time

  Scenario: The agents restart and the outcome is lost
    Given a voucher request that the first entry has sent to a target
    When every agent restarts
    And the caller retries at the second entry
    Then the caller receives an error with an unknown outcome
    And the voucher was issued 1 time

  Scenario: The caller sends the request to both entries at once
    Given a voucher request that the first entry has sent to a target
    When the caller retries at the second entry
    Then the caller receives the complete answer
    And the voucher was issued 1 time
