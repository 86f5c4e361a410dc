Feature: Responses to callers when an upstream misbehaves
  Each row is one call through the gate to a stand-in with the given behaviour. The caller gets the
  complete response, a refusal, or a visibly truncated response; "sent" counts the attempts.

  Scenario Outline: upstream <case>
    Given upstream behaves as "<how>"
    When upstream gets one <method>
    Then upstream answer is <status> "<reason>" <end>, sent <sent> times, connection <kept>

    Examples: complete responses
      | case                       | method | how                           | status | reason | end   | sent | kept   |
      | answers sized              | GET    | size=10                       | 200    |        | whole | 1    | kept   |
      | answers empty              | GET    | size=0                        | 200    |        | whole | 1    | kept   |
      | answers chunked            | GET    | size=10,framing=chunked       | 200    |        | whole | 1    | kept   |
      | answers long and sized     | GET    | size=500000                   | 200    |        | whole | 1    | kept   |
      | answers long and chunked   | GET    | size=500000,framing=chunked   | 200    |        | whole | 1    | kept   |
      | answers HEAD               | HEAD   | size=500000                   | 200    |        | whole | 1    | kept   |
      | answers no content         | GET    | status=204,size=0,framing=none | 204   |        | whole | 1    | kept   |
      | sends hints first          | GET    | hints=1                       | 200    |        | whole | 1    | kept   |
      | closes after its answer    | GET    | close=1                       | 200    |        | whole | 1    | closed |
      | ends by close              | GET    | size=10,framing=close         | 200    |        | whole | 1    | closed |
      | answers before the body    | POST   | early=1                       | 200    |        | whole | 1    | closed |
      | sends more than it should  | GET    | extra=1                       | 200    |        | whole | 1    | closed |
      | sheds an unsafe call       | POST   | status=503                    | 503    |        | whole | 1    | kept   |
      | fails an unsafe call       | POST   | status=500                    | 500    |        | whole | 1    | kept   |
      | refuses a safe call        | GET    | status=404                    | 404    |        | whole | 1    | kept   |

    Examples: truncated or missing responses
      | case                       | method | how                                        | status | reason          | end   | sent | kept   |
      | cuts a short sized one     | GET    | size=10,cut_after=5                        | 502    | upstream-failed | whole | 3    | closed |
      | cuts a short chunked one   | GET    | size=10,cut_after=5,framing=chunked        | 502    | upstream-failed | whole | 3    | closed |
      | cuts a short unsafe one    | POST   | size=10,cut_after=5                        | 502    | upstream-failed | whole | 1    | closed |
      | cuts a long sized one      | GET    | size=500000,cut_after=400000               | 502    | upstream-failed | whole | 3    | closed |
      | cuts one over the limit    | GET    | size=2000000,cut_after=1500000             | 200    |                 | cut   | 1    | closed |
      | cuts a long chunked one    | GET    | size=500000,cut_after=400000,framing=chunked | 200  |                 | cut   | 1    | closed |
      | ends by an unannounced close | POST | framing=open                               | 502    | upstream-failed | whole | 1    | closed |
      | never answers              | POST   | silent=1                                   | 504    | deadline-exceeded | whole | 1  | closed |
      | answers too late           | POST   | late_ms=6000                               | 504    | deadline-exceeded | whole | 1  | closed |

  Scenario: upstream keeps a silent connection while new ones work
    Given upstream behaves as "size=10"
    When upstream goes silent on its open connections
    Then upstream answer is 200 "" whole, sent 3 times, connection kept

  Scenario Outline: upstream swaps the responses of two calls with <ids> request ids
    Given upstream behaves as "crossed=1"
    When upstream gets two POST at once with <ids> request ids
    Then upstream gives no caller the answer of the other

    Examples:
      | ids       |
      | different |
      | equal     |
