"""What tenants used at a head, by tenant and volume: counted here, handed out to be stored, taken back if that failed.

What was stored is counted once: an amount is either here or in the store, and goes over in one transaction. What a
killed process had not handed out is lost; that is at most what came since the last flush.
"""

from __future__ import annotations

from collections.abc import Mapping

UsageKey = tuple[str, str, str]  # tenant, volume, field
UNITS, SERVED, REFUSED, FAILED, LEFT, IN, OUT = FIELDS = (
    "units",
    "served",
    "refused",
    "failed",
    "left",
    "bytes_in",
    "bytes_out",
)
MAX_COUNTED_VOLUMES = 50_000  # places of volumes held between two flushes; beyond, they count for their tenant
MAX_LABELS = 50  # tenants with a series of their own
OTHER_TENANTS = "(others)"
TENANT_TOTAL = ""  # the volume of what is counted for a tenant alone


class UsageCounter:
    """One head's counts since they were handed out last."""

    def __init__(self) -> None:
        self.amounts: dict[UsageKey, float] = {}
        self.flushing: dict[UsageKey, float] | None = None  # handed out, and not known to be stored

    def add(self, tenant: str, volume: str, field: str, amount: float) -> None:
        """Count."""
        key = tenant, volume, field
        if key not in self.amounts and len(self.amounts) >= MAX_COUNTED_VOLUMES * len(FIELDS):
            key = tenant, TENANT_TOTAL, field
        self.amounts[key] = self.amounts.get(key, 0.0) + amount

    def begin_flush(self) -> Mapping[UsageKey, float]:
        """Hand out what was counted; `stored` or `failed` is to follow before the next flush."""
        if self.flushing is None:
            self.flushing, self.amounts = self.amounts, {}
        return self.flushing

    def commit_flush(self) -> None:
        """Note that what was handed out is stored."""
        self.flushing = None

    def abort_flush(self) -> None:
        """Take back what was handed out; it comes with the next flush."""
        for place, amount in (self.flushing or {}).items():
            self.amounts[place] = self.amounts.get(place, 0.0) + amount
        self.flushing = None


class UsageReports:
    """Which totals the control service has not been told yet; told again until they were acknowledged.

    Totals only grow, so a report that is lost, late or doubled does no harm.
    """

    def __init__(self) -> None:
        self.unreported: dict[UsageKey, None] = {}  # the oldest first
        self.unacknowledged: dict[int, list[UsageKey]] = {}
        self.number = 0

    def add(self, keys: Mapping[UsageKey, float]) -> None:
        """Note places whose totals have grown."""
        for place in keys:
            self.unreported[place] = None

    def next_report(self, max_keys: int) -> tuple[int, list[UsageKey]]:
        """Tell what to report next, under a number."""
        self.number += 1
        keys = [place for place, _ in zip(self.unreported, range(max_keys), strict=False)]
        for place in keys:
            del self.unreported[place]
        self.unacknowledged[self.number] = keys
        return self.number, keys

    def acknowledge(self, number: int) -> None:
        """Note that a report was stored."""
        self.unacknowledged.pop(number, None)

    def retry_unacknowledged(self) -> None:
        """Note the end of a stream: what was not acknowledged is reported again."""
        for places in self.unacknowledged.values():
            for place in places:
                self.unreported[place] = None
        self.unacknowledged = {}


class LabelledTotals:
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
                tenant = OTHER_TENANTS
            else:
                self.labels.add(tenant)
        self.counts[tenant, field] = self.counts.get((tenant, field), 0.0) + amount
