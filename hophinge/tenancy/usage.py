"""Usage of tenants at a head, by tenant and volume: counted in memory, flushed to a store, restored if that fails.

Each stored amount is counted once: an amount is either in memory or in the store, and moves in one transaction. A
killed process loses the amounts that it had not flushed, which are at most those since the last flush.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

UsageKey = tuple[str, str, str]  # tenant, volume, field

# Names of the fields in the store and in reports.
UNITS = "units"
SERVED = "served"
REJECTED = "refused"
FAILED = "failed"
CLIENT_LEFT = "left"
BYTES_IN = "bytes_in"
BYTES_OUT = "bytes_out"
FIELDS = (UNITS, SERVED, REJECTED, FAILED, CLIENT_LEFT, BYTES_IN, BYTES_OUT)

MAX_COUNTED_VOLUMES = 50_000  # between two flushes; amounts of further volumes count for their tenant only
MAX_LABELS = 50  # tenants with their own metric series
OTHER_TENANTS = "(others)"
TENANT_TOTAL = ""  # volume of the amounts that count for a tenant only


class UsageCounter:
    """The amounts of one head since the last flush."""

    def __init__(self) -> None:
        self.amounts: dict[UsageKey, float] = {}
        self.flushing: dict[UsageKey, float] | None = None  # passed to the store, which has not confirmed them yet

    def add(self, tenant: str, volume: str, field: str, amount: float) -> None:
        """Add an amount to a field of a volume, or of its tenant if too many volumes are counted."""
        key = tenant, volume, field
        if key not in self.amounts and len(self.amounts) >= MAX_COUNTED_VOLUMES * len(FIELDS):
            key = tenant, TENANT_TOTAL, field
        self.amounts[key] = self.amounts.get(key, 0.0) + amount

    def begin_flush(self) -> Mapping[UsageKey, float]:
        """Return the amounts to store; end the flush by `commit_flush` or `abort_flush` before the next one."""
        if self.flushing is None:
            self.flushing = self.amounts
            self.amounts = {}
        return self.flushing

    def commit_flush(self) -> None:
        """Drop the amounts of the last flush, because they are stored."""
        self.flushing = None

    def abort_flush(self) -> None:
        """Restore the amounts of the last flush, so that the next flush includes them."""
        for key, amount in (self.flushing or {}).items():
            self.amounts[key] = self.amounts.get(key, 0.0) + amount
        self.flushing = None


class UsageReport(NamedTuple):
    """A numbered report of usage: the keys whose totals it contains."""

    number: int
    keys: list[UsageKey]


class UsageReports:
    """Tracks the totals that the control service has not acknowledged yet, and reports them until it has.

    Totals only grow, so a lost, late or duplicated report does no harm.
    """

    def __init__(self) -> None:
        self.unreported: dict[UsageKey, None] = {}  # an ordered set, oldest first
        self.unacknowledged: dict[int, list[UsageKey]] = {}  # by report number
        self.number = 0

    def add(self, keys: Mapping[UsageKey, float]) -> None:
        """Record keys whose totals have grown."""
        for key in keys:
            self.unreported[key] = None

    def next_report(self, max_keys: int) -> UsageReport:
        """Return the next report, with the oldest `max_keys` keys."""
        self.number += 1
        keys = [key for key, _ in zip(self.unreported, range(max_keys), strict=False)]
        for key in keys:
            del self.unreported[key]
        self.unacknowledged[self.number] = keys
        return UsageReport(self.number, keys)

    def acknowledge(self, number: int) -> None:
        """Record that the control service has stored a report."""
        self.unacknowledged.pop(number, None)

    def retry_unacknowledged(self) -> None:
        """Report all unacknowledged totals again, after the end of a stream."""
        for keys in self.unacknowledged.values():
            for key in keys:
                self.unreported[key] = None
        self.unacknowledged = {}


class LabelledTotals:
    """Totals by tenant since the start, for metrics with a bounded number of labels; further tenants are summed.

    A tenant keeps the label that it got first. If labels went to the largest tenants instead, a counter could decrease
    when another tenant overtakes it.
    """

    def __init__(self, max_labels: int = MAX_LABELS) -> None:
        self.max_labels = max_labels
        self.counts: dict[tuple[str, str], float] = {}  # by label and field
        self.labels: set[str] = set()

    def add(self, tenant: str, field: str, amount: float) -> None:
        """Add an amount to the total of a tenant, or to that of the other tenants if it has no label."""
        if tenant not in self.labels:
            if len(self.labels) >= self.max_labels:
                tenant = OTHER_TENANTS
            else:
                self.labels.add(tenant)
        self.counts[tenant, field] = self.counts.get((tenant, field), 0.0) + amount
