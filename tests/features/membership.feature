Feature: Membership
  Every node learns which nodes are alive and which upstreams are leaving, despite network faults.

  Scenario Outline: member changes reach every node within their bound
    Given member nodes of a cluster of <nodes> with <loss> percent of datagrams lost
    When member "n2" <change>
    Then member views agree that it <result> within <bound_s> s

    Examples:
      | nodes | loss | change                      | result         | bound_s |
      | 12    | 0    | announces an upstream       | has a target   | 2       |
      | 12    | 0    | announces a leaving upstream | is leaving    | 2       |
      | 12    | 20   | announces a leaving upstream | is leaving    | 2       |
      | 12    | 0    | starts draining             | is leaving     | 2       |
      | 12    | 20   | starts draining             | is leaving     | 2       |
      | 12    | 0    | leaves                      | is gone        | 2       |
      | 12    | 0    | crashes                     | is gone        | 12      |
      | 12    | 0    | crashes and restarts        | is a member    | 12      |
      | 12    | 0    | is cut off and comes back   | is a member    | 40      |
      | 12    | 0    | stands still for 20 seconds | is a member    | 40      |

  Scenario Outline: member records supersede older ones
    Given member belief <first>
    When member belief <second> arrives
    Then member belief <winner> holds

    Examples:
      | first           | second          | winner          |
      | 1.1 alive       | 1.1 suspect     | 1.1 suspect     |
      | 1.1 suspect     | 1.1 alive       | 1.1 suspect     |
      | 1.1 suspect     | 1.2 alive       | 1.2 alive       |
      | 1.2 alive       | 1.1 suspect     | 1.2 alive       |
      | 1.1 suspect     | 1.1 dead        | 1.1 dead        |
      | 1.1 alive       | 1.1 dead        | 1.1 alive       |
      | 1.1 dead        | 1.2 alive       | 1.2 alive       |
      | 1.9 alive       | 1.9 left        | 1.9 left        |
      | 1.9 left        | 2.1 alive       | 2.1 alive       |
      | 2.1 alive       | 1.9 dead        | 2.1 alive       |
