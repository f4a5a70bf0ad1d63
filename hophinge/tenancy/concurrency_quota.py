"""Quota on the resources that each tenant has open at a head: connections or object requests."""

from __future__ import annotations


class ConcurrencyQuota:
    """Counts open resources, each for one tenant."""

    def __init__(self) -> None:
        self.open_counts: dict[str, int] = {}  # by tenant
        self.owners: dict[object, str] = {}  # the tenant, by resource

    def acquire(self, tenant: str, resource: object, limit: int) -> bool:
        """Count a resource for a tenant instead of its previous one; False: the tenant is at `limit` (0: no limit)."""
        if self.owners.get(resource) == tenant:
            return True
        if limit and self.open_counts.get(tenant, 0) >= limit:
            return False
        self.release(resource)
        self.owners[resource] = tenant
        self.open_counts[tenant] = self.open_counts.get(tenant, 0) + 1
        return True

    def release(self, resource: object) -> None:
        """Record that a resource was closed; ignored if it is not counted."""
        tenant = self.owners.pop(resource, None)
        if tenant is not None:
            self.open_counts[tenant] -= 1
            if not self.open_counts[tenant]:
                del self.open_counts[tenant]
