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

  Scenario: of two changes on one version one wins
    Given a group of 3 replicas
    When an operator sends version 1 to replica 1 and another sends version 2 to replica 3
    Then one is acknowledged and the other refused
    And every replica reads the acknowledged one

  Scenario: a minority that is cut off neither takes nor refuses
    Given a group of 3 replicas
    When replica 1 is cut off
    And 2 seconds pass
    And an operator sends version 1 to replica 1
    And 3 seconds pass
    Then nobody knows what became of it

  Scenario: all machines lose power right after an acknowledgement
    Given a group of 4 replicas
    When an operator sends version 1 to replica 4
    Then it is acknowledged
    When all replicas lose power
    And 4 seconds pass
    Then every replica reads version 1
