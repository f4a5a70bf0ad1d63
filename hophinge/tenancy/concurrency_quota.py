"""How many resources each tenant has open at a head: connections, or object requests."""

from __future__ import annotations


class ConcurrencyQuota:
    """Open resources, each with the tenant that it counts for."""

    def __init__(self) -> None:
        self.open_counts: dict[str, int] = {}  # by tenant
        self.owners: dict[object, str] = {}  # the tenant, by resource

    def acquire(self, tenant: str, resource: object, limit: int) -> bool:
        """Count a resource for a tenant, and no longer for another; False: the tenant is at its limit (0: none)."""
        if self.owners.get(resource) == tenant:
            return True
        if limit and self.open_counts.get(tenant, 0) >= limit:
            return False
        self.release(resource)
        self.owners[resource] = tenant
        self.open_counts[tenant] = self.open_counts.get(tenant, 0) + 1
        return True

    def release(self, resource: object) -> None:
        """Record the end of a resource; one that is not counted is ignored."""
        tenant = self.owners.pop(resource, None)
        if tenant is not None:
            self.open_counts[tenant] -= 1
            if not self.open_counts[tenant]:
                del self.open_counts[tenant]
