"""Coordination parts that a service can embed: agreed views, chain replication, leases, dissemination, durable state."""
