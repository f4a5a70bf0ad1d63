"""Runs a replica's state machine on a disk: what it returns is let out in order, after its records are synced."""

from __future__ import annotations

import asyncio
import itertools
import queue
import secrets
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from hophinge.coordination.messages import LogRecord, StateRecord
from hophinge.coordination.events import (
    ClientResponse,
    DiskStatus,
    Input,
    Outputs,
    CommittedValue,
    MessageReceived,
    ClientRequest,
    Tick,
)
from hophinge.coordination.registers import Change
from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.coordination.replica_state import ReplicaConfig
from hophinge.coordination.storage.store import Damage, DurableStore
from hophinge.coordination.storage.volume import FileVolume
from hophinge.coordination.view import Replica
from hophinge.fleet.settings import Settings

REPLICA_TICK_S = 0.05  # between ticks of the state machine
DISK_RETRY_INTERVAL_S = 0.25  # between attempts on a disk that takes no writes
SCRUB_S = 60.0  # between readings of all that counts on the disk
SLOW_S = 0.4  # a write that takes longer: the disk is told of as one that takes no writes

Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Effects:
    """Where a replica's outputs go."""

    send: Callable[[str, object], None]
    publish: Callable[[list[CommittedValue]], None]
    note: Callable[[str], None]


@dataclass(slots=True)
class Batch:
    """Records to write, and what may be let out then; a whole state where the disk has to be caught up."""

    records: list[LogRecord]
    state: StateRecord | None
    outputs: list[Outputs]
    scrub: bool = False  # nothing to write: what is there is read back
    damages: list[Damage] = field(default_factory=list)


class DiskWriter(threading.Thread):
    """The one thread that writes: a disk that hangs stops nothing else."""

    def __init__(self, store: DurableStore, done: Callable[[Batch, Exception | None], None]) -> None:
        super().__init__(daemon=True, name="disk")
        self.store, self.done = store, done
        self.batches: queue.SimpleQueue[Batch] = queue.SimpleQueue()

    def run(self) -> None:
        """Write batches in their order. Whatever a write fails for is told: a thread that ends would write no more."""
        while True:
            batch = self.batches.get()
            error: Exception | None = None
            try:
                if batch.scrub:
                    batch.damages = self.store.scrub()
                elif batch.state is not None:
                    self.store.save(batch.state)
                else:
                    self.store.append(batch.records)
            except Exception as failure:
                error = failure
            self.done(batch, error)


