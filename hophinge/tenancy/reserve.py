"""Reserved rates: a tenant's, and within it those of its volumes; what one does not use another may borrow.

Two buckets are charged for each reserved request: its volume's, which is its right, and its tenant's, which is the sum.
A volume beyond its own right may borrow while its tenant's bucket holds the units. Who comes back for its right gets it
at once, and drives the tenant's bucket below 0: then nobody borrows until what was lent has come back. It goes no lower
than its depth, so that a tenant whose volumes' rights add up to more than its own gets no more than its own.

What a volume borrowed is its debt until the tenant's bucket has taken in as much again: what comes in pays the oldest
debt first, and a full bucket owes nothing. Debts tell staff who lives on whose rights; they take no right away, as what
nobody else wanted was nobody's loss.
"""

from __future__ import annotations


class TokenBucket:
    """Units that come at a rate, up to a depth; below 0 they are owed."""

    __slots__ = ("updated_us", "depth", "level", "rate")

    def __init__(self, rate: float, depth: float, now_us: int) -> None:
        self.rate, self.depth, self.level, self.updated_us = rate, depth, depth, now_us

    def fill(self, now_us: int) -> float:
        """Bring it up to now; a clock that went back gives nothing."""
        self.level = min(self.depth, self.level + self.rate * max(0, now_us - self.updated_us) / 1e6)
        self.updated_us = now_us
        return self.level

    def set_rate(self, rate: float, depth: float, now_us: int) -> None:
        """Go on at another rate: what was taken stays taken, and what is owed stays owed."""
        if rate != self.rate or depth != self.depth:
            self.fill(now_us)
            self.level = min(self.level + max(0.0, depth - self.depth) * (self.level >= self.depth), depth)
            self.rate, self.depth = rate, depth

    def wait_us(self, units: float) -> int:
        """Tell in how many microseconds it will hold so many units; -1: never."""
        if self.level >= units:
            return 0
        return int((units - self.level) / self.rate * 1e6) + 1 if self.rate > 0 and units <= self.depth else -1


class Reserve:
    """One tenant's reserve and its volumes'."""

    __slots__ = ("borrowed_units", "burst_s", "lent_units", "outstanding_loans", "returned_units", "total", "volumes")

    def __init__(self, rate: float, burst_s: float, min_depth: float, now_us: int) -> None:
        self.burst_s = burst_s
        self.total = TokenBucket(rate, max(rate * burst_s, min_depth) if rate else 0.0, now_us)
        self.volumes: dict[str, TokenBucket] = {}
        self.borrowed_units: dict[str, float] = {}  # units by volume, since it was first seen
        self.outstanding_loans: dict[str, float] = {}  # of that, what has not come back; the oldest first
        self.lent_units = self.returned_units = 0.0

    def set_rate(self, rate: float, min_depth: float, now_us: int) -> None:
        """Go on at another rate."""
        self.total.set_rate(rate, max(rate * self.burst_s, min_depth) if rate else 0.0, now_us)

    def take(self, volume: str, rate: float, min_depth: float, units: float, now_us: int) -> bool:
        """Take units of a volume whose own rate is told; False: neither its right nor a loan covers them."""
        depth = max(rate * self.burst_s, min_depth) if rate else 0.0
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
        """Bring the tenant's bucket up to now and count what came in against debts; tells its level."""
        before = self.total.level
        total = self.total.fill(now_us)
        if self.outstanding_loans:
            self._repay(total - before, total >= self.total.depth)
        return total

    def _repay(self, added: float, is_full: bool) -> None:
        for volume in list(self.outstanding_loans):
            outstanding = self.outstanding_loans[volume]
            repaid = outstanding if is_full else min(outstanding, added)
            added -= repaid
            self.returned_units += repaid
            if repaid >= outstanding:
                del self.outstanding_loans[volume]
            else:
                self.outstanding_loans[volume] = outstanding - repaid
                break

    def loans(self, now_us: int) -> dict[str, float]:
        """Tell the debts of volumes now."""
        self.fill(now_us)
        return dict(self.outstanding_loans)

    def _drop_full_buckets(self, now_us: int) -> None:
        """Drop volumes whose bucket is full, as a new one's would be, once they are many."""
        if len(self.volumes) > 64 and len(self.volumes) % 64 == 0:
            self.volumes = {name: one for name, one in self.volumes.items() if one.fill(now_us) < one.depth}
            self.borrowed_units = {name: units for name, units in self.borrowed_units.items() if name in self.volumes}
