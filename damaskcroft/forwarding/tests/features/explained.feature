Feature: On-call engineers find a request's cause from its id

  A caller complains and gives the id of a request. The logs of the processes
  are the only record of its outcome.

  Scenario: A request is refused while every target is full
    Given a target whose only slot is taken
    When a caller asks and is refused
    Then the cause names "every target of s was full"
    And it names the caller's Retry-After

  Scenario: A request is refused while no target holds any weights
    Given ready targets of which none holds the weights that are due
    When a caller asks and is refused
    Then the cause names "no target of s holds the weights that are due"
    And it names the caller's Retry-After

  Scenario: A non-repeatable request is lost with its target
    Given a target that closes the connection without an answer
    When a caller asks and is told that it may have run
    Then the cause names "target a at"
    And the cause names "no_answer"

  Scenario: A stream is interrupted by its target
    Given a target that closes the connection between its events
    When a caller asks for events and gets some
    Then the cause names "the answer had begun and was broken off"
    And the cause names "stream_cut"

  Scenario: A request is refused by an entry with an old configuration
    Given an entry that has not received the newest routes
    When a caller asks on a new route and is told that there is none
    Then the cause names "configuration 1 of"
    And the cause names "has no such route"

  Scenario: An entry is killed while a request waits in its queue
    Given a target whose only slot is taken
    When a caller asks and its entry is killed while it waits
    Then the cause names "waited in line at entry-1 since"
    And the cause names "lost with it"

  Scenario: An entry is killed while a target has a request
    Given a target that never answers
    When a caller asks and its entry is killed while it waits
    Then the cause names "sent to target a at"
    And the cause names "lost with it"

  Scenario: Two targets answer a repeatable request with a server error
    Given two targets that answer with a server error
    When a caller asks and gets that server error
    Then the cause names "its own failure; 2 targets were tried"
    And it names every target

  Scenario: A target answers a non-repeatable request with a server error
    Given a target that answers with a server error
    When a caller asks and gets that server error
    Then the cause names "answered with 500, its own failure"
    And it names every target
