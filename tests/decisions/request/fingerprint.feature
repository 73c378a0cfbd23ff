Feature: Fingerprints of requests

  Scenario: A request has the same fingerprint each time that it is sent
    Then the fingerprint of "GET trips.example /one/x?a=1" is the same each time
    And it is the same for "GET TRIPS.example /one/x?a=1"

  Scenario Outline: Another request has another fingerprint
    Then the fingerprint of "POST trips.example /one/x?a=1 seat" is not that of "<other>"

    Examples:
      | other                             |
      | PUT trips.example /one/x?a=1 seat   |
      | POST other.example /one/x?a=1 seat  |
      | POST trips.example /one/y?a=1 seat  |
      | POST trips.example /one/x?a=2 seat  |
      | POST trips.example /one/x seat      |
      | POST trips.example /one/x?a=1 seats |
      | POST trips.example /one/x?a=1       |

  Scenario: Two fields are not taken for other two
    Then moving any bytes from one field to the next changes the fingerprint
