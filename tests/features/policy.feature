Feature: Policy decisions
  Each table lists decisions of the policy modules; each row guards against one wrong decision.

  Scenario Outline: Admission refuses with the applicable reason
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
