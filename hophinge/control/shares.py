"""What reserves are promised, how many heads there are to keep them, and the shares of them that heads lease."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Collection, Iterable, Mapping

import msgspec

from hophinge.control import wire
from hophinge.control.publisher import Snapshot
from hophinge.control.store import Store, StoreError
from hophinge.control.wire import Kind, Order, Response
from hophinge.routing import records
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.share_allocator import ShareAllocator, LeaseRequest
from hophinge.tenancy.lifecycle import TenantState
from hophinge.tenancy.share_planner import find_shortfall

SIZE_S = 3.0  # a push that needs to know how many heads there are waits so long for one to tell


class Shares:
    """One control service's; `target` tells the version that is rolled out, `here` the heads that are connected."""

    def __init__(
        self,
        store: Store,
        accounts: Accounts | None,
        target: Callable[[], Snapshot | None],
        here: Callable[[], Collection[str]],
        now_us: Callable[[], int],
        log: Callable[[str], None],
    ) -> None:
        self.store, self.accounts, self.target, self.here = store, accounts, target, here
        self.now_us, self.log = now_us, log
        self.allotment = ShareAllocator(store.serials, log)
        self.size = store.size()
        self.told = asyncio.Event()  # set once `size` is known
        if self.size:
            self.told.set()
        self.reserves: tuple[Order, dict[str, float], float] = ((0, 0), {}, 0.0)

    def promised(self, reserves: Mapping[str, float]) -> str:
        """Tell why tenants' reserves cannot be kept beside those of the newest version, or nothing."""
        snapshot = self.store.newest
        stated, capacity = reserves_of(row[2] for row in snapshot.rows.values()) if snapshot else ({}, 0.0)
        if not capacity or not self.size:
            return ""
        misfit = find_shortfall({**reserves, **stated}, dict.fromkeys(map(str, range(self.size)), capacity))
        return f"with {self.size} heads {misfit}" if misfit is not None else ""

    def reserved(self) -> dict[str, float]:
        """Tell the reserves of tenants that have an account."""
        found = self.accounts.tenants.values() if self.accounts is not None else ()
        return {
            one.name: one.shares.reserve
            for one in found
            if one.shares.reserve and one.state in (TenantState.ACTIVE, TenantState.SUSPENDED)
        }

    def leased(self, head: str, figures: Mapping[str, float]) -> list[bytes]:
        """Answer a head that asks for its shares."""
        snapshot = self.target()
        if snapshot is None:
            return []
        if self.reserves[0] != snapshot.order:
            self.reserves = snapshot.order, *reserves_of(row[2] for row in snapshot.rows.values())
        heads, process, asked, held = (int(figures.get(name, 0)) for name in ("heads", "process", "asked", "held"))
        span_s = max(0.1, figures.get("span_s", 1.0))
        demand = {
            name.removeprefix(wire.DEMAND): units / span_s
            for name, units in figures.items()
            if name.startswith(wire.DEMAND)
        }
        lease = self.allotment.answer(
            self.now_us(),
            LeaseRequest(head, heads, process, asked, held, demand),
            {**self.reserved(), **self.reserves[1]},
            self.reserves[2],
            self.here(),
        )
        if lease is None:
            return []
        body = wire.record_body(msgspec.json.encode(lease))
        name = f"lease/{lease.serial}"
        return [wire.encode_response(Response(Kind.LEASE, name, (wire.Resource(wire.LEASE_NAME, name, body),)))]

    def sized(self, head: str, heads: int) -> None:
        """Take how many heads one of them counts: what can be promised is what the installation does, not who is here.

        Heads in the middle of a change tell different numbers; the newest told is taken, as that is where it goes.
        """
        if heads < 1 or heads == self.size:
            return
        if self.size:
            self.log(f"{head} counts {heads} heads, before there were {self.size}")
        self.store.set_size(heads)
        self.size = heads
        self.told.set()
        snapshot = self.target()
        promised, capacity = reserves_of(row[2] for row in snapshot.rows.values()) if snapshot else ({}, 0.0)
        if (
            capacity
            and (misfit := find_shortfall(promised, dict.fromkeys(map(str, range(heads)), capacity))) is not None
        ):
            self.log(f"the version in force promises too much: with {heads} heads {misfit}")

    async def check(self, promised: Mapping[str, float], capacity: float) -> None:
        """Refuse what cannot be kept, with the proof; what one head keeps needs no count of them."""
        if not capacity or find_shortfall(promised, {"one": capacity}) is None:
            return
        if not self.size:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SIZE_S):
                    await self.told.wait()
        if not self.size:
            raise StoreError(
                "no head has told yet how many there are, and one alone cannot keep these reserves: "
                "connect a head, then push again"
            )
        if (misfit := find_shortfall(promised, dict.fromkeys(map(str, range(self.size)), capacity))) is not None:
            raise StoreError(f"with {self.size} heads {misfit}")


def reserves_of(bodies: Iterable[bytes]) -> tuple[dict[str, float], float]:
    """Tell the tenants' reserves in units a second, and what one head does; 0: not known."""
    reserves, capacity = dict[str, float](), 0.0
    for body in bodies:
        if body.startswith((b'{"type":"tenant"', b'{"type":"spare"')):
            record = records.decode(body)
            if isinstance(record, records.Tenant) and record.reserve > 0:
                reserves[record.name] = record.reserve
            elif isinstance(record, records.Spare):
                capacity = record.capacity
    return reserves, capacity
