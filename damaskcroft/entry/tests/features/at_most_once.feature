Feature: A non-idempotent request runs at most once
  A voucher that is issued twice must be traced and reversed by hand.

  Scenario: The entry dies while the voucher is being issued
    Given a voucher request at the first entry that is being run
    When the first entry dies
    And the caller resends to the second entry
    Then the caller has the whole answer
    And the voucher was issued 1 time

  Scenario: The entry dies before the request has been sent on
    Given a voucher request at the first entry that is only claimed
    When the first entry dies
    And the caller resends to the second entry
    Then the caller has the whole answer
    And the voucher was issued 1 time

  Scenario: The target's process is lost with the outcome
    Given a voucher request at the first entry that is being run
    When every agent is replaced
    And the caller resends to the second entry
    Then the caller is told that the outcome is unknown
    And the voucher was issued 1 time

  Scenario: The caller asks both entries at once
    Given a voucher request at the first entry that is being run
    When the caller resends to the second entry
    Then the caller has the whole answer
    And the voucher was issued 1 time
