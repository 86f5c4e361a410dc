Feature: Settings are fully validated before anything starts

  Scenario Outline: Invalid settings are refused with the path of the field
    Given settings of a control instance
    When settings have <value> at "<path>"
    Then settings are refused at "<place>"

    Examples:
      | path                          | value           | place                         |
      | node/id                       | North One       | node.id                       |
      | node/domain                   | null            | node.domain                   |
      | node/rack                     | r1              | node.rack                     |
      | listen/callers                | {host: localhost} | listen.callers.host         |
      | listen/peers                  | {port: 65536}   | listen.peers.port             |
      | control/members               | []              | control.members               |
      | control/data_dir              | null            | control.data_dir              |
      | control/activation_delay_ms   | 6000            | control.activation_delay_ms   |
      | control/election_timeout_ms   | 299             | control.election_timeout_ms   |
      | feed/poll_interval_ms         | 1001            | feed.poll_interval_ms         |
      | feed/config_lease_ms          | soon            | feed.config_lease_ms          |
      | claims/max_claims             | 0               | claims.max_claims             |
      | routing/max_retries           | 3               | routing.max_retries           |
      | log/level                     | LOUD            | log.level                     |
      | zones/a                       | 1               | zones                         |
      | secrets/peer_secret_file      | null            | secrets.peer_secret_file      |
      | control/members               | [{id: a, host: 10.0.0.1, port: 1}, {id: b, host: 10.0.0.1, port: 1}] | control.members |
      | control/members               | [{id: a, host: 10.0.0.1, port: 1}, {id: a, host: 10.0.0.1, port: 1}, {id: a, host: 10.0.0.1, port: 1}] | control.members |
      | feed/config_lease_ms          | 0               | feed.config_lease_ms          |
      | routing/hedge_ratio           | 1.1             | routing.hedge_ratio           |
      | node/domain                   | 1               | node.domain                   |
      | operator/max_body_bytes       | -1              | operator.max_body_bytes       |
      | admission/max_leases_per_peer | -1              | admission.max_leases_per_peer |

  Scenario Outline: Settings at the limits of the valid range are accepted
    Given settings of a control instance
    When settings have <value> at "<path>"
    Then settings are accepted

    Examples:
      | path                          | value         |
      | control/activation_delay_ms   | 6001          |
      | control/election_timeout_ms   | 300           |
      | feed/poll_interval_ms         | 1000          |
      | listen/peers                  | {host: "::1"} |
      | log/level                     | DEBUG         |
      | admission/max_leases_per_peer | 0             |
