Feature: Messages between nodes
  A node processes only complete messages of authenticated peers, and reports not-run only when that
  is certain.

  Scenario Outline: invalid peer frames close only their link
    Given peer nodes with a link
    When peer "n0" sends <frame>
    Then peer "n1" has <links> links
    And peer "n0" can call peer "n1"

    Examples:
      | frame                          | links |
      | a reply that was cut           | 0     |
      | a ping with a trailing byte    | 0     |
      | arbitrary bytes                | 0     |
      | data of a stream never opened  | 0     |
      | an unknown message type        | 1     |
      | a reply that nobody waits for  | 1     |

  Scenario Outline: peer outcomes of a forwarded call
    Given peer nodes whose target <behaviour>
    When peer "n0" forwards a call with a deadline of <deadline_ms> ms
    Then peer "n0" gets <result> with outcome <outcome>

    Examples:
      | behaviour                        | deadline_ms | result            | outcome |
      | answers                          | 500         | an answer         | none    |
      | refuses before dispatch          | 500         | queue-full        | not-run |
      | fails after the head             | 500         | upstream-failed   | unknown |
      | keeps the call in its queue      | 50          | deadline-exceeded | not-run |
      | hangs after dispatch             | 50          | deadline-exceeded | unknown |
      | does not confirm a cancel        | 50          | deadline-exceeded | unknown |
      | loses the link after the opening | 500         | peer-failed       | unknown |
      | has no address                   | 500         | peer-failed       | not-run |
