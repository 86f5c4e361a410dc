Feature: Validation of answers and the configuration generated from them

  Scenario Outline: An invalid answer is refused with its question and the accepted values
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
      | promises/domains_out_within_s      | 1                  | promises.domains_out_within_s   | 2 to 10                |
      | promises/paid_calls_per_min        | 20000              | promises.keep_paid_answers_min  | at most 50             |
      | organisation/name                  | null               | organisation.name               | a name                 |
      | organisation/first_port            | 80                 | organisation.first_port         | 1024 to 65532          |
      | organisation/colour                | red                | organisation                    | a mapping of name      |
      | failure_domains                    | []                 | failure_domains                 | a list of 1 to 20      |
      | failure_domains                    | [toowoomba, warwick, dalby, roma] | failure_domains  | that have an instance  |
      | services                           | {}                 | services                        | a list of 1 to 2200    |
      | services/0/name                    | 7                  | services[0].name                | a name                 |
      | services/0/hosts                   | robes.example      | services.robes.hosts            | a list                 |
      | services/0/hosts                   | [Robes.example]    | services.robes.hosts            | small letters          |
      | services/1/hosts                   | [robes.choir.example] | services.hosts               | only once              |
      | services/0/actions/0/kind          | read               | services.robes.actions[0].kind  | lookup                 |
      | services/0/never/wait_longer_than_ms | 2 s              | services.robes.never.wait       | 100 to 600000          |
      | instances/0/address                | 0.0.0.0            | instances.toowoomba-robes       | an IP address          |
      | instances/0/slots                  | true               | instances.toowoomba-robes.slots | 1 to 10000             |
      | instances/0/service                | robe               | instances.toowoomba-robes       | robes, bookings        |
      | instances/0/connections            | 8                  | instances.toowoomba-robes       | at least the 9         |
      | instances/1/name                   | toowoomba-robes    | instances.name                  | only once              |
      | instances/1/address                | 10.20.1.11         | instances.address               | only once              |

  Scenario Outline: A requirement under never becomes service configuration
    Given answers of the "<example>" example
    When answers have <value> at "<path>"
    Then answers give the service "<service>" the <field> <result>

    Examples:
      | example      | path                                   | value | service   | field               | result |
      | choir        | services/0/never/run_without_proof     | no    | bookings  | require_key         | true   |
      | choir        | services/0/never/run_without_proof     | no    | wardrobe  | require_key         | false  |
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

  Scenario Outline: A promise becomes a setting of every instance
    Given answers of the "co-operative" example
    When answers have <value> at "<path>"
    Then answers give every instance the setting <section>.<key> <result>

    Examples:
      | path                          | value | section | key                  | result |
      | promises/domains_out_within_s | 2     | feed    | config_lease_ms      | 1000   |
      | promises/domains_out_within_s | 3     | feed    | config_lease_ms      | 2000   |
      | promises/domains_out_within_s | 2     | control | election_timeout_ms  | 500    |
      | promises/domains_out_within_s | 10    | control | activation_delay_ms  | 14000  |
      | promises/paid_calls_per_min   | 1000  | claims  | max_claims           | 480000 |
      | services/2/upload_takes_up_to_s | 1200 | stop   | drain_timeout_ms     | 1200000 |
      | services/2/upload_takes_up_to_s | 1    | stop   | drain_timeout_ms     | 60000  |
      | services/0/never/wait_longer_than_ms | 30000 | upstream | first_byte_timeout_ms | 30000 |
