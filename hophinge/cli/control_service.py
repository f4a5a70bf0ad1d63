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
class AccountsService:
    """The accounts of an installation: the ledger, the administration API, and the purge of closing tenants."""

    path: Path
    listen: str
    token_file: Path
    plans: frozenset[str]
    log: Log
    calls_s: float = 20.0
    accounts: Accounts = field(default_factory=Accounts)
    on_rows_changed: Callable[[], None] = lambda: None

    def __post_init__(self) -> None:
        """Open the ledger; raises LedgerError, OSError or ValueError where it or the token cannot be used."""
        self.ledger = Ledger(self.path, self._apply)
        self.clock = SlewedClock(wall_ms(), steady_us(), self.ledger.last_change_ms())
        self.token = read_token(self.token_file)
        self.acceptor: Acceptor | None = None
        self.front: AdminListener | None = None
        self.purge_task: asyncio.Task[None] | None = None

    def _apply(self, rows: Iterable[Row]) -> None:
        self.accounts.apply(rows)
        self.on_rows_changed()

    def now_ms(self) -> int:
        """Return the time by which keys expire, in milliseconds since 1970."""
        return self.clock.now_ms(wall_ms(), steady_us())

    def start(self, service: ControlService) -> None:
        """Listen; heads are notified of changes through the control service."""
        self.on_rows_changed = service.streams.on_accounts_changed
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
        # Heads abort the uploads that are open at them; here there is nothing to abort.
        self.purge_task = asyncio.create_task(Purger(self.ledger, self.accounts, self.now_ms, self.log).run())

    async def stop(self) -> None:
        """Stop listening, and close the ledger."""
        if self.purge_task is not None:
            self.purge_task.cancel()
            await asyncio.gather(self.purge_task, return_exceptions=True)
        if self.acceptor is not None:
            self.acceptor.close()
        if self.front is not None:
            self.front.close_idle()
            await self.front.server.shutdown(0.5)
        self.ledger.close()


async def serve_control(
    store: ControlStore,
    heads: dict[str, str],
    staff: dict[str, str],
    listen_address: str,
    log: Log,
    stopping: asyncio.Event,
    accounts_service: AccountsService | None = None,
) -> None:
    """Serve until `stopping` is set."""
    service = ControlService(
        store,
        frozenset(heads),
        staff,
        log,
        accounts_service.ledger if accounts_service else None,
        accounts_service.accounts if accounts_service else None,
    )
    try:
        await service.start(listen_address)
        if accounts_service is not None:
            accounts_service.start(service)
            log(f"the administration API listens on {accounts_service.listen}")
        log(f"the control service listens on {listen_address} (port {service.port}); epoch {store.epoch}")
        await stopping.wait()
    finally:
        with contextlib.suppress(asyncio.CancelledError):
            if accounts_service is not None:
                await accounts_service.stop()
            await service.stop()
