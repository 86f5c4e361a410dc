Feature: Announcements of an upstream
  Each row is one announcement after that of instance a with incarnation 5.

  Scenario Outline: announcement <case>
    Given announcement of instance "a" with incarnation 5 was taken
    When announcement changes "<field>" to <value>
    Then announcement gets status <status> and the state in force is "<state>"

    Examples:
      | case                       | field       | value             | status | state     |
      | is renewed                 | slots       | 9                 | 200    | serving   |
      | grows                      | slots       | 10                | 200    | serving   |
      | of a restart               | incarnation | 6                 | 200    | serving   |
      | of an earlier run          | incarnation | 4                 | 409    | serving   |
      | of another instance        | instance_id | "b"               | 200    | serving   |
      | starts to leave            | state       | "leaving"         | 200    | leaving   |
      | of an unknown state        | state       | "tired"           | 400    | serving   |
      | without slots              | slots       | null              | 400    | serving   |
      | of no slots                | slots       | 0                 | 400    | serving   |
      | of true slots              | slots       | true              | 400    | serving   |
      | of a host name             | address     | "localhost:80"    | 400    | serving   |
      | without a port             | address     | "127.0.0.1"       | 400    | serving   |
      | of a wide port             | address     | "127.0.0.1:70000" | 400    | serving   |
      | of IPv6                    | address     | "[::1]:80"        | 200    | serving   |
      | of an upper-case service   | service     | "Shop"            | 400    | serving   |
      | of an empty instance       | instance_id | ""                | 400    | serving   |
      | of an unknown field        | colour      | "red"             | 400    | serving   |
      | over the size limit        | instance_id | "aaaa*2000"       | 413    | serving   |
      | is withdrawn               | DELETE      | null              | 200    | gone      |

  Scenario: announcement of leaving is not undone by a late renewal
    Given announcement of instance "a" with incarnation 5 was taken
    When announcement changes "state" to "leaving"
    And announcement changes "state" to "serving"
    Then announcement gets status 409 and the state in force is "leaving"

  Scenario: announcement that is not renewed
    Given announcement of instance "a" with incarnation 5 was taken
    When announcement is not renewed for 4000 ms
    Then announcement gets status 200 and the state in force is "gone"
