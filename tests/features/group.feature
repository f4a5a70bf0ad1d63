Feature: a group of replicas keeps the configuration

  Scenario: a change outlives the loss of any one machine
    Given a group of 3 replicas
    When an operator sends version 1 to replica 2
    Then it is acknowledged
    When replica 1 loses its disk
    And 4 seconds pass
    And replica 3 loses its disk
    And 4 seconds pass
    Then every replica reads version 1

  Scenario: one of two changes on the same version wins
    Given a group of 3 replicas
    When an operator sends version 1 to replica 1 and another sends version 2 to replica 3
    Then one is acknowledged and the other rejected
    And every replica reads the acknowledged one

  Scenario: a partitioned minority neither applies nor rejects
    Given a group of 3 replicas
    When replica 1 is partitioned
    And 2 seconds pass
    And an operator sends version 1 to replica 1
    And 3 seconds pass
    Then its outcome is unknown

  Scenario: all machines lose power right after an acknowledgement
    Given a group of 4 replicas
    When an operator sends version 1 to replica 4
    Then it is acknowledged
    When all replicas lose power
    And 4 seconds pass
    Then every replica reads version 1
