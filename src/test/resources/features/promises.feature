Feature: What callers and operators can rely on
  A fleet of two nodes serves the archive with the preset "ordinary".

  Background:
    Given a fleet of two nodes with the preset "ordinary" in force
    And a target of "reading" and a target of "posting" on the second node

  Scenario: A reader gets the complete page
    When a caller reads "/chapters/1" through the first node
    Then the caller gets status 200 and the body "page"

  Scenario: A request that is refused as not run did not run
    Given the target of "posting" sheds every request
    When a caller submits a story through the first node
    Then the caller gets status 503 and the outcome "not-run"
    And the caller is told when to send again

  Scenario: A submission of unknown outcome is not sent twice
    Given the target of "posting" closes the connection after it got the request
    When a caller submits a story through the first node
    Then the caller gets status 502 and the outcome "unknown"
    And the target of "posting" got 1 request

  Scenario: A target that leaves gets no new work
    Given the target of "reading" announces that it is draining
    When a caller reads "/chapters/1" through the first node
    Then the caller gets status 503 and the outcome "not-run"
    And the target of "reading" got 0 requests

  Scenario: A change of the preset reaches all nodes
    When the operator puts the preset "maintenance" in force
    Then both nodes have the preset "maintenance" in force within 15 seconds

  Scenario: The loser of two racing operators is told about the winner
    Given the operator "anna" read the presets
    And the operator "ben" put "maintenance" in force because "disk swap"
    When the operator "anna" puts "peak" in force
    Then "anna" is told of "ben" and "disk swap"
