"""Reserved rates of a tenant and, within it, of its volumes; a volume may borrow what the others do not use.

A request within its volume's reserve is charged to two buckets: the volume's and the tenant's. A volume beyond its own
reserve may borrow: its request is charged only to the tenant's bucket, which must hold the units. A volume that becomes
active again gets its own reserve at once, even if the units were lent. The tenant's bucket then becomes negative, and
no volume can borrow until it has been refilled. Its level never falls below minus its depth, so that a tenant whose
volumes' reserves add up to more than its own reserve gets no more than its own.

Borrowed units are an outstanding loan until the tenant's bucket has been refilled by as many. A refill repays the
oldest loan first, and a full bucket has no loans. Loans show operators which volumes use the reserves of others. They
do not reduce a volume's reserve, because a volume can only borrow units that no other volume had requested.
"""

from __future__ import annotations

from hophinge.tenancy.token_bucket import TokenBucket

VOLUMES_BETWEEN_SWEEPS = 64  # new volumes between searches for full buckets, which need not be kept


class Reserve:
    """The reserve of one tenant and those of its volumes."""

    __slots__ = ("borrowed_units", "burst_s", "lent_units", "outstanding_loans", "returned_units", "total", "volumes")

    def __init__(self, rate: float, burst_s: float, min_depth: float, now_us: int) -> None:
        self.burst_s = burst_s
        self.total = TokenBucket(rate, self._depth(rate, min_depth), now_us)
        self.volumes: dict[str, TokenBucket] = {}
        self.borrowed_units: dict[str, float] = {}  # by volume, since its bucket was created
        self.outstanding_loans: dict[str, float] = {}  # units by volume, oldest loan first
        self.lent_units = 0.0
        self.returned_units = 0.0

    def _depth(self, rate: float, min_depth: float) -> float:
        return max(rate * self.burst_s, min_depth) if rate else 0.0

    def set_rate(self, rate: float, min_depth: float, now_us: int) -> None:
        """Change the tenant's rate, in units/s."""
        self.total.set_rate(rate, self._depth(rate, min_depth), now_us)

    def take(self, volume: str, rate: float, min_depth: float, units: float, now_us: int) -> bool:
        """Take units for a volume with its own `rate`; False: neither the volume's reserve nor a loan covers them."""
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
        """Refill the tenant's bucket, repay loans with the refill, and return the level of the bucket."""
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
        """Drop volumes with a full bucket once there are many volumes; a new bucket is full too."""
        if len(self.volumes) > VOLUMES_BETWEEN_SWEEPS and len(self.volumes) % VOLUMES_BETWEEN_SWEEPS == 0:
            self.volumes = {name: bucket for name, bucket in self.volumes.items() if bucket.fill(now_us) < bucket.depth}
            self.borrowed_units = {name: units for name, units in self.borrowed_units.items() if name in self.volumes}
