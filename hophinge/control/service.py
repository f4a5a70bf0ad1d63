"""The control service: versions and their rollout, carried out over heads' streams as staff want it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence

import grpc
import grpc.aio

from hophinge.control import wire
from hophinge.control.permits import Upkeep, body_of
from hophinge.control.publisher import Parts, name_of
from hophinge.control.rollout import Decision, Rollout
from hophinge.control.shares import Shares
from hophinge.control.staff import NO_BYTES, Staff
from hophinge.control.store import Store
from hophinge.control.streams import MAX_STREAMS, Stream as Stream, Streams
from hophinge.control.tokens import read_tokens as read_tokens
from hophinge.control.wire import Order
from hophinge.routing import records
from hophinge.state.ledger import Ledger
from hophinge.tenancy.accounts import Accounts

LOOK_S = 0.05  # between looks at the rollout; a wave's end is seen within this time
RETRY_INTERVAL_S = 0.5  # after the store failed
OPTIONS = (
    ("grpc.max_receive_message_length", wire.MAX_MESSAGE),
    ("grpc.max_send_message_length", wire.MAX_MESSAGE),
    ("grpc.so_reuseport", 0),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
)
Log = Callable[[str], None]


class ControlService:
    """Streams versions to heads and answers staff."""

    def __init__(
        self,
        store: Store,
        head_tokens: frozenset[str],
        staff: dict[str, str],
        log: Log,
        ledger: Ledger | None = None,
        accounts: Accounts | None = None,
    ) -> None:
        self.ledger, self.accounts = ledger, accounts  # that heads copy, if they are kept here
        self.store, self.head_tokens, self.staff, self.log = store, head_tokens, staff, log
        self.parts = Parts()
        self.streams: dict[str, Stream] = {}
        self.zero_ms = int(time.time() * 1000)
        course = store.course()
        known = [(name, (seen - self.zero_ms) * 1000) for name, seen in store.heads()]
        self.rollout = Rollout(course, store.rule(course.target), known)
        self.owed = Decision()
        self.shares = Shares(
            store,
            accounts,
            lambda: store.snapshots.get(self.rollout.course.target),
            self.streams.keys,
            self.now_us,
            log,
        )
        self.allotment, self.promised = self.shares.allotment, self.shares.promised
        self.heads, self.calls, self.upkeep = Streams(self), Staff(self), Upkeep(self)
        self.push, self.roll_back, self.resume = self.calls.push, self.calls.roll_back, self.calls.resume
        self.status, self.history = self.calls.status, self.calls.history
        self.server: grpc.aio.Server | None = None
        self.port = 0
        self.ticking: asyncio.Task[None] | None = None

    def now_us(self) -> int:
        """Tell the time since some moment; no step of the clock moves it."""
        return time.monotonic_ns() // 1000

    def now_ms(self) -> int:
        """Tell the time since 1970."""
        return int(time.time() * 1000)

    async def start(self, address: str) -> None:
        """Listen."""
        self.server = grpc.aio.server(options=OPTIONS, maximum_concurrent_rpcs=MAX_STREAMS + 64)
        stream = grpc.stream_stream_rpc_method_handler(self.heads.stream)
        calls = {
            name: grpc.unary_unary_rpc_method_handler(self.calls.answered(call))
            for name, call in (
                ("Push", self.push),
                ("Status", self.status),
                ("History", self.history),
                ("Rollback", self.roll_back),
                ("Resume", self.resume),
            )
        }
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(wire.SERVICE, {wire.METHOD: stream}),
                grpc.method_handlers_generic_handler(wire.ADMIN, calls),
            )
        )
        try:
            self.port = self.server.add_insecure_port(address)
        except RuntimeError as error:
            raise OSError(f"cannot listen on {address}: {error}") from error
        await self.server.start()
        self.ticking = asyncio.create_task(self._tick())

    async def stop(self) -> None:
        """End all streams and close."""
        if self.ticking is not None:
            self.ticking.cancel()
            await asyncio.gather(self.ticking, return_exceptions=True)
        for stream in self.streams.values():
            stream.queue.put_nowait(None)
        if self.server is not None:
            await self.server.stop(0.5)
        self.store.close()

    # --- the rollout

    async def _tick(self) -> None:
        while True:
            self._decided(self.rollout.tick(self.now_us()))
            self.upkeep.tick()
            await asyncio.sleep(RETRY_INTERVAL_S if self.owed != Decision() else LOOK_S)

    def _decided(self, decision: Decision) -> None:
        """Store a decision, then let heads hear of it; one that could not be stored is owed until it is."""
        self.owed = Decision(decision.changed or self.owed.changed, decision.roll_back or self.owed.roll_back)
        try:
            self._carry_out()
        except Exception as error:  # a full disk must not end the rollout for good, nor what led to this
            self.log(f"the rollout stands still: {error}")

    def _carry_out(self) -> None:
        if self.owed.roll_back:
            self._undo(self.owed.roll_back)
        elif self.owed.changed:
            course = self.rollout.course
            what = {"held": "hold", "done": "done"}.get(course.stage.value, "wave")
            news = course.reason or f"wave {course.wave}, {len(course.reached)} heads"
            detail = f"version {name_of(course.target)}: {news}"
            self.store.set_course(course, "control service", what, detail, self.now_ms())
            if course.reason:
                self.log(f"version {name_of(course.target)} is held: {course.reason}")
            self.owed = Decision()
            self._aim()

    def _undo(self, reason: str) -> None:
        course = self.rollout.course
        bad = course.target
        self.log(f"version {name_of(bad)} is rolled back: {reason}")
        rule = records.Rollout(patience_us=self.rollout.rule.patience_us)  # to all at once, as all but a few run it
        self._push(
            self.store.content(course.stable),
            rule,
            "control service",
            f"rollback of {name_of(bad)} to {name_of(course.stable)}: {reason}",
            NO_BYTES,
            undoes=True,
        )

    def _push(
        self,
        bodies: dict[str, bytes],
        rule: records.Rollout,
        who: str,
        note: str,
        source: bytes,
        undoes: bool = False,
        upkeep: Sequence[records.Record] | None = None,
    ) -> Order:
        snapshot = self.store.push(
            bodies,
            rule,
            who,
            note,
            source,
            self.now_ms(),
            lambda order: self.rollout.planned(order, undoes),
            None if upkeep is None else body_of(upkeep),
        )
        self.rollout.push(self.rollout.planned(snapshot.order, undoes), rule, self.now_us())
        self.owed = Decision()  # of the course before
        self.upkeep.pushed(upkeep)
        self.log(f"version {name_of(snapshot.order)} is stored: {note or who}")
        course = self.rollout.course
        self.store.forget(
            {
                course.stable,
                course.target,
                *(stream.publisher.base.order for stream in self.streams.values() if stream.publisher.base),
            }
        )
        self._decided(self.rollout.tick(self.now_us()))
        self._aim()  # who has reached an unfinished version goes on to this one, and no wave tells so
        return snapshot.order

    def _aim(self) -> None:
        for name, stream in self.streams.items():
            stream.send(stream.publisher.aim(self.store.snapshots.get(self.rollout.aim(name))))

    def accounts_changed(self) -> None:
        """Have heads hear of changes to accounts."""
        for stream in self.streams.values():
            self.heads.feed(stream)
