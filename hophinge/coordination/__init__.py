"""A library to embed in a service: agreed views, chain replication, leases, dissemination and durable state."""
