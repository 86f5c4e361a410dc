Feature: The replicated log under faults
  Accepted changes survive the faults. Without a majority of admitted disks, no change is accepted
  and no replica is fresh.

  Scenario Outline: <members> members, <first>, then <second>
    Given replica group of <members> with 5 accepted changes
    When replica fault: <first>
    And replica fault: <second>
    Then replica group <result>
    And replica group has lost nothing after the repair

    Examples: with a majority
      | members | first                        | second                       | result              |
      | 1       | power loss of the leader     | restart                      | accepts within 4 s  |
      | 3       | crash of the leader          | nothing                      | accepts within 4 s  |
      | 3       | power loss of the leader     | restart                      | accepts within 4 s  |
      | 3       | isolation of the leader      | nothing                      | accepts within 4 s  |
      | 3       | crash of a follower          | restart                      | accepts within 4 s  |
      | 3       | lost disk of a follower      | nothing                      | accepts within 4 s  |
      | 3       | lost disk of a follower      | lost disk of the next one    | accepts within 8 s  |
      | 3       | lost disk of the leader      | lost disk of the next one    | accepts within 8 s  |
      | 3       | older copy at a follower     | crash of the leader          | accepts within 8 s  |
      | 3       | older copy at the leader     | nothing                      | accepts within 8 s  |
      | 5       | older copy at a follower     | crash of the leader          | accepts within 8 s  |
      | 3       | damaged log of a follower    | crash of the leader          | accepts within 8 s  |
      | 3       | failed sync at the leader    | nothing                      | accepts within 4 s  |
      | 3       | full disk at the leader      | nothing                      | accepts within 4 s  |
      | 3       | slow disk at the leader      | nothing                      | accepts within 8 s  |
      | 3       | slow disk at a follower      | loss of 20% of messages      | accepts within 8 s  |
      | 3       | slow disk at every follower  | nothing                      | accepts within 8 s  |
      | 3       | one-way cut to the leader    | nothing                      | accepts within 8 s  |
      | 3       | one-way cut from the leader  | nothing                      | accepts within 8 s  |
      | 5       | crash of the leader          | crash of the leader          | accepts within 8 s  |
      | 5       | lost disk of a follower      | isolation of the leader      | accepts within 8 s  |
      | 5       | duplicates and reordering    | crash of the leader          | accepts within 8 s  |

    Examples: without a majority
      | members | first                        | second                       | result              |
      | 3       | crash of the leader          | crash of a follower          | accepts nothing     |
      | 3       | isolation of the leader      | crash of a follower          | accepts nothing     |
      | 3       | lost disk without repair     | crash of the leader          | accepts nothing     |
      | 3       | crash of a follower          | lost disk without repair     | accepts nothing     |
      | 3       | crash of everyone            | nothing                      | accepts nothing     |
