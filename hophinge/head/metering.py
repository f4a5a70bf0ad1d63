"""A head's ledger of accounts, the clock by which keys expire, and the usage counts with their reports."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path

from hophinge.admin.clock import steady_us, wall_ms
from hophinge.core.counters import Counters
from hophinge.net.listener import INBOUND
from hophinge.objects.account_access import AuthenticatedRequest
from hophinge.state.ledger import Ledger, LedgerError
from hophinge.tenancy import usage as used
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.account_replication import AccountChunk, AccountReceiver
from hophinge.tenancy.lifecycle import TenantState
from hophinge.tenancy.slewed_clock import SlewedClock

MAX_CLOCK_OFFSET_MS = 60_000  # of the wall clock; a larger one is logged
OUTCOME_BY_STATUS = {2: used.SERVED, 3: used.SERVED, 4: used.FAILED, 5: used.FAILED}
LOCAL_REPORTER = "here"  # the reporter of this head's own usage, in its own ledger


class Metering:
    """The accounts in this head's ledger, and the usage that it counts by tenant."""

    def __init__(
        self,
        path: Path,
        is_replica: bool,
        counters: Counters,
        log: Callable[[str], None],
        on_state_change: Callable[[str, TenantState | None], None],
    ) -> None:
        self.counters = counters
        self.log = log
        self.is_replica = is_replica
        self.accounts = Accounts(on_state_change)
        self.ledger = Ledger(path, self.accounts.apply)
        self.time = SlewedClock(wall_ms(), steady_us(), self.ledger.last_change_ms())
        self.clock_offset_logged = False
        self.usage = used.UsageCounter()
        self.reports = used.UsageReports()
        self.exported = used.LabelledTotals()

    def now_ms(self) -> int:
        """Return the time by which keys expire, in milliseconds since the Unix epoch."""
        now = self.time.now_ms(wall_ms(), steady_us())
        is_off = abs(self.time.wall_clock_ahead_ms(wall_ms())) > MAX_CLOCK_OFFSET_MS
        if is_off is not self.clock_offset_logged:
            self.clock_offset_logged = is_off
            self.log(
                f"the wall clock is {self.time.wall_clock_ahead_ms(wall_ms()) / 1000:.0f} s ahead of the time used for "
                "key expiry, which approaches it slowly"
                if is_off
                else "the time used for key expiry is close to the wall clock again"
            )
        return now

    def count(self, tenant: str, volume: str, field: str, amount: float) -> None:
        """Add an amount to a usage field of a tenant's volume."""
        self.usage.add(tenant, volume, field, amount)
        self.exported.add(tenant, field, amount)

    def series(self) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
        """Return the tenants' usage since the start of the process, for remote write."""
        return {
            (f"tenant_{field}_total", (("tenant", tenant),)): amount
            for (tenant, field), amount in self.exported.counts.items()
        }

    def count_bytes(self, guest: AuthenticatedRequest, direction: int, size: int) -> None:
        """Count the bytes that a request transferred."""
        self.count(guest.tenant, guest.volume.id, used.BYTES_IN if direction == INBOUND else used.BYTES_OUT, size)

    def count_request(self, guest: AuthenticatedRequest, status: int) -> None:
        """Count a request by the status of its response."""
        outcome = used.REJECTED if status in (429, 503) else OUTCOME_BY_STATUS.get(status // 100, used.FAILED)
        self.count(guest.tenant, guest.volume.id, outcome, 1)

    def count_units(self, volume: str, units: float) -> None:
        """Count the units of work that backends did for a volume."""
        if tenant := self.accounts.owner(volume):
            self.count(tenant, volume, used.UNITS, units)

    def flush(self) -> None:
        """Store the counted usage; after an error of the ledger it is stored by the next flush."""
        amounts = self.usage.begin_flush()
        try:
            if amounts:
                self.ledger.add_usage(LOCAL_REPORTER, amounts)
            self.usage.commit_flush()
            if self.is_replica:
                self.reports.add(amounts)
        except LedgerError as error:
            self.usage.abort_flush()
            self.counters.add("usage_not_stored")
            if self.counters.counts["usage_not_stored"] == 1:
                self.log(f"cannot store usage, retrying: {error}")

    def replicate(self, receiver: AccountReceiver, chunk: AccountChunk) -> bool:
        """Store a chunk of the control service's accounts; returns False if it must be retried."""
        rows = receiver.receive(chunk)
        if rows is not None:
            try:
                self.ledger.replicate(chunk.epoch, rows[0], chunk.seq, rows[1], self.now_ms())
            except LedgerError as error:
                self.log(f"cannot store replicated accounts, retrying: {error}")
                return False
            receiver.commit(chunk)
        return True

    def next_usage_report(self, max_keys: int) -> tuple[int, Mapping[used.UsageKey, float]]:
        """Return the number of the next report to the control service, and its totals by usage key."""
        number, keys = self.reports.next_report(max_keys)
        return number, self.ledger.reporter_totals(LOCAL_REPORTER, keys)
