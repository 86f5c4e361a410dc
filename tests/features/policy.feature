Feature: Policy decisions
  Each table states which decision the policy modules take; each row guards against one wrong one.

  Scenario Outline: The gate refuses with the reason that applies
    Given policy admission with <slots> slots that is "<state>"
    When policy admits one call more than fits
    Then policy refuses it as "<reason>" and not run

    Examples:
      | slots | state       | reason            |
      | 4     | cold        | cold-limit        |
      | 4     | domain out  | domain-out        |
      | 4     | draining    | node-draining     |
      | 4     | leaving     | upstream-draining |
      | 4     | unannounced | no-target         |
      | 4     | full        | queue-delay       |

  Scenario Outline: Keys without a creation time are refused
    When policy reads the key "<key>"
    Then policy finds "<result>"

    Examples:
      | key                                  | result           |
      | 017F22E2-79B0-7CC3-98C4-DC0C0C07398F | 1645557742000    |
      | 01ARZ3NDEKTSV4RRFFQ69G5FAV           | 1469922850259    |
      | 919108f7-52d1-4320-9bac-f847db4148a8 | key-without-time |
      | order-17                             | key-without-time |
