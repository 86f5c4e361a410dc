Feature: Parsing and refusal of caller requests
  Each row is one connection. In the bytes, \n stands for CR LF, ^ for a bare LF and x*9 for nine x.

  Scenario Outline: caller sends <case>
    When caller sends "<bytes>"
    Then caller gets status <status> with reason "<reason>" and <runs> runs upstream

    Examples: valid requests
      | case                 | bytes                                                                                     | status | reason | runs |
      | a plain request      | GET / HTTP/1.1\nHost: shop.test\n\n                                                       | 200    |        | 1    |
      | HTTP/1.0             | GET / HTTP/1.0\nHost: shop.test\n\n                                                       | 200    |        | 1    |
      | a host with a port   | GET / HTTP/1.1\nHost: SHOP.test:80\n\n                                                    | 200    |        | 1    |
      | an absolute target   | GET http://shop.test/ HTTP/1.1\nHost: shop.test\n\n                                       | 200    |        | 1    |
      | a sized body         | POST / HTTP/1.1\nHost: shop.test\nContent-Length: 3\n\nabc                                | 200    |        | 1    |
      | a chunked body       | POST / HTTP/1.1\nHost: shop.test\nTransfer-Encoding: chunked\n\n3\nabc\n0\n\n             | 200    |        | 1    |
      | two pipelined ones   | GET / HTTP/1.1\nHost: shop.test\n\nGET / HTTP/1.1\nHost: shop.test\n\n                    | 200    |        | 2    |
      | an OPTIONS asterisk  | OPTIONS * HTTP/1.1\nHost: shop.test\n\n                                                   | 200    |        | 1    |

    Examples: ambiguous framing
      | case                 | bytes                                                                                     | status | reason            | runs |
      | both framings        | POST / HTTP/1.1\nHost: shop.test\nContent-Length: 3\nTransfer-Encoding: chunked\n\n0\n\n  | 400    | ambiguous-framing | 0    |
      | two lengths          | POST / HTTP/1.1\nHost: shop.test\nContent-Length: 3\nContent-Length: 4\n\nabc             | 400    | ambiguous-framing | 0    |
      | two equal lengths    | POST / HTTP/1.1\nHost: shop.test\nContent-Length: 3\nContent-Length: 3\n\nabc             | 400    | ambiguous-framing | 0    |
      | a list of lengths    | POST / HTTP/1.1\nHost: shop.test\nContent-Length: 3, 3\n\nabc                             | 400    | ambiguous-framing | 0    |
      | a signed length      | POST / HTTP/1.1\nHost: shop.test\nContent-Length: +3\n\nabc                               | 400    | ambiguous-framing | 0    |
      | an empty length      | POST / HTTP/1.1\nHost: shop.test\nContent-Length:\n\nabc                                  | 400    | ambiguous-framing | 0    |
      | a huge length        | POST / HTTP/1.1\nHost: shop.test\nContent-Length: 9999999999999999999\n\nabc              | 400    | ambiguous-framing | 0    |
      | a second coding      | POST / HTTP/1.1\nHost: shop.test\nTransfer-Encoding: gzip, chunked\n\n0\n\n               | 400    | ambiguous-framing | 0    |
      | an odd coding        | POST / HTTP/1.1\nHost: shop.test\nTransfer-Encoding: xchunked\n\n0\n\n                    | 400    | ambiguous-framing | 0    |
      | chunks in HTTP/1.0   | POST / HTTP/1.0\nHost: shop.test\nTransfer-Encoding: chunked\n\n0\n\n                     | 400    | ambiguous-framing | 0    |
      | a bad chunk size     | POST / HTTP/1.1\nHost: shop.test\nTransfer-Encoding: chunked\n\nxyz\nabc\n0\n\n           | 400    | ambiguous-framing | 0    |
      | a folded line        | GET / HTTP/1.1\nHost: shop.test\nA: b\n c\n\n                                             | 400    | ambiguous-framing | 0    |
      | two hosts            | GET / HTTP/1.1\nHost: shop.test\nHost: shop.test\n\n                                      | 400    | ambiguous-framing | 0    |
      | another host         | GET http://a.test/ HTTP/1.1\nHost: shop.test\n\n                                          | 400    | ambiguous-framing | 0    |
      | a bare LF            | GET / HTTP/1.1^Host: shop.test\n\n                                                        | 400    | ambiguous-framing | 0    |
      | bare LFs alone       | GET / HTTP/1.1^Host: shop.test^^                                                          | 400    | ambiguous-framing | 0    |
      | a dropped length     | POST / HTTP/1.1\nHost: shop.test\nConnection: content-length\nContent-Length: 3\n\nabc    | 400    | ambiguous-framing | 0    |
      | a dropped key        | POST / HTTP/1.1\nHost: shop.test\nConnection: idempotency-key\nIdempotency-Key: k\n\n     | 400    | ambiguous-framing | 0    |

    Examples: refused requests
      | case                 | bytes                                                                                     | status | reason             | runs |
      | no host              | GET / HTTP/1.1\n\n                                                                        | 400    | bad-request        | 0    |
      | a space before colon | GET / HTTP/1.1\nHost : shop.test\n\n                                                      | 400    | bad-request        | 0    |
      | no HTTP              | hello\n\n                                                                                 | 400    | bad-request        | 0    |
      | a relative target    | GET robes HTTP/1.1\nHost: shop.test\n\n                                                   | 400    | bad-request        | 0    |
      | two keys             | POST / HTTP/1.1\nHost: shop.test\nIdempotency-Key: a\nIdempotency-Key: b\n\n              | 400    | bad-request        | 0    |
      | a bad deadline       | GET / HTTP/1.1\nHost: shop.test\nKnapweedhitch-Deadline-Ms: -1\n\n                        | 400    | bad-request        | 0    |
      | no time              | GET / HTTP/1.1\nHost: shop.test\nKnapweedhitch-Deadline-Ms: 0\n\n                         | 504    | deadline-exceeded  | 0    |
      | a long chain         | GET / HTTP/1.1\nHost: shop.test\nKnapweedhitch-Depth: 33\n\n                              | 508    | chain-too-deep     | 0    |
      | the longest chain    | GET / HTTP/1.1\nHost: shop.test\nKnapweedhitch-Depth: 32\n\n                              | 200    |                    | 1    |
      | an unknown host      | GET / HTTP/1.1\nHost: other.test\n\n                                                      | 404    | no-such-service    | 0    |
      | an unknown own path  | GET /.knapweedhitch/x HTTP/1.1\nHost: shop.test\n\n                                       | 404    | not-found          | 0    |
      | an upgrade           | GET / HTTP/1.1\nHost: shop.test\nConnection: upgrade\nUpgrade: websocket\n\n              | 501    | upgrade-refused    | 0    |
      | CONNECT              | CONNECT shop.test:80 HTTP/1.1\nHost: shop.test:80\n\n                                     | 501    | upgrade-refused    | 0    |
      | an expectation       | POST / HTTP/1.1\nHost: shop.test\nExpect: 200-ok\nContent-Length: 3\n\nabc                | 417    | expectation-failed | 0    |
      | a huge header        | GET / HTTP/1.1\nHost: shop.test\nA: x*40000\n\n                                           | 431    | header-too-large   | 0    |
      | a head without end   | GET / HTTP/1.1\nHost: shop.test\nA: x*90000                                               | 431    | header-too-large   | 0    |
      | too many headers     | GET / HTTP/1.1\nHost: shop.test\n(A: x\n)*101\n                                           | 431    | header-too-large   | 0    |
      | half a head          | GET / HTTP/1.1\nHost: shop                                                                | 408    | header-timeout     | 0    |
      | an announced excess  | POST / HTTP/1.1\nHost: shop.test\nContent-Length: 300000000\n\na                          | 413    | body-too-large     | 0    |

  Scenario Outline: caller fails after the upstream got a part of the body: <case>
    When caller sends "<bytes>"
    Then caller gets status <status> with reason "<reason>" and outcome unknown

    Examples:
      | case                 | bytes                                                                                     | status | reason            |
      | a chunk cut short    | POST / HTTP/1.1\nHost: shop.test\nTransfer-Encoding: chunked\n\n2\nabc\n0\n\n             | 400    | ambiguous-framing |
      | half a body          | POST / HTTP/1.1\nHost: shop.test\nContent-Length: 3\n\na                                  | 408    | body-timeout      |
