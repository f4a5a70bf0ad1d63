"""Runs a replica's state machine on a disk: its outputs are released in order, after its records are synced."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from loguru import logger

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
from hophinge.fleet.controlplane.disk_writer import DiskWriter, WriteBatch
from hophinge.fleet.settings import Settings

REPLICA_TICK_S = 0.05
DISK_RETRY_INTERVAL_S = 0.25  # between attempts on a disk that takes no writes
SCRUB_INTERVAL_S = 60.0  # between reads of all live data on the disk
WRITE_TIMEOUT_S = 0.4  # a write that takes longer makes the disk count as not writable


@dataclass(frozen=True, slots=True)
class ReplicaEffects:
    """Where a replica's outputs go."""

    send: Callable[[str, object], None]
    publish: Callable[[list[CommittedValue]], None]


class ReplicaHost:
    """One replica: its state machine, its disk, and the callers who wait for it."""

    def __init__(self, settings: Settings, effects: ReplicaEffects) -> None:
        self.loop = asyncio.get_running_loop()
        self.effects = effects
        self.store = DurableStore(FileVolume(settings.data_dir)) if settings.can_vote and settings.data_dir else None
        recovered = self.store.recover() if self.store is not None else None
        if recovered is not None and recovered.is_damaged:
            logger.info("disk state unreadable, treated as a new disk")
        identity = recovered.state.identity if recovered and recovered.state else secrets.token_hex(8)
        self.me = Replica(identity, settings.internal_control_address, settings.zone)
        membership = ReplicaConfig(
            self.me, settings.seed_members(), settings.bootstrap, settings.can_vote, settings.max_machine_losses
        )
        self.machine = ReplicaStateMachine(membership, Random(), self.loop.time())
        if recovered is not None and recovered.state is not None:
            self.machine.restore([recovered.state, *recovered.records])
        elif self.store is not None:
            # With view 0, where this is a seed: its promises bind it forever.
            self.store.save(self.machine.durable_state())
        self.pending_outputs: list[Outputs] = []  # until the batch being written is done
        self.writing_since: float | None = None
        self.failed_at: float | None = None
        self.pending_requests: dict[int, asyncio.Future[ClientResponse]] = {}
        self.request_ids = itertools.count(secrets.randbits(40))
        self.last_scrub_at = self.loop.time()
        self.writer: DiskWriter | None = None
        if self.store is not None:
            self.writer = DiskWriter(self.store, self._on_write_done)
            self.writer.start()

    # --- inputs --------------------------------------------------------------------------------------------------

    def receive(self, source: Replica, message: object) -> None:
        """Handle a message of another member."""
        self.handle(MessageReceived(source, message))

    def tick(self) -> None:
        """Advance the machine's time, retry a failed disk, scrub when scheduled, and report the disk's state."""
        now = self.loop.time()
        if self.failed_at is not None and now - self.failed_at >= DISK_RETRY_INTERVAL_S and self.writing_since is None:
            self._write_state()
        if self.writer is not None and now - self.last_scrub_at >= SCRUB_INTERVAL_S and self._is_idle():
            self.last_scrub_at = now
            self._write(WriteBatch([], None, [], is_scrub=True))
        is_hung = self.writing_since is not None and now - self.writing_since > WRITE_TIMEOUT_S
        if self.writer is not None:
            self.handle(DiskStatus(not is_hung and self.failed_at is None))
        self.handle(Tick())

    def _is_idle(self) -> bool:
        """Return whether no write is in progress, failed or pending."""
        return self.writing_since is None and self.failed_at is None and not self.pending_outputs

    async def request(self, key: str, change: Change | None, timeout_s: float) -> ClientResponse:
        """Change or read a register through the chain.

        Args:
            key: The register's key.
            change: The change to apply; None reads.
            timeout_s: How long the machine may work on the request.

        Returns:
            The outcome; one without an outcome where it is not known in time whether the change was applied.

        """
        request_id = next(self.request_ids)
        future: asyncio.Future[ClientResponse] = self.loop.create_future()
        self.pending_requests[request_id] = future
        self.handle(ClientRequest(request_id, key, change, timeout_s))
        try:
            async with asyncio.timeout(timeout_s + 2 * REPLICA_TICK_S):
                return await future
        except TimeoutError:
            return ClientResponse(request_id, None)
        finally:
            del self.pending_requests[request_id]

    def answer_pending_unknown(self) -> None:
        """Answer all pending requests with an unknown outcome."""
        for request_id, future in self.pending_requests.items():
            if not future.done():
                future.set_result(ClientResponse(request_id, None))

    def handle(self, event: Input) -> None:
        """Pass one input to the machine; its outputs are released after its records are synced, in order."""
        outputs = self.machine.handle(self.loop.time(), event)
        for note in outputs.log_lines:
            logger.info("{}", note)
        if not (outputs.records or outputs.messages or outputs.responses or outputs.committed_values):
            return
        self.pending_outputs.append(outputs)
        if self.writing_since is None and self.failed_at is None:
            self._flush()

    # --- disk ----------------------------------------------------------------------------------------------------

    def _flush(self) -> None:
        """Write the pending records; release the pending outputs at once where there are none."""
        outputs = self.pending_outputs
        self.pending_outputs = []
        records = [record for output in outputs for record in output.records]
        if not records or self.writer is None or self.store is None:
            self._release(outputs)
        elif self.store.is_log_full:
            self._write(WriteBatch([], self.machine.durable_state(), outputs))
        else:
            self._write(WriteBatch(records, None, outputs))

    def _write_state(self) -> None:
        """Write the complete state, which covers all records so far; pending messages are outdated and dropped."""
        outputs = [
            Outputs(responses=output.responses, committed_values=output.committed_values)
            for output in self.pending_outputs
        ]
        self.pending_outputs = []
        self._write(WriteBatch([], self.machine.durable_state(), outputs))

    def _write(self, batch: WriteBatch) -> None:
        assert self.writer is not None
        self.writing_since = self.loop.time()
        self.writer.batches.put(batch)

    def _repair(self, damages: list[Damage]) -> None:
        """Rewrite the complete state from memory where the scrub found damaged bytes."""
        for damage in damages:
            logger.info("scrub found damage, rewriting the state damage={}", damage)
        self._write_state()

    def _on_write_done(self, batch: WriteBatch, error: Exception | None) -> None:
        self.loop.call_soon_threadsafe(self._complete_write, batch, error)

    def _complete_write(self, batch: WriteBatch, error: Exception | None) -> None:
        """Release a write's outputs; `tick` retries a failed one with the complete state, which covers all since."""
        self.writing_since = None
        if error is not None:
            if self.failed_at is None:
                logger.info("disk write failed error={!r}", error)
            self.failed_at = self.loop.time()
            self.pending_outputs = batch.outputs + self.pending_outputs
            return
        self.failed_at = None
        self._release(batch.outputs)
        if batch.damages:
            self._repair(batch.damages)
        if self.pending_outputs and self.writing_since is None:
            self._flush()

    def _release(self, batches: list[Outputs]) -> None:
        for outputs in batches:
            if outputs.committed_values:
                self.effects.publish(outputs.committed_values)
            for address, message in outputs.messages:
                if address == self.me.address:
                    self.loop.call_soon(self.receive, self.me, message)
                else:
                    self.effects.send(address, message)
            for answer in outputs.responses:
                future = self.pending_requests.get(answer.request_id)
                if future is not None and not future.done():
                    future.set_result(answer)
