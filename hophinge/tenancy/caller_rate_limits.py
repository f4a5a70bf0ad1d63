"""Rate limits on calls: each caller has a bucket of its own, so that guessing at keys soon gets no more answers.

The state is bounded whatever comes: the least recently used callers are dropped first, and a caller that invents a new
name each time is limited by its address.
"""

from __future__ import annotations

from collections import OrderedDict

from hophinge.tenancy.token_bucket import TokenBucket

MAX_CALLERS = 4096


class CallerRateLimits:
    """A token bucket of calls for each caller; one that was dropped begins with a full bucket."""

    def __init__(self, rate: float, burst: float, max_callers: int = MAX_CALLERS) -> None:
        self.rate = rate  # calls a second
        self.burst = burst
        self.max_callers = max_callers
        self.buckets: OrderedDict[str, TokenBucket] = OrderedDict()  # the least recently used first

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
        """Return the microseconds until a call is allowed; 0: now. The call is not counted."""
        if caller not in self.buckets:
            return 0
        return self._bucket(caller, now_us).wait_us(1.0)

    def count(self, caller: str, now_us: int) -> None:
        """Count a call, whether it was allowed or not."""
        self._bucket(caller, now_us).level -= 1.0

    def admit(self, caller: str, now_us: int) -> int:
        """Count a call if it is allowed; else return the microseconds until one is."""
        wait_us = self._bucket(caller, now_us).wait_us(1.0)
        if not wait_us:
            self.count(caller, now_us)
        return wait_us
