Feature: Guarantees to callers and operators
  A fleet of two nodes forwards requests while the preset "ordinary" is active.

  Background:
    Given a fleet of two nodes with the active preset "ordinary"
    And a target of "reading" and a target of "posting" on the second node

  Scenario: A caller gets the complete response body
    When a caller reads "/chapters/1" through the first node
    Then the caller gets status 200 and the body "page"

  Scenario: A request that the target sheds gets the outcome "not-run" and a retry time
    Given the target of "posting" sheds every request
    When a caller submits a story through the first node
    Then the caller gets status 503 and the outcome "not-run"
    And the response has a Retry-After header

  Scenario: A POST request with an unknown outcome is not retried
    Given the target of "posting" closes the connection after receiving the request
    When a caller submits a story through the first node
    Then the caller gets status 502 and the outcome "unknown"
    And the target of "posting" received 1 request

  Scenario: A draining target receives no new requests
    Given the target of "reading" announces that it is draining
    When a caller reads "/chapters/1" through the first node
    Then the caller gets status 503 and the outcome "not-run"
    And the target of "reading" received 0 requests

  Scenario: A change of the active preset reaches all nodes
    When the operator activates the preset "maintenance"
    Then the preset "maintenance" is active on both nodes within 15 seconds

  Scenario: A conflicting activation is rejected with the name and reason of the other operator
    Given the operator "anna" read the presets
    And the operator "ben" activated "maintenance" with the reason "disk swap"
    When the operator "anna" activates "peak" based on the presets read
    Then the error for "anna" contains "ben" and "disk swap"
