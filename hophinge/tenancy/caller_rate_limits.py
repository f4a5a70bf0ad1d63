"""Bounds on calls: each caller has a bucket of its own, and who only guesses at keys soon gets no more answers.

What is known of callers is bounded whatever comes: the least recently heard of are forgotten first, and a caller who
makes up a new name each time is bounded by where it calls from.
"""

from __future__ import annotations

from collections import OrderedDict

from hophinge.tenancy.reserve import TokenBucket

MAX_CALLERS = 4096


class CallerRateLimits:
    """A bucket of calls for each caller; the oldest are forgotten, and then begin with a full one."""

    def __init__(self, rate: float, burst: float, max_callers: int = MAX_CALLERS) -> None:
        self.rate, self.burst, self.max_callers = rate, burst, max_callers
        self.buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def _bucket(self, caller: str, now_us: int) -> TokenBucket:
        bucket = self.buckets.get(caller)
        if bucket is None:
            bucket = self.buckets[caller] = TokenBucket(self.rate, self.burst, now_us)
            while len(self.buckets) > self.max_callers:
                self.buckets.popitem(last=False)
        else:
            self.buckets.move_to_end(caller)
        bucket.fill(now_us)
        return bucket

    def wait_us(self, caller: str, now_us: int) -> int:
        """Tell after how many microseconds a call may come; 0: now. Nothing is counted."""
        if caller not in self.buckets:
            return 0
        return self._bucket(caller, now_us).wait_us(1.0)

    def count(self, caller: str, now_us: int) -> None:
        """Count a call."""
        self._bucket(caller, now_us).level -= 1.0

    def admit(self, caller: str, now_us: int) -> int:
        """Count a call that may come; tell the wait where it may not."""
        wait = self._bucket(caller, now_us).wait_us(1.0)
        if not wait:
            self.count(caller, now_us)
        return wait


class ConcurrencyQuota:
    """What tenants hold at a head that lasts longer than a request: connections, open object requests."""

    def __init__(self) -> None:
        self.open_counts: dict[str, int] = {}
        self.owners: dict[object, str] = {}

    def acquire(self, tenant: str, resource: object, limit: int) -> bool:
        """Let a holder stand for a tenant, and no longer for another; False: the tenant holds its most already."""
        if self.owners.get(resource) == tenant:
            return True
        if limit and self.open_counts.get(tenant, 0) >= limit:
            return False
        self.release(resource)
        self.owners[resource] = tenant
        self.open_counts[tenant] = self.open_counts.get(tenant, 0) + 1
        return True

    def release(self, resource: object) -> None:
        """Note a holder's end."""
        tenant = self.owners.pop(resource, None)
        if tenant is not None:
            self.open_counts[tenant] -= 1
            if not self.open_counts[tenant]:
                del self.open_counts[tenant]