class ReplicaHost:
    """One replica: its state machine, its disk, and the callers who wait for it."""

    def __init__(self, settings: Settings, effects: Effects) -> None:
        self.loop = asyncio.get_running_loop()
        self.effects = effects
        self.store = DurableStore(FileVolume(settings.data_dir)) if settings.votes and settings.data_dir else None
        recovered = self.store.recover() if self.store is not None else None
        if recovered is not None and recovered.is_damaged:
            effects.note("the newer state on the disk cannot be read: it counts as a new disk")
        identity = recovered.state.identity if recovered and recovered.state else secrets.token_hex(8)
        self.me = Replica(identity, settings.control_internal, settings.zone)
        membership = ReplicaConfig(
            self.me, settings.seed_members(), settings.bootstrap, settings.votes, settings.losses
        )
        self.machine = ReplicaStateMachine(membership, Random(), self.loop.time())
        if recovered is not None and recovered.state is not None:
            self.machine.restore([recovered.state, *recovered.records])
        elif self.store is not None:
            self.store.save(
                self.machine.durable_state()
            )  # with view 0, where this is a seed: promises bind it for ever
        self.waiting: list[Outputs] = []  # outputs that came while a batch is being written
        self.writing_since: float | None = None
        self.failed_at: float | None = None
        self.callers: dict[int, asyncio.Future[ClientResponse]] = {}
        self.requests = itertools.count(secrets.randbits(40))
        self.scrubbed = self.loop.time()
        self.writer: DiskWriter | None = None
        if self.store is not None:
            self.writer = DiskWriter(self.store, self._written_elsewhere)
            self.writer.start()

    # --- inputs --------------------------------------------------------------------------------------------------

    def received(self, source: Replica, message: object) -> None:
        """Take a message of another member."""
        self.handle(MessageReceived(source, message))

    def tick(self) -> None:
        """Let time pass, and watch the disk."""
        now = self.loop.time()
        if self.failed_at is not None and now - self.failed_at >= DISK_RETRY_INTERVAL_S and self.writing_since is None:
            self._catch_up()
        if self.writer is not None and now - self.scrubbed >= SCRUB_S and self._idle():
            self.scrubbed = now
            self._write(Batch([], None, [], scrub=True))
        hung = self.writing_since is not None and now - self.writing_since > SLOW_S
        if self.writer is not None:
            self.handle(DiskStatus(not hung and self.failed_at is None))
        self.handle(Tick())

    def _idle(self) -> bool:
        """Tell whether nothing is being written, and nothing waits for it."""
        return self.writing_since is None and self.failed_at is None and not self.waiting

    async def request(self, key: str, change: Change | None, patience: float) -> ClientResponse:
        """Change or read a register."""
        number = next(self.requests)
        future: asyncio.Future[ClientResponse] = self.loop.create_future()
        self.callers[number] = future
        self.handle(ClientRequest(number, key, change, patience))
        try:
            async with asyncio.timeout(patience + 2 * REPLICA_TICK_S):
                return await future
        except TimeoutError:
            return ClientResponse(number, None)
        finally:
            del self.callers[number]

    def give_up(self) -> None:
        """Answer all who wait that it is not known whether their requests were carried out."""
        for number, future in self.callers.items():
            if not future.done():
                future.set_result(ClientResponse(number, None))

    def handle(self, event: Input) -> None:
        """Give the machine one input; what it returns waits for its records and for all outputs before it."""
        outputs = self.machine.handle(self.loop.time(), event)
        for note in outputs.log_lines:
            self.effects.note(note)
        if not (outputs.records or outputs.messages or outputs.responses or outputs.committed_values):
            return
        self.waiting.append(outputs)
        if self.writing_since is None and self.failed_at is None:
            self._flush()

    # --- disk ----------------------------------------------------------------------------------------------------

    def _flush(self) -> None:
        """Write what waits, or let it out at once where there is nothing to write."""
        outputs, self.waiting = self.waiting, []
        records = [record for one in outputs for record in one.records]
        if not records or self.writer is None or self.store is None:
            self._let_out(outputs)
        elif self.store.is_log_full:
            self._write(Batch([], self.machine.durable_state(), outputs))
        else:
            self._write(Batch(records, None, outputs))

    def _catch_up(self) -> None:
        """Write the whole state, which covers all records so far; messages held back are about a time that is over."""
        kept = [Outputs(responses=one.responses, committed_values=one.committed_values) for one in self.waiting]
        self.waiting = []
        self._write(Batch([], self.machine.durable_state(), kept))

    def _write(self, batch: Batch) -> None:
        assert self.writer is not None
        self.writing_since = self.loop.time()
        self.writer.batches.put(batch)

    def _repair(self, damages: list[Damage]) -> None:
        """Write the whole state anew where the scrub found bytes that do not fit: memory holds what they were."""
        for damage in damages:
            self.effects.note(f"scrub: {damage}; the whole state is written anew")
        self._catch_up()

    def _written_elsewhere(self, batch: Batch, error: Exception | None) -> None:
        self.loop.call_soon_threadsafe(self._written, batch, error)

    def _written(self, batch: Batch, error: Exception | None) -> None:
        """Go on after a write. A failed one is made good by a whole state, which covers all that came since."""
        self.writing_since = None
        if error is not None:
            if self.failed_at is None:
                self.effects.note(f"a write failed: {error!r}")
            self.failed_at = self.loop.time()
            self.waiting = batch.outputs + self.waiting
            return
        self.failed_at = None
        self._let_out(batch.outputs)
        if batch.damages:
            self._repair(batch.damages)
        if self.waiting and self.writing_since is None:
            self._flush()

    def _let_out(self, batches: list[Outputs]) -> None:
        for outputs in batches:
            if outputs.committed_values:
                self.effects.publish(outputs.committed_values)
            for address, message in outputs.messages:
                if address == self.me.address:
                    self.loop.call_soon(self.received, self.me, message)
                else:
                    self.effects.send(address, message)
            for answer in outputs.responses:
                future = self.callers.get(answer.request_id)
                if future is not None and not future.done():
                    future.set_result(answer)
