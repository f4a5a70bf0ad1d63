"""Rate limits on calls: each caller has its own token bucket, which stops attempts to guess keys.

The state is bounded: the least recently used callers are dropped first. A caller that uses a new name for each call is
limited by its address.
"""

from __future__ import annotations

from collections import OrderedDict

from hophinge.tenancy.token_bucket import TokenBucket

MAX_CALLERS = 4096


class CallerRateLimits:
    """A token bucket of calls for each caller; a caller that was dropped starts with a full bucket again."""

    def __init__(self, rate: float, burst: float, max_callers: int = MAX_CALLERS) -> None:
        self.rate = rate  # calls a second
        self.burst = burst
        self.max_callers = max_callers
        self.buckets: OrderedDict[str, TokenBucket] = OrderedDict()  # least recently used first

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
        """Return the microseconds until a call is allowed; 0: now. Does not count a call."""
        if caller not in self.buckets:
            return 0
        return self._bucket(caller, now_us).wait_us(1.0)

    def count(self, caller: str, now_us: int) -> None:
        """Count a call, whether it was allowed or not."""
        self._bucket(caller, now_us).level -= 1.0

    def admit(self, caller: str, now_us: int) -> int:
        """Count a call and return 0 if it is allowed; otherwise return the microseconds until one is allowed."""
        wait_us = self._bucket(caller, now_us).wait_us(1.0)
        if not wait_us:
            self.count(caller, now_us)
        return wait_us
