"""Accounts at a head: the ledger on its disk, its own or a copy of the control service's, and what hangs on them."""

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

FLUSH_INTERVAL_S = 1.0  # of usage; a killed head loses what came since
MAX_UPLOADS_CHECKED = 50  # uploads whose state is looked up when a tenant has its most
RETRY_INTERVAL_S = 1.0  # advice to who has as many connections or requests as it may
GUESSES_S, GUESSES_BURST = 50.0, 200.0  # wrong keys from one address; beyond, none from there is looked at


class DocumentTenantChecks(Protocol):
    """Tenants that the service document names, without an account."""

    def owner(self, volume: str) -> str:
        """Return the tenant of a volume, or nothing."""

    def admits(self, connection: object, volume: str) -> bool:
        """Return whether a request of a volume may come over a connection."""

    def dropped(self, holder: object) -> None:
        """Note the end of a connection."""


class Upload(msgspec.Struct, frozen=True):
    """An open upload, as the ledger keeps it."""

    bucket: str
    volume: str
    plan: str
    name: str


class HeadAccounts(Metering):
    """What both fronts ask about tenants. `copy`: the control service owns the accounts."""

    def __init__(
        self, path: Path, old: Path | None, is_replica: bool, counters: Counters, log: Callable[[str], None]
    ) -> None:
        self.started = False
        super().__init__(path, is_replica, counters, log, self._became)
        self.front: ObjectFront | None = None
        self.store: ObjectStore | None = None
        self.tenant_ended: Callable[[str], None] = lambda tenant: None  # told of one that is served no more
        self.connections = ConcurrencyQuota()
        self.requests = ConcurrencyQuota()
        self.guesses = CallerRateLimits(GUESSES_S, GUESSES_BURST)
        if old is not None and not is_replica and not self.ledger.seq and old.exists():
            self._take_over(old)
        self.started = True

    def _take_over(self, old: Path) -> None:
        rows = import_accounts(old, self.now_ms())
        entry = AuditEntry(self.now_ms(), "hophinge", "service", "take_over", str(old), {"rows": len(rows)})

        def decide() -> LedgerChange:
            return LedgerChange([] if self.ledger.seq else rows, entry)  # another process may have done it just now

        self.ledger.change(decide)
        self.log(f"{len(rows)} rows of {old} are taken over into {self.ledger.path}; the file is not read again")

    def _became(self, tenant: str, state: TenantState | None) -> None:
        """Answer what waits of a tenant that is served no more; its keys are valid no more already."""
        if self.started and state is not TenantState.ACTIVE:
            if self.front is not None:
                self.front.evict_tenant(tenant)
            self.tenant_ended(tenant)

    # --- the object front

    def admit(self, token: str, bucket: str, request: object, connection: object) -> AuthenticatedRequest:
        """Authenticate a request; returns its tenant and volume, raises ObjectError, also where a bound is reached."""
        self.ledger.refresh()
        peer, now_us = _peer(connection), steady_us()
        if wait_us := self.guesses.wait_us(peer, now_us):
            # Nobody looks at the key, so it is not called wrong; and asking again costs no further wait.
            raise ObjectError(503, "SlowDown", "Too many wrong keys came from this address.", wait_us / 1e6)
        key = self.accounts.authenticate(token, self.now_ms())
        if key is None:
            self.guesses.count(peer, now_us)
            raise ObjectError(403, "AccessDenied", "The key is not valid.")
        if key.role.value != "data":
            raise ObjectError(403, "AccessDenied", "The key is not one for objects.")
        quotas = self.accounts.tenants[key.tenant].quotas
        held = self.accounts.buckets.get(key.tenant, {}).get(bucket)
        if held is None:
            # The same for another tenant's bucket as for none at all.
            raise ObjectError(404, "NoSuchBucket", "The bucket does not exist.")
        if not self.connections.acquire(key.tenant, connection, quotas.connections) or not self.requests.acquire(
            key.tenant, request, quotas.requests
        ):
            self.count(key.tenant, held.id, used.REJECTED, 1)
            self.counters.add("tenants_bounded")
            raise ObjectError(
                503, "SlowDown", "The account has as many connections or requests as it may.", RETRY_INTERVAL_S
            )
        return AuthenticatedRequest(key.tenant, bucket, Volume(held.id, held.plan))

    def dropped(self, holder: object) -> None:
        """Note the end of a connection or request."""
        self.connections.release(holder)
        self.requests.release(holder)
        if self.document_tenants is not None:
            self.document_tenants.dropped(holder)

    async def reserve_upload(self, guest: AuthenticatedRequest, name: str) -> None:
        """Ask for room for one more upload; those that other heads ended are found out before it is refused."""
        held = self.accounts.tenants.get(guest.tenant)
        if held is None or not held.quotas.uploads:
            return
        if self.ledger.count_uploads(guest.tenant) >= held.quotas.uploads:
            await self._sweep(guest.tenant)
        if self.ledger.count_uploads(guest.tenant) >= held.quotas.uploads:
            raise ObjectError(409, "TooManyUploads", "The account has as many open uploads as it may; end one first.")

    async def _sweep(self, tenant: str) -> None:
        assert self.store is not None
        for upload, body in self.ledger.list_uploads(tenant, MAX_UPLOADS_CHECKED):
            one = msgspec.json.decode(body, type=Upload)
            if await self.store.is_closed(Volume(one.volume, one.plan), one.name, upload, self._budget()):
                self.ledger.remove_upload(upload)

    def record_upload(self, guest: AuthenticatedRequest, name: str, upload: str) -> None:
        """Note an open upload."""
        one = Upload(guest.bucket, guest.volume.id, guest.volume.plan, name)
        self.ledger.add_upload(upload, guest.tenant, msgspec.json.encode(one))

    def forget_upload(self, upload: str) -> None:
        """Note that an upload was completed or aborted."""
        try:
            self.ledger.remove_upload(upload)
        except LedgerError:  # busy or full: what its client asked for is done all the same
            self.log(f"the end of upload {upload} is noted later")  # a sweep finds it

    def _budget(self) -> TimeBudget:
        assert self.store is not None
        return TimeBudget(self.store.chunk_store.exchange.now_us(), None)

    async def abort(self, tenant: str) -> None:
        """Abort what uploads of a tenant are open here; one at a time, each noted before the next."""
        assert self.store is not None
        for upload, body in self.ledger.list_uploads(tenant, MAX_UPLOADS_CHECKED):
            one = msgspec.json.decode(body, type=Upload)
            with contextlib.suppress(ObjectError):  # it has ended already
                await self.store.abort(Volume(one.volume, one.plan), one.name, upload, self._budget())
            self.ledger.remove_upload(upload)

    # --- the platform's front

    document_tenants: DocumentTenantChecks | None = None  # tenants by the service document

    def admits(self, connection: object, volume: str) -> bool:
        """Return whether a request of a volume may come over a connection of the platform's front."""
        tenant = self.accounts.owner(volume.lower())
        if not tenant:
            return self.document_tenants is None or self.document_tenants.admits(connection, volume)
        held = self.accounts.tenants.get(tenant)
        if (
            held is None
            or held.state is not TenantState.ACTIVE
            or not self.connections.acquire(tenant, connection, held.quotas.connections)
        ):
            self.counters.add("tenants_bounded")
            return False
        return True

    def answered(self, ask: api.Arrival, status: int, bytes_in: int, bytes_out: int) -> None:
        """Count an answer of the platform's front."""
        volume = ask.volume.lower()
        tenant = self.accounts.owner(volume) or (
            self.document_tenants.owner(volume) if self.document_tenants is not None else ""
        )
        if not tenant:
            return
        end = used.REJECTED if status in (429, 503) else used.SERVED if status in (200, 404) else used.FAILED
        for field, amount in (
            (end, 1),
            (used.BYTES_IN, bytes_in),
            (used.BYTES_OUT, bytes_out),
            (used.UNITS, ask.units if end == used.SERVED else 0),
        ):
            if amount:
                self.count(tenant, volume, field, amount)

    # --- beside the serving

    async def run(self) -> None:
        """Flush usage and hear of other processes' changes until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
            self.ledger.refresh()

    async def end_uploads(self) -> None:
        """At a copy: abort uploads of tenants that are closing or gone, which nobody can go on with."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            for tenant in self.ledger.tenants_with_uploads():
                held = self.accounts.tenants.get(tenant)
                if held is None or held.state in (TenantState.CLOSING, TenantState.CLOSED):
                    try:
                        await self.abort(tenant)
                    except Exception as error:  # backends refuse or are away: the next turn tries again
                        self.log(f"uploads of {tenant} are not aborted yet: {error!r}")

    def tasks(self) -> list[asyncio.Task[None]]:
        """Start what runs beside."""
        made = [asyncio.create_task(self.run())]
        if self.is_replica:
            if self.store is not None:
                made.append(asyncio.create_task(self.end_uploads()))
        else:
            purger = Purger(self.ledger, self.accounts, self.now_ms, self.log, self.abort if self.store else None)
            made.append(asyncio.create_task(purger.run()))
        return made

    def close(self) -> None:
        """Store what was counted, and close."""
        self.flush()
        self.ledger.close()


def _peer(connection: object) -> str:
    transport = getattr(connection, "transport", None)
    name = transport.get_extra_info("peername") if transport is not None else None
    return str(name[0]) if isinstance(name, tuple) else ""
