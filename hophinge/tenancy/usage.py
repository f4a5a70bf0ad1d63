"""What tenants used at a head, by tenant and volume: counted here, flushed to a store, restored if that failed.

What was stored is counted once: an amount is either here or in the store, and moves in one transaction. What a killed
process had not flushed is lost; that is at most what came since the last flush.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

UsageKey = tuple[str, str, str]  # tenant, volume, field

# Names of fields, as they are stored and reported.
UNITS = "units"
SERVED = "served"
REJECTED = "refused"
FAILED = "failed"
CLIENT_LEFT = "left"
BYTES_IN = "bytes_in"
BYTES_OUT = "bytes_out"
FIELDS = (UNITS, SERVED, REJECTED, FAILED, CLIENT_LEFT, BYTES_IN, BYTES_OUT)

MAX_COUNTED_VOLUMES = 50_000  # between two flushes; beyond, amounts count for their tenant alone
MAX_LABELS = 50  # tenants with a metric series of their own
OTHER_TENANTS = "(others)"
TENANT_TOTAL = ""  # the volume of what is counted for a tenant alone


class UsageCounter:
    """One head's amounts since the last flush."""

    def __init__(self) -> None:
        self.amounts: dict[UsageKey, float] = {}
        self.flushing: dict[UsageKey, float] | None = None  # handed to the store, and not known to be stored

    def add(self, tenant: str, volume: str, field: str, amount: float) -> None:
        """Add an amount to a field of a volume, or of its tenant where too many volumes are counted."""
        key = tenant, volume, field
        if key not in self.amounts and len(self.amounts) >= MAX_COUNTED_VOLUMES * len(FIELDS):
            key = tenant, TENANT_TOTAL, field
        self.amounts[key] = self.amounts.get(key, 0.0) + amount

    def begin_flush(self) -> Mapping[UsageKey, float]:
        """Return the amounts to store; `commit_flush` or `abort_flush` has to follow before the next flush."""
        if self.flushing is None:
            self.flushing = self.amounts
            self.amounts = {}
        return self.flushing

    def commit_flush(self) -> None:
        """Forget the amounts of the last flush: they are stored."""
        self.flushing = None

    def abort_flush(self) -> None:
        """Restore the amounts of the last flush; they are part of the next one."""
        for key, amount in (self.flushing or {}).items():
            self.amounts[key] = self.amounts.get(key, 0.0) + amount
        self.flushing = None


class UsageReport(NamedTuple):
    """Keys whose totals are reported under a number."""

    number: int
    keys: list[UsageKey]


class UsageReports:
    """Which totals the control service has not acknowledged yet; they are reported until it has.

    Totals only grow, so a report that is lost, late or doubled does no harm.
    """

    def __init__(self) -> None:
        self.unreported: dict[UsageKey, None] = {}  # the oldest first
        self.unacknowledged: dict[int, list[UsageKey]] = {}  # by the report's number
        self.number = 0

    def add(self, keys: Mapping[UsageKey, float]) -> None:
        """Record keys whose totals have grown."""
        for key in keys:
            self.unreported[key] = None

    def next_report(self, max_keys: int) -> UsageReport:
        """Return the next report, of the oldest keys."""
        self.number += 1
        keys = [key for key, _ in zip(self.unreported, range(max_keys), strict=False)]
        for key in keys:
            del self.unreported[key]
        self.unacknowledged[self.number] = keys
        return UsageReport(self.number, keys)

    def acknowledge(self, number: int) -> None:
        """Record that a report was stored."""
        self.unacknowledged.pop(number, None)

    def retry_unacknowledged(self) -> None:
        """Record the end of a stream: what was not acknowledged is reported again."""
        for keys in self.unacknowledged.values():
            for key in keys:
                self.unreported[key] = None
        self.unacknowledged = {}


class LabelledTotals:
    """Totals since the start by tenant, for metrics whose labels are bounded: tenants beyond the bound are summed.

    A tenant keeps the label that it got first, or its counter would fall when another grew past it.
    """

    def __init__(self, max_labels: int = MAX_LABELS) -> None:
        self.max_labels = max_labels
        self.counts: dict[tuple[str, str], float] = {}  # by label and field
        self.labels: set[str] = set()

    def add(self, tenant: str, field: str, amount: float) -> None:
        """Add an amount to a tenant's total, or to that of the others."""
        if tenant not in self.labels:
            if len(self.labels) >= self.max_labels:
                tenant = OTHER_TENANTS
            else:
                self.labels.add(tenant)
        self.counts[tenant, field] = self.counts.get((tenant, field), 0.0) + amount
