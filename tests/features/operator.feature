Feature: Responses of the operator listener

  Scenario Outline: Each request gets its status and, if refused, its reason
    Given operator listener of a <role> instance
    When operator sends <method> <path> with <body>
    Then operator gets <status> <reason>

    Examples: pages
      | role    | method | path                       | body | status | reason                 |
      | control | GET    | /ready                     | -    | 200    | -                      |
      | control | GET    | /metrics                   | -    | 200    | -                      |
      | control | GET    | /v1/status                 | -    | 200    | -                      |
      | other   | GET    | /v1/status                 | -    | 200    | -                      |
      | control | GET    | /v1/config                 | -    | 200    | -                      |
      | control | GET    | /v1/config/history         | -    | 200    | -                      |
      | control | GET    | /v1/config/history?limit=1 | -    | 200    | -                      |
      | control | GET    | /v1/config/history?limit=0 | -    | 400    | bad-request            |
      | control | GET    | /v1/config/history?limit=x | -    | 400    | bad-request            |
      | other   | GET    | /v1/config/history         | -    | 404    | not-a-control-instance |
      | control | GET    | /v1/services               | -    | 200    | -                      |
      | control | GET    | /v1/upstreams              | -    | 200    | -                      |
      | control | GET    | /v1/members                | -    | 200    | -                      |
      | control | GET    | /v1/explain/req-1          | -    | 200    | -                      |
      | control | GET    | /v1/explain/req-2          | -    | 404    | no-such-resource       |
      | control | GET    | /v1/explain/               | -    | 404    | no-such-resource       |
      | control | GET    | /v2/status                 | -    | 404    | no-such-resource       |
      | control | PUT    | /v1/status                 | -    | 405    | method-not-allowed     |
      | control | GET    | /v1/changes                | -    | 405    | method-not-allowed     |

    Examples: changes
      | role    | method | path                  | body                                                     | status | reason             |
      | control | POST   | /v1/domains/east/out  | {"change_id": "c", "operator": "ann"}                    | 200    | -                  |
      | control | POST   | /v1/domains/south/in  | {"change_id": "c", "operator": "ann"}                    | 307    | order-redirected   |
      | control | POST   | /v1/domains/south/in?seen_version=7 | {"change_id": "c", "operator": "ann"}      | 200    | -                  |
      | control | POST   | /v1/domains/south/in?seen_version=-1 | {"change_id": "c", "operator": "ann"}     | 400    | bad-request        |
      | control | POST   | /v1/nodes/n2/drain    | {"change_id": "c", "operator": "ann"}                    | 307    | order-redirected   |
      | control | POST   | /v1/nodes/n2/drain?seen_version=7 | {"change_id": "c", "operator": "ann"}        | 200    | -                  |
      | control | POST   | /v1/nodes/n2/undrain  | {"change_id": "c", "operator": "ann"}                    | 200    | -                  |
      | control | POST   | /v1/domains/eats/out  | {"change_id": "c", "operator": "ann"}                    | 404    | unknown-domain     |
      | control | POST   | /v1/domains/eats/in   | {"change_id": "c", "operator": "ann"}                    | 404    | unknown-domain     |
      | control | POST   | /v1/domains/gone/out  | {"change_id": "c", "operator": "ann", "allow_unknown": true} | 200 | -                 |
      | control | POST   | /v1/nodes/n9/undrain  | {"change_id": "c", "operator": "ann"}                    | 404    | unknown-node       |
      | control | POST   | /v1/nodes/n9/drain    | {"change_id": "c", "operator": "ann"}                    | 404    | unknown-node       |
      | control | POST   | /v1/domains/east/out  | {"change_id": "c"}                                       | 422    | invalid-change     |
      | control | POST   | /v1/domains/east/out  | {"change_id": "c d", "operator": "ann"}                  | 422    | invalid-change     |
      | control | POST   | /v1/domains/east/out  | {"change_id": "c", "operator": "ann", "allow_last": 1}   | 400    | bad-request        |
      | control | POST   | /v1/domains/east/out  | {"change_id": "c", "operator": "ann", "allow_first": 1}  | 400    | bad-request        |
      | control | POST   | /v1/changes           | []                                                       | 400    | bad-request        |
      | control | POST   | /v1/changes           | -                                                        | 400    | bad-request        |
      | control | POST   | /v1/changes           | {"change_id": "c", "operator": "a", "op": {"kind": "x"}} | 422    | invalid-change     |
      | control | POST   | /v1/changes           | {"change_id": "c", "operator": "a", "base_version": 1, "op": {"kind": "domain_in", "domain": "east"}} | 409 | version-conflict |
      | control | POST   | /v1/changes           | {"change_id": "c", "operator": "a", "base_version": 7, "op": {"kind": "remove_service", "name": "robes"}} | 200 | - |
      | control | POST   | /v1/changes           | {"change_id": "c", "operator": "a", "base_version": true, "op": {"kind": "remove_service", "name": "robes"}} | 422 | invalid-change |
      | control | POST   | /v1/changes           | {"change_id": "c", "operator": "a", "op": {"kind": "put_service", "service": {"name": "x", "hosts": ["x.example"]}}} | 200 | - |
      | control | POST   | /v1/changes           | {"change_id": "c", "operator": "a", "op": {"kind": "put_service", "service": {"name": "x", "hosts": []}}} | 422 | invalid-change |
      | control | POST   | /v1/changes           | {"change_id": "c", "operator": "a", "op": {"kind": "apply_all", "services": [{"name": "a", "hosts": ["x.example"]}, {"name": "b", "hosts": ["x.example"]}]}} | 422 | invalid-change |
      | control | POST   | /v1/changes           | {"change_id": "c", "operator": "a", "op": {"kind": "apply_all", "services": []}} | 200 | - |
      | other   | POST   | /v1/domains/east/out  | {"change_id": "c", "operator": "ann"}                    | 503    | no-leader          |
