"""A head's tenant accounts: authentication, quotas, usage counts and open uploads, kept in a ledger on its disk.

The ledger is either the head's own or a replica of the control service's accounts.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import msgspec

from hophinge.admin.clock import steady_us
from hophinge.admin.purger import Purger
from hophinge.core import interface as api
from hophinge.core.counters import Counters
from hophinge.head.metering import Metering
from hophinge.objects.front import ObjectFront
from hophinge.objects.core_client import TimeBudget
from hophinge.objects.object_store import ObjectError, ObjectStore
from hophinge.objects.account_access import AuthenticatedRequest, Volume, import_accounts
from hophinge.state.ledger import LedgerError
from hophinge.state.rows import AuditEntry, LedgerChange
from hophinge.tenancy import usage as used
from hophinge.tenancy.caller_rate_limits import CallerRateLimits
from hophinge.tenancy.concurrency_quota import ConcurrencyQuota
from hophinge.tenancy.lifecycle import TenantState

FLUSH_INTERVAL_S = 1.0  # between flushes of usage; a head that is killed loses the usage counted since the last one
MAX_UPLOADS_CHECKED = 50  # open uploads of one tenant that are checked or aborted in one pass
RETRY_INTERVAL_S = 1.0  # suggested to clients of a tenant that is at its limit of connections or requests
INVALID_KEYS_S, INVALID_KEYS_BURST = 50.0, 200.0  # from one address; beyond, its requests fail without a key check


class DocumentTenantChecks(Protocol):
    """The tenants that the service document names and that have no account."""

    def owner(self, volume: str) -> str:
        """Return the tenant of a volume; empty if there is none."""

    def admits(self, connection: object, volume: str) -> bool:
        """Return whether a request for a volume is allowed on a connection."""

    def dropped(self, holder: object) -> None:
        """Record that a connection has closed."""


class Upload(msgspec.Struct, frozen=True):
    """An open upload, as the ledger stores it."""

    bucket: str
    volume: str
    plan: str
    name: str


class HeadAccounts(Metering):
    """The accounts as both frontends use them. With `is_replica`, the control service owns the accounts."""

    def __init__(
        self, path: Path, old: Path | None, is_replica: bool, counters: Counters, log: Callable[[str], None]
    ) -> None:
        self.started = False
        super().__init__(path, is_replica, counters, log, self._on_state_change)
        self.front: ObjectFront | None = None
        self.store: ObjectStore | None = None
        self.tenant_ended: Callable[[str], None] = lambda tenant: None  # called when a tenant stops being active
        self.connections = ConcurrencyQuota()
        self.requests = ConcurrencyQuota()
        self.guesses = CallerRateLimits(INVALID_KEYS_S, INVALID_KEYS_BURST)
        if old is not None and not is_replica and not self.ledger.seq and old.exists():
            self._import_file(old)
        self.started = True

    def _import_file(self, old: Path) -> None:
        rows = import_accounts(old, self.now_ms())
        entry = AuditEntry(self.now_ms(), "hophinge", "service", "take_over", str(old), {"rows": len(rows)})

        def decide() -> LedgerChange:
            # Another process may have imported it meanwhile.
            return LedgerChange([] if self.ledger.seq else rows, entry)

        self.ledger.change(decide)
        self.log(f"imported {len(rows)} rows from {old} into {self.ledger.path}; the file is not read again")

    def _on_state_change(self, tenant: str, state: TenantState | None) -> None:
        """Reject the queued requests of a tenant that is not active any more; its keys are invalid already."""
        if self.started and state is not TenantState.ACTIVE:
            if self.front is not None:
                self.front.evict_tenant(tenant)
            self.tenant_ended(tenant)

    # --- the object front

    def admit(self, token: str, bucket: str, request: object, connection: object) -> AuthenticatedRequest:
        """Authenticate a request and return its tenant and volume; raises ObjectError, also at a tenant's limit."""
        self.ledger.refresh()
        peer, now_us = _peer(connection), steady_us()
        if wait_us := self.guesses.wait_us(peer, now_us):
            # The key is not checked, so the error does not call it invalid. A request rejected here is not counted,
            # so repeating it does not prolong the wait.
            raise ObjectError(
                503, "SlowDown", "Too many requests with invalid keys came from this address.", wait_us / 1e6
            )
        key = self.accounts.authenticate(token, self.now_ms())
        if key is None:
            self.guesses.count(peer, now_us)
            raise ObjectError(403, "AccessDenied", "The key is not valid.")
        if key.role.value != "data":
            raise ObjectError(403, "AccessDenied", "The key does not allow access to objects.")
        quotas = self.accounts.tenants[key.tenant].quotas
        bucket_row = self.accounts.buckets.get(key.tenant, {}).get(bucket)
        if bucket_row is None:
            # The same error for another tenant's bucket, so that it does not disclose which buckets exist.
            raise ObjectError(404, "NoSuchBucket", "The bucket does not exist.")
        if not self.connections.acquire(key.tenant, connection, quotas.connections) or not self.requests.acquire(
            key.tenant, request, quotas.requests
        ):
            self.count(key.tenant, bucket_row.id, used.REJECTED, 1)
            self.counters.add("tenants_bounded")
            raise ObjectError(
                503, "SlowDown", "The account is at its limit of connections or requests.", RETRY_INTERVAL_S
            )
        return AuthenticatedRequest(key.tenant, bucket, Volume(bucket_row.id, bucket_row.plan))

    def dropped(self, holder: object) -> None:
        """Record that a connection has closed or a request has ended."""
        self.connections.release(holder)
        self.requests.release(holder)
        if self.document_tenants is not None:
            self.document_tenants.dropped(holder)

    async def reserve_upload(self, guest: AuthenticatedRequest, name: str) -> None:
        """Check the quota for one more upload; raises ObjectError if it is used up.

        At the quota, uploads that were ended at other heads are removed from the count first.
        """
        account = self.accounts.tenants.get(guest.tenant)
        if account is None or not account.quotas.uploads:
            return
        if self.ledger.count_uploads(guest.tenant) >= account.quotas.uploads:
            await self._remove_closed_uploads(guest.tenant)
        if self.ledger.count_uploads(guest.tenant) >= account.quotas.uploads:
            raise ObjectError(
                409,
                "TooManyUploads",
                "The account is at its limit of open uploads; complete or abort one of them first.",
            )

    async def _remove_closed_uploads(self, tenant: str) -> None:
        assert self.store is not None
        for upload, body in self.ledger.list_uploads(tenant, MAX_UPLOADS_CHECKED):
            record = msgspec.json.decode(body, type=Upload)
            if await self.store.is_closed(Volume(record.volume, record.plan), record.name, upload, self._budget()):
                self.ledger.remove_upload(upload)

    def record_upload(self, guest: AuthenticatedRequest, name: str, upload: str) -> None:
        """Record an open upload."""
        record = Upload(guest.bucket, guest.volume.id, guest.volume.plan, name)
        self.ledger.add_upload(upload, guest.tenant, msgspec.json.encode(record))

    def forget_upload(self, upload: str) -> None:
        """Record that an upload was completed or aborted; logs if the ledger cannot be written."""
        try:
            self.ledger.remove_upload(upload)
        except LedgerError:  # busy or full; the client's request has succeeded all the same
            # The check at the tenant's quota finds and removes it.
            self.log(f"the ledger cannot record the end of upload {upload} now; its entry is removed later")

    def _budget(self) -> TimeBudget:
        assert self.store is not None
        return TimeBudget(self.store.chunk_store.exchange.now_us(), None)

    async def abort(self, tenant: str) -> None:
        """Abort a tenant's uploads that this ledger lists, one at a time; each is removed from it before the next."""
        assert self.store is not None
        for upload, body in self.ledger.list_uploads(tenant, MAX_UPLOADS_CHECKED):
            record = msgspec.json.decode(body, type=Upload)
            with contextlib.suppress(ObjectError):  # it has ended already
                await self.store.abort(Volume(record.volume, record.plan), record.name, upload, self._budget())
            self.ledger.remove_upload(upload)

    # --- the platform's frontend

    document_tenants: DocumentTenantChecks | None = None  # tenants of the service document

    def admits(self, connection: object, volume: str) -> bool:
        """Return whether a request for a volume is allowed on a connection of the platform's frontend."""
        tenant = self.accounts.owner(volume.lower())
        if not tenant:
            return self.document_tenants is None or self.document_tenants.admits(connection, volume)
        account = self.accounts.tenants.get(tenant)
        if (
            account is None
            or account.state is not TenantState.ACTIVE
            or not self.connections.acquire(tenant, connection, account.quotas.connections)
        ):
            self.counters.add("tenants_bounded")
            return False
        return True

    def answered(self, arrival: api.Arrival, status: int, bytes_in: int, bytes_out: int) -> None:
        """Count a response of the platform's frontend as its tenant's usage."""
        volume = arrival.volume.lower()
        tenant = self.accounts.owner(volume) or (
            self.document_tenants.owner(volume) if self.document_tenants is not None else ""
        )
        if not tenant:
            return
        outcome = used.REJECTED if status in (429, 503) else used.SERVED if status in (200, 404) else used.FAILED
        for field, amount in (
            (outcome, 1),
            (used.BYTES_IN, bytes_in),
            (used.BYTES_OUT, bytes_out),
            (used.UNITS, arrival.units if outcome == used.SERVED else 0),
        ):
            if amount:
                self.count(tenant, volume, field, amount)

    # --- background tasks

    async def run(self) -> None:
        """Flush usage and read other processes' changes to the ledger, until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
            self.ledger.refresh()

    async def end_uploads(self) -> None:
        """At a replica: abort the uploads of tenants that are closing, closed or unknown; nobody can complete these."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            for tenant in self.ledger.tenants_with_uploads():
                account = self.accounts.tenants.get(tenant)
                if account is None or account.state in (TenantState.CLOSING, TenantState.CLOSED):
                    try:
                        await self.abort(tenant)
                    except Exception as error:  # backends reject the call or are unreachable: retried in the next round
                        self.log(f"cannot abort the uploads of {tenant}, retrying: {error!r}")

    def tasks(self) -> list[asyncio.Task[None]]:
        """Start the background tasks and return them."""
        tasks = [asyncio.create_task(self.run())]
        if self.is_replica:
            if self.store is not None:
                tasks.append(asyncio.create_task(self.end_uploads()))
        else:
            purger = Purger(self.ledger, self.accounts, self.now_ms, self.log, self.abort if self.store else None)
            tasks.append(asyncio.create_task(purger.run()))
        return tasks

    def close(self) -> None:
        """Flush the counted usage and close the ledger."""
        self.flush()
        self.ledger.close()


def _peer(connection: object) -> str:
    transport = getattr(connection, "transport", None)
    name = transport.get_extra_info("peername") if transport is not None else None
    return str(name[0]) if isinstance(name, tuple) else ""
