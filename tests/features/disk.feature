Feature: Durable state under disk faults
  After a fault, acknowledged data is complete or the damaged file is named, never partial.

  Scenario Outline: <fault>
    Given disk with a snapshot, 20 synced entries and a vote
    When disk suffers <fault>
    Then disk is reopened as <result>

    Examples:
      | fault                              | result                                   |
      | a crash of the process             | complete                                 |
      | a power loss                       | complete                                 |
      | a power loss in a write            | complete up to the unfinished write      |
      | two power losses in a write        | complete up to the unfinished write      |
      | a full disk in a write             | complete up to the unfinished write      |
      | a failed sync and a crash          | complete up to the unfinished write      |
      | a failed sync and a power loss     | complete up to the unfinished write      |
      | a bit flip in the log              | CorruptFile that names log               |
      | a bit flip in the snapshot         | CorruptFile that names snapshot          |
      | a bit flip in the identity         | CorruptFile that names identity          |
      | a power loss and a bit flip in log | CorruptFile that names log               |
      | the loss of the log                | CorruptFile that names log               |
      | the loss of the snapshot           | CorruptFile that names snapshot          |
      | the loss of the identity           | empty under a new disk id                |
      | the loss of everything             | empty under a new disk id                |
