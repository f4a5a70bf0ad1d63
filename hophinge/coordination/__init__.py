"""Coordination parts to embed in a service: agreed views, chain replication, leases, dissemination, durable state."""
