"""Purge of tenants that are closing: keys, uploads and buckets are removed in steps, each stored before the next."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from hophinge.state.ledger import Ledger, LedgerError
from hophinge.state.rows import AuditEntry, LedgerChange, Row
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.lifecycle import (
    AbortUploads,
    PurgeComplete,
    RemoveBuckets,
    RevokeKeys,
    TenantAction,
    TenantState,
    next_purge_step,
)
from hophinge.tenancy.records import BUCKET_KIND, KEY_KIND, Account, row_of

PURGE_INTERVAL_S = 0.2  # between looks for tenants that are closing
PURGE_RETRY_INTERVAL_S = 2.0  # after a step that failed


class Purger:
    """Purges the closing tenants of one ledger.

    Args:
        ledger: Stores each step.
        accounts: The same accounts in memory.
        now_ms: Milliseconds since 1970, for the audit.
        log: Takes lines for operators.
        abort_uploads: Aborts a tenant's open uploads at this process; None: it has none.

    """

    def __init__(
        self,
        ledger: Ledger,
        accounts: Accounts,
        now_ms: Callable[[], int],
        log: Callable[[str], None],
        abort_uploads: Callable[[str], Awaitable[None]] | None = None,
    ) -> None:
        self.ledger = ledger
        self.accounts = accounts
        self.now_ms = now_ms
        self.log = log
        self.abort_uploads = abort_uploads
        self.failure = ""  # of the last step; empty: it succeeded

    async def run(self) -> None:
        """Purge closing tenants until cancelled."""
        while True:
            closing = [tenant.name for tenant in self.accounts.tenants.values() if tenant.state is TenantState.CLOSING]
            has_failed = False
            for name in closing:
                has_failed |= not await self._purge(name)
            await asyncio.sleep(PURGE_RETRY_INTERVAL_S if has_failed else PURGE_INTERVAL_S)

    async def _purge(self, name: str) -> bool:
        """Take all steps of one tenant; returns False if one failed, which is logged once in a row."""
        try:
            while await self.step(name):
                await asyncio.sleep(0)  # other tasks run between two steps
        except Exception as error:  # it is retried: the name stays taken until the purge is complete
            if str(error) != self.failure:
                self.failure = str(error)
                self.log(f"the purge of tenant {name} is stalled: {error!r}")
            return False
        self.failure = ""
        return True

    async def step(self, name: str) -> bool:
        """Take one step; returns False if the tenant is closed, or is not closing any more."""
        self.ledger.refresh()
        if self._closing_tenant(name) is None:
            return False
        uploads = self.ledger.count_uploads(name) if self.abort_uploads is not None else 0
        key_ids = list(self.accounts.key_ids.get(name, ()))
        bucket_names = list(self.accounts.buckets.get(name, {}))
        match next_purge_step(key_ids, uploads, bucket_names):
            case RevokeKeys(keys=keys):
                self._change(name, "purge_keys", [Row(KEY_KIND, key, None) for key in keys])
            case AbortUploads():
                assert self.abort_uploads is not None
                await self.abort_uploads(name)
            case RemoveBuckets(buckets=buckets):
                self._change(name, "purge_volumes", [Row(BUCKET_KIND, f"{name}/{bucket}", None) for bucket in buckets])
            case PurgeComplete():
                self._change(name, "purged", [row_of(self.accounts.transition(name, TenantAction.PURGED))])
                self.log(f"tenant {name} is closed")
                return False
        return True

    def _closing_tenant(self, name: str) -> Account | None:
        tenant = self.accounts.tenants.get(name)
        return tenant if tenant is not None and tenant.state is TenantState.CLOSING else None

    def _change(self, name: str, action: str, rows: list[Row]) -> None:
        entry = AuditEntry(self.now_ms(), "hophinge", "service", action, name, {"rows": len(rows)})

        def decide() -> LedgerChange:
            if self._closing_tenant(name) is None:
                raise LedgerError(f"tenant {name} is not closing any more")  # another process has completed it
            return LedgerChange(rows, entry)

        self.ledger.change(decide)
