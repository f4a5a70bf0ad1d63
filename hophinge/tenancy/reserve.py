"""Reserved rates: a tenant's, and within it those of its volumes; what one volume does not use another may borrow.

Two buckets are charged for each reserved request: its volume's, which is its right, and its tenant's, which is the sum.
A volume beyond its own right may borrow while its tenant's bucket holds the units. A volume that returns for its right
gets it at once, and drives the tenant's bucket below 0: then nobody borrows until what was lent has come back. It goes
no lower than its depth, so that a tenant whose volumes' rights add up to more than its own gets no more than its own.

What a volume borrowed is an outstanding loan until the tenant's bucket has been refilled by as much: a refill repays
the oldest loan first, and a full bucket has no loans. Loans tell operators who lives on whose rights; they take no
right away, as what nobody else wanted was nobody's loss.
"""

from __future__ import annotations

from hophinge.tenancy.token_bucket import TokenBucket

VOLUMES_BETWEEN_SWEEPS = 64  # new volumes between searches for full buckets, which need not be remembered


class Reserve:
    """One tenant's reserve and its volumes'."""

    __slots__ = ("borrowed_units", "burst_s", "lent_units", "outstanding_loans", "returned_units", "total", "volumes")

    def __init__(self, rate: float, burst_s: float, min_depth: float, now_us: int) -> None:
        self.burst_s = burst_s
        self.total = TokenBucket(rate, self._depth(rate, min_depth), now_us)
        self.volumes: dict[str, TokenBucket] = {}
        self.borrowed_units: dict[str, float] = {}  # by volume, since it was first seen
        self.outstanding_loans: dict[str, float] = {}  # units by volume, the oldest first
        self.lent_units = 0.0
        self.returned_units = 0.0

    def _depth(self, rate: float, min_depth: float) -> float:
        return max(rate * self.burst_s, min_depth) if rate else 0.0

    def set_rate(self, rate: float, min_depth: float, now_us: int) -> None:
        """Change the tenant's rate, in units a second."""
        self.total.set_rate(rate, self._depth(rate, min_depth), now_us)

    def take(self, volume: str, rate: float, min_depth: float, units: float, now_us: int) -> bool:
        """Take units of a volume, whose own rate is given; False: neither its right nor a loan covers them."""
        depth = self._depth(rate, min_depth)
        own = self.volumes.get(volume)
        if own is None:
            self._drop_full_buckets(now_us)
            own = self.volumes[volume] = TokenBucket(rate, depth, now_us)
        else:
            own.set_rate(rate, depth, now_us)
        total = self.fill(now_us)
        if own.fill(now_us) >= units and total - units >= -self.total.depth and self.total.rate > 0:
            own.level -= units
            self.total.level -= units
            return True
        if total >= units:
            self.total.level -= units
            self.borrowed_units[volume] = self.borrowed_units.get(volume, 0.0) + units
            self.outstanding_loans[volume] = self.outstanding_loans.get(volume, 0.0) + units
            self.lent_units += units
            return True
        return False

    def fill(self, now_us: int) -> float:
        """Refill the tenant's bucket, repay loans by the refill, and return the bucket's level."""
        before = self.total.level
        total = self.total.fill(now_us)
        if self.outstanding_loans:
            self._repay(total - before, total >= self.total.depth)
        return total

    def _repay(self, refilled: float, is_full: bool) -> None:
        for volume in list(self.outstanding_loans):
            outstanding = self.outstanding_loans[volume]
            repaid = outstanding if is_full else min(outstanding, refilled)
            refilled -= repaid
            self.returned_units += repaid
            if repaid >= outstanding:
                del self.outstanding_loans[volume]
            else:
                self.outstanding_loans[volume] = outstanding - repaid
                break

    def loans(self, now_us: int) -> dict[str, float]:
        """Return the outstanding loans in units, by volume."""
        self.fill(now_us)
        return dict(self.outstanding_loans)

    def _drop_full_buckets(self, now_us: int) -> None:
        """Drop volumes whose bucket is full, as a new one's would be, once they are many."""
        if len(self.volumes) > VOLUMES_BETWEEN_SWEEPS and len(self.volumes) % VOLUMES_BETWEEN_SWEEPS == 0:
            self.volumes = {name: bucket for name, bucket in self.volumes.items() if bucket.fill(now_us) < bucket.depth}
            self.borrowed_units = {name: units for name, units in self.borrowed_units.items() if name in self.volumes}
