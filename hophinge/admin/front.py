"""The administration API's listener, and the purge of tenants that are closing, beside it."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qsl

from aiohttp import web

from hophinge.admin.api import MAX_BODY, Api, Call, Reply, fault, too_large
from hophinge.core.counters import Counters
from hophinge.net.listener import Listener
from hophinge.state.ledger import Ledger, LedgerError
from hophinge.state.rows import AuditEntry, LedgerChange, Row
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.records import KEY_KIND, BUCKET_KIND, row_of
from hophinge.tenancy.lifecycle import (
    AbortUploads,
    PurgeComplete,
    RemoveBuckets,
    RevokeKeys,
    TenantState,
    TenantAction,
    next_purge_step,
)

CONNECTIONS, IDLE_S = 16, 30.0
MIN_TOKEN = 16  # characters; a shorter one is a mistake
PURGE_LOOK_S = 0.2  # between looks for tenants that are closing
PURGE_RETRY_INTERVAL_S = 2.0  # after a step that failed
SINGLE = ("authorization", "idempotency-key", "if-match")  # headers that may come once


def read_token(path: Path) -> str:
    """Read the API's token."""
    token = path.read_text().strip()
    if len(token) < MIN_TOKEN:
        raise ValueError(f"the token in {path.name} has under {MIN_TOKEN} characters")
    return token


class AdminFront(Listener):
    """One handler for every connection. A call's write to disk is short and rare, so it is done in place."""

    def __init__(self, api: Api, counters: Counters, log: Callable[[str], None]) -> None:
        super().__init__(counters, CONNECTIONS, IDLE_S, IDLE_S)
        self.api, self.log = api, log

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.counters.add("admin_requests")
        reply = await self._reply(request)
        if reply.status in (401, 429):
            self.counters.add("admin_denied")
        headers = {"Content-Type": "application/json", "Cache-Control": "no-store", **reply.headers}
        if not reply.body:
            del headers["Content-Type"]
        return web.Response(status=reply.status, body=reply.body or None, headers=headers)

    async def _reply(self, request: web.BaseRequest) -> Reply:
        path, _, query = request.raw_path.partition("?")
        if any(len(request.headers.getall(name, [])) > 1 for name in SINGLE):
            return Reply(
                400,
                b'{"type":"urn:hophinge:problem:status-400","title":"The call is malformed","status":400,'
                b'"detail":"a header came twice"}',
                {"Content-Type": "application/problem+json"},
            )
        try:
            if (request.content_length or 0) > MAX_BODY:
                return too_large()
            body = bytearray()
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > MAX_BODY:
                    return too_large()
            headers = {name.lower(): text for name, text in request.headers.items()}
            peer = request.transport.get_extra_info("peername") if request.transport is not None else None
            return self.api.answer(
                Call(
                    request.method,
                    path,
                    dict(parse_qsl(query)),
                    headers,
                    bytes(body),
                    str(peer[0]) if isinstance(peer, tuple) else "",
                )
            )
        except ConnectionError:
            raise
        except Exception:
            self.counters.add("admin_faults")
            self.log(traceback.format_exc())
            return fault()


class Purger:
    """Takes the steps of tenants that are closing, one after another; each is stored before the next.

    `abort` aborts what uploads of a tenant are open here, and tells whether none is left.
    """

    def __init__(
        self,
        ledger: Ledger,
        accounts: Accounts,
        now_ms: Callable[[], int],
        log: Callable[[str], None],
        abort: Callable[[str], Awaitable[None]] | None = None,
    ) -> None:
        self.ledger, self.accounts, self.now_ms, self.log, self.abort = ledger, accounts, now_ms, log, abort
        self.failing = ""

    async def run(self) -> None:
        """Go on until cancelled."""
        while True:
            wait = PURGE_LOOK_S
            for name in [one.name for one in self.accounts.tenants.values() if one.state is TenantState.CLOSING]:
                try:
                    while await self.step(name):
                        await asyncio.sleep(0)  # others have their turn between two steps
                    self.failing = ""
                except Exception as error:  # it is tried again: the name stays taken until it has worked
                    if str(error) != self.failing:
                        self.failing = str(error)
                        self.log(f"the purge of tenant {name} stands still: {error!r}")
                    wait = PURGE_RETRY_INTERVAL_S
            await asyncio.sleep(wait)

    async def step(self, name: str) -> bool:
        """Take one step; False: the tenant is closed, or it is no more to be purged."""
        self.ledger.refresh()
        held = self.accounts.tenants.get(name)
        if held is None or held.state is not TenantState.CLOSING:
            return False
        uploads = self.ledger.count_uploads(name) if self.abort is not None else 0
        match next_purge_step(
            list(self.accounts.key_ids.get(name, ())), uploads, list(self.accounts.buckets.get(name, {}))
        ):
            case RevokeKeys(keys=keys):
                self._change(name, "purge_keys", [Row(KEY_KIND, key, None) for key in keys])
            case AbortUploads():
                assert self.abort is not None
                await self.abort(name)
            case RemoveBuckets(buckets=buckets):
                self._change(name, "purge_volumes", [Row(BUCKET_KIND, f"{name}/{bucket}", None) for bucket in buckets])
            case PurgeComplete():
                self._change(name, "purged", [row_of(self.accounts.transition(name, TenantAction.PURGED))])
                self.log(f"tenant {name} is closed")
                return False
        return True

    def _change(self, name: str, what: str, rows: list[Row]) -> None:
        entry = AuditEntry(self.now_ms(), "hophinge", "service", what, name, {"rows": len(rows)})

        def decide() -> LedgerChange:
            held = self.accounts.tenants.get(name)
            if held is None or held.state is not TenantState.CLOSING:
                raise LedgerError(f"tenant {name} is not closing any more")  # another process has ended it
            return LedgerChange(rows, entry)

        self.ledger.change(decide)


def wall_ms() -> int:
    """Tell what the wall clock says."""
    return int(time.time() * 1000)


def steady_us() -> int:
    """Tell what the steady clock says."""
    return time.monotonic_ns() // 1000
