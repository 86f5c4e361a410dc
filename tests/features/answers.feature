Feature: What answers are accepted and what they turn into

  Scenario Outline: A wrong answer is refused with its question and what would be accepted
    Given answers of the "choir" example
    When answers have <value> at "<path>"
    Then answers are refused at "<question>" and would accept "<accepted>"

    Examples:
      | path                               | value              | question                        | accepted               |
      | organisation/name                  | Hill Choirs        | organisation.name               | small letters          |
      | failure_domains                    | [warwick, warwick] | failure_domains                 | different names        |
      | services/0/hosts                   | []                 | services.robes.hosts            | 1 to 20 different      |
      | services/0/never/run_twice         | perhaps            | services.robes.never.run_twice  | yes or no              |
      | services/1/never/run_twice         | no                 | services.bookings.never         | an action is paid      |
      | services/2/uploads_state_their_time | no                | services.wardrobe.uploads       | at least               |
      | services/2/largest_upload_mb       | 0                  | services.wardrobe.largest       | 1 or more              |
      | instances/0/address                | robes.local        | instances.toowoomba-robes       | an IP address          |
      | instances/0/domain                 | roma               | instances.toowoomba-robes       | toowoomba              |
      | instances/2/disk                   | no                 | instances.disk                  | 3 failure domains      |
      | promises/domains_out_within_s      | 60                 | promises.domains_out_within_s   | 2 to 10                |

  Scenario Outline: What must never happen becomes configuration
    Given answers of the "<example>" example
    When answers have <value> at "<path>"
    Then answers give the service "<service>" the <field> <result>

    Examples:
      | example      | path                                   | value | service   | field               | result |
      | choir        | services/0/never/run_twice             | yes   | robes     | require_key         | true   |
      | choir        | services/0/never/run_twice             | no    | robes     | require_key         | false  |
      | choir        | services/0/never/run_without_proof     | yes   | robes     | require_key         | true   |
      | choir        | services/0/never/copy_lookups          | yes   | robes     | hedge               | false  |
      | choir        | services/0/never/copy_lookups          | no    | robes     | hedge               | true   |
      | choir        | services/0/never/wait_longer_than_ms   | 700   | robes     | max_deadline_ms     | 700    |
      | choir        | services/2/upload_takes_up_to_s        | 600   | wardrobe  | max_deadline_ms     | 600000 |
      | choir        | services/2/upload_takes_up_to_s        | 600   | wardrobe  | default_deadline_ms | 3000   |
      | co-operative | promises/keep_paid_answers_min         | 30    | dispatch  | claim_retention_s   | 1800   |
      | co-operative | services/1/largest_paid_answer_kb      | 2     | dispatch  | max_recorded_answer_bytes | 2048 |
      | co-operative | services/2/largest_upload_mb           | 1     | archive   | max_body_bytes      | 1048576 |

  Scenario Outline: A promise becomes settings of every instance
    Given answers of the "co-operative" example
    When answers have <value> at "<path>"
    Then answers give every instance the setting <section>.<key> <result>

    Examples:
      | path                          | value | section | key                  | result |
      | promises/domains_out_within_s | 2     | feed    | config_lease_ms      | 1000   |
      | promises/domains_out_within_s | 3     | feed    | config_lease_ms      | 2000   |
      | promises/domains_out_within_s | 10    | control | activation_delay_ms  | 14000  |
      | promises/paid_calls_per_min   | 1000  | claims  | max_claims           | 480000 |
      | services/2/upload_takes_up_to_s | 1200 | stop   | drain_timeout_ms     | 1200000 |
