"""What tenants used at a head, by tenant and volume: counted here, handed out to be stored, taken back if that failed.

What was stored is counted once: an amount is either here or in the store, and goes over in one transaction. What a
killed process had not handed out is lost; that is at most what came since the last flush.
"""

from __future__ import annotations

from collections.abc import Mapping

Place = tuple[str, str, str]  # tenant, volume, field
UNITS, SERVED, REFUSED, FAILED, LEFT, IN, OUT = FIELDS = (
    "units",
    "served",
    "refused",
    "failed",
    "left",
    "bytes_in",
    "bytes_out",
)
MAX_VOLUMES = 50_000  # places of volumes held between two flushes; beyond, they count for their tenant
MAX_LABELS = 50  # tenants with a series of their own
OTHERS = "(others)"
WHOLE = ""  # the volume of what is counted for a tenant alone


class Usage:
    """One head's counts since they were handed out last."""

    def __init__(self) -> None:
        self.amounts: dict[Place, float] = {}
        self.out: dict[Place, float] | None = None  # handed out, and not known to be stored

    def add(self, tenant: str, volume: str, field: str, amount: float) -> None:
        """Count."""
        place = tenant, volume, field
        if place not in self.amounts and len(self.amounts) >= MAX_VOLUMES * len(FIELDS):
            place = tenant, WHOLE, field
        self.amounts[place] = self.amounts.get(place, 0.0) + amount

    def flush(self) -> Mapping[Place, float]:
        """Hand out what was counted; `stored` or `failed` is to follow before the next flush."""
        if self.out is None:
            self.out, self.amounts = self.amounts, {}
        return self.out

    def stored(self) -> None:
        """Note that what was handed out is stored."""
        self.out = None

    def failed(self) -> None:
        """Take back what was handed out; it comes with the next flush."""
        for place, amount in (self.out or {}).items():
            self.amounts[place] = self.amounts.get(place, 0.0) + amount
        self.out = None


class Reports:
    """Which totals the control service has not been told yet; told again until they were acknowledged.

    Totals only grow, so a report that is lost, late or doubled does no harm.
    """

    def __init__(self) -> None:
        self.due: dict[Place, None] = {}  # the oldest first
        self.sent: dict[int, list[Place]] = {}
        self.number = 0

    def changed(self, places: Mapping[Place, float]) -> None:
        """Note places whose totals have grown."""
        for place in places:
            self.due[place] = None

    def take(self, most: int) -> tuple[int, list[Place]]:
        """Tell what to report next, under a number."""
        self.number += 1
        places = [place for place, _ in zip(self.due, range(most), strict=False)]
        for place in places:
            del self.due[place]
        self.sent[self.number] = places
        return self.number, places

    def acknowledged(self, number: int) -> None:
        """Note that a report was stored."""
        self.sent.pop(number, None)

    def lost(self) -> None:
        """Note the end of a stream: what was not acknowledged is reported again."""
        for places in self.sent.values():
            for place in places:
                self.due[place] = None
        self.sent = {}


class Exported:
    """Counts since the start by tenant, for series whose labels are bounded: who came late is summed with the rest.

    A tenant keeps the label that it got first, or its counter would fall when another grew past it.
    """

    def __init__(self, most: int = MAX_LABELS) -> None:
        self.most = most
        self.counts: dict[tuple[str, str], float] = {}  # by label and field
        self.labels: set[str] = set()

    def add(self, tenant: str, field: str, amount: float) -> None:
        """Count."""
        if tenant not in self.labels:
            if len(self.labels) >= self.most:
                tenant = OTHERS
            else:
                self.labels.add(tenant)
        self.counts[tenant, field] = self.counts.get((tenant, field), 0.0) + amount
