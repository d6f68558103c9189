Feature: What is refused as not run truly did not run
  The caller comes back when told to, and nothing happens twice.

  Scenario: Control has lost its majority
    Given control has no majority
    When the caller sends a voucher request
    Then the caller is told that it was not run, and when to come back
    And the voucher was issued 0 times

  Scenario: No target can be reached
    Given every target refuses connections
    When the caller sends a voucher request
    Then the caller is told that it was not run, and when to come back
    And the voucher was issued 0 times

  Scenario: Every agent is leaving
    Given every agent is draining
    When the caller sends a voucher request
    Then the caller is told that it was not run, and when to come back
    And the voucher was issued 0 times

  Scenario: The agents were cut off from control for longer than their lease
    Given every agent's lease has lapsed
    When the caller sends a voucher request
    Then the caller is told that it was not run, and when to come back
    And the voucher was issued 0 times

  Scenario: A refused request may be sent again
    Given control has no majority
    When the caller sends a voucher request
    And control is well again
    And the caller resends to the second entry
    Then the caller has the whole answer
    And the voucher was issued 1 time
