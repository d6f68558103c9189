Feature: A request that is refused as not run has not run
  The caller can retry after the announced delay, and nothing runs twice.

  Scenario: Control has no majority
    Given control has no majority
    When the caller sends a voucher request
    Then the caller receives a refusal as not run with Retry-After
    And the voucher was issued 0 times

  Scenario: No target can be reached
    Given every target refuses connections
    When the caller sends a voucher request
    Then the caller receives a refusal as not run with Retry-After
    And the voucher was issued 0 times

  Scenario: Every agent is draining
    Given every agent is draining
    When the caller sends a voucher request
    Then the caller receives a refusal as not run with Retry-After
    And the voucher was issued 0 times

  Scenario: The agents are cut off from control until their leases expire
    Given every agent's lease has expired
    When the caller sends a voucher request
    Then the caller receives a refusal as not run with Retry-After
    And the voucher was issued 0 times

  Scenario: A refused request is retried
    Given control has no majority
    When the caller sends a voucher request
    And control has a majority again
    And the caller retries at the second entry
    Then the caller receives the complete answer
    And the voucher was issued 1 time
