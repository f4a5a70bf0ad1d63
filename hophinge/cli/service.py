"""The control service as a process: its streams, and where it owns the accounts, the administration API beside them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from hophinge.admin import openapi
from hophinge.admin.api import AdminApi
from hophinge.admin.clock import steady_us, wall_ms
from hophinge.admin.listener import AdminListener, read_token
from hophinge.admin.purger import Purger
from hophinge.control.service import ControlService
from hophinge.control.store import ControlStore
from hophinge.core.counters import Counters
from hophinge.head.config import address
from hophinge.net.acceptor import Acceptor
from hophinge.state.ledger import Ledger
from hophinge.state.rows import Row
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.slewed_clock import SlewedClock

Log = Callable[[str], None]


@dataclass
class Owner:
    """The accounts of an installation: the ledger, the API, and the purge of what closes."""

    path: Path
    listen: str
    token_file: Path
    plans: frozenset[str]
    log: Log
    calls_s: float = 20.0
    accounts: Accounts = field(default_factory=Accounts)
    heard: Callable[[], None] = lambda: None

    def __post_init__(self) -> None:
        """Open the ledger; raises LedgerError, OSError and ValueError where that or the token cannot be used."""
        self.ledger = Ledger(self.path, self._take)
        self.time = SlewedClock(wall_ms(), steady_us(), self.ledger.last_change_ms())
        self.token = read_token(self.token_file)
        self.acceptor: Acceptor | None = None
        self.front: AdminListener | None = None
        self.purging: asyncio.Task[None] | None = None

    def _take(self, rows: Iterable[Row]) -> None:
        self.accounts.apply(rows)
        self.heard()

    def now_ms(self) -> int:
        """Tell the time that keys end by."""
        return self.time.now_ms(wall_ms(), steady_us())

    def start(self, service: ControlService) -> None:
        """Listen; heads hear of changes through the service."""
        self.heard = service.streams.on_accounts_changed
        api = AdminApi(
            self.ledger,
            self.accounts,
            lambda: self.plans,
            self.token,
            self.now_ms,
            steady_us,
            openapi.encoded_description,
            service.shares.reserves_shortfall,
            self.calls_s,
        )
        self.front = AdminListener(api, Counters(), self.log)
        self.acceptor = Acceptor(*address(self.listen), self.front)
        # Heads abort what uploads are open at them; here there is nothing to abort.
        self.purging = asyncio.create_task(Purger(self.ledger, self.accounts, self.now_ms, self.log).run())

    async def stop(self) -> None:
        """End."""
        if self.purging is not None:
            self.purging.cancel()
            await asyncio.gather(self.purging, return_exceptions=True)
        if self.acceptor is not None:
            self.acceptor.close()
        if self.front is not None:
            self.front.close_idle()
            await self.front.server.shutdown(0.5)
        self.ledger.close()


async def serve(
    store: ControlStore,
    heads: dict[str, str],
    staff: dict[str, str],
    where: str,
    log: Log,
    stopping: asyncio.Event,
    owner: Owner | None = None,
) -> None:
    """Serve until told to stop."""
    service = ControlService(
        store, frozenset(heads), staff, log, owner.ledger if owner else None, owner.accounts if owner else None
    )
    try:
        await service.start(where)
        if owner is not None:
            owner.start(service)
            log(f"the administration API listens on {owner.listen}")
        log(f"the control service listens on {where} (port {service.port}); epoch {store.epoch}")
        await stopping.wait()
    finally:
        with contextlib.suppress(asyncio.CancelledError):
            if owner is not None:
                await owner.stop()
            await service.stop()
