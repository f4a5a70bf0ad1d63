"""The administration API, version 1: tenants, buckets, keys, plans, usage and the audit, over HTTP."""
