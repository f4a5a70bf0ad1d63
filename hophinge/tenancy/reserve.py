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


class Bucket:
    """Units that come at a rate, up to a depth; below 0 they are owed."""

    __slots__ = ("at", "depth", "level", "rate")

    def __init__(self, rate: float, depth: float, now_us: int) -> None:
        self.rate, self.depth, self.level, self.at = rate, depth, depth, now_us

    def fill(self, now_us: int) -> float:
        """Bring it up to now; a clock that went back gives nothing."""
        self.level = min(self.depth, self.level + self.rate * max(0, now_us - self.at) / 1e6)
        self.at = now_us
        return self.level

    def change(self, rate: float, depth: float, now_us: int) -> None:
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

    __slots__ = ("borrowed", "burst_s", "debts", "lent", "returned", "total", "volumes")

    def __init__(self, rate: float, burst_s: float, least: float, now_us: int) -> None:
        self.burst_s = burst_s
        self.total = Bucket(rate, max(rate * burst_s, least) if rate else 0.0, now_us)
        self.volumes: dict[str, Bucket] = {}
        self.borrowed: dict[str, float] = {}  # units by volume, since it was first seen
        self.debts: dict[str, float] = {}  # of that, what has not come back; the oldest first
        self.lent = self.returned = 0.0

    def change(self, rate: float, least: float, now_us: int) -> None:
        """Go on at another rate."""
        self.total.change(rate, max(rate * self.burst_s, least) if rate else 0.0, now_us)

    def take(self, volume: str, rate: float, least: float, units: float, now_us: int) -> bool:
        """Take units of a volume whose own rate is told; False: neither its right nor a loan covers them."""
        depth = max(rate * self.burst_s, least) if rate else 0.0
        own = self.volumes.get(volume)
        if own is None:
            self._forget(now_us)
            own = self.volumes[volume] = Bucket(rate, depth, now_us)
        else:
            own.change(rate, depth, now_us)
        total = self.fill(now_us)
        if own.fill(now_us) >= units and total - units >= -self.total.depth and self.total.rate > 0:
            own.level -= units
            self.total.level -= units
            return True
        if total >= units:
            self.total.level -= units
            self.borrowed[volume] = self.borrowed.get(volume, 0.0) + units
            self.debts[volume] = self.debts.get(volume, 0.0) + units
            self.lent += units
            return True
        return False

    def fill(self, now_us: int) -> float:
        """Bring the tenant's bucket up to now and count what came in against debts; tells its level."""
        before = self.total.level
        total = self.total.fill(now_us)
        if self.debts:
            self._repay(total - before, total >= self.total.depth)
        return total

    def _repay(self, came: float, full: bool) -> None:
        for volume in list(self.debts):
            owed = self.debts[volume]
            paid = owed if full else min(owed, came)
            came -= paid
            self.returned += paid
            if paid >= owed:
                del self.debts[volume]
            else:
                self.debts[volume] = owed - paid
                break

    def owed(self, now_us: int) -> dict[str, float]:
        """Tell the debts of volumes now."""
        self.fill(now_us)
        return dict(self.debts)

    def _forget(self, now_us: int) -> None:
        """Drop volumes whose bucket is full, as a new one's would be, once they are many."""
        if len(self.volumes) > 64 and len(self.volumes) % 64 == 0:
            self.volumes = {name: one for name, one in self.volumes.items() if one.fill(now_us) < one.depth}
            self.borrowed = {name: units for name, units in self.borrowed.items() if name in self.volumes}
