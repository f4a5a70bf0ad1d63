"""Runs a replica's state machine with a disk; outputs are released in order, once the records are synced."""

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
from hophinge.coordination.messages import LogRecord, StateRecord
from hophinge.coordination.storage.stores import replica_store
from hophinge.coordination.storage.volume import FileVolume
from hophinge.coordination.view import Replica
from hophinge.fleet.controlplane.group_commit import CommitCallbacks, GroupCommit
from hophinge.fleet.settings import Settings

REPLICA_TICK_S = 0.05


@dataclass(frozen=True, slots=True)
class ReplicaEffects:
    """Where a replica's messages and committed values are sent."""

    send: Callable[[str, object], None]
    publish: Callable[[list[CommittedValue]], None]


class ReplicaHost:
    """One replica: its state machine, its disk and the pending requests of its callers."""

    def __init__(self, settings: Settings, effects: ReplicaEffects) -> None:
        self.loop = asyncio.get_running_loop()
        self.effects = effects
        self.store = replica_store(FileVolume(settings.data_dir)) if settings.can_vote and settings.data_dir else None
        recovered = self.store.recover() if self.store is not None else None
        if recovered is not None and recovered.is_damaged:
            logger.info("stored replica state unreadable, treating the disk as new")
        identity = recovered.state.identity if recovered and recovered.state else secrets.token_hex(8)
        self.me = Replica(identity, settings.internal_control_address, settings.zone)
        config = ReplicaConfig(
            self.me, settings.seed_members(), settings.bootstrap, settings.can_vote, settings.max_machine_losses
        )
        self.machine = ReplicaStateMachine(config, Random(), self.loop.time())
        if recovered is not None and recovered.state is not None:
            self.machine.restore([recovered.state, *recovered.records])
        elif self.store is not None:
            # The state of a seed includes view 0. It is stored first, because its promises must survive a restart.
            self.store.save(self.machine.durable_state())
        self.pending_requests: dict[int, asyncio.Future[ClientResponse]] = {}
        self.request_ids = itertools.count(secrets.randbits(40))
        self.commit: GroupCommit[StateRecord, LogRecord, Outputs] | None = None
        if self.store is not None:
            callbacks = CommitCallbacks(self.machine.durable_state, self._release, _without_messages)
            self.commit = GroupCommit(self.store, callbacks)

    # --- inputs --------------------------------------------------------------------------------------------------

    def receive(self, source: Replica, message: object) -> None:
        """Handle a message from another member."""
        self.handle(MessageReceived(source, message))

    def tick(self) -> None:
        """Advance the disk and the state machine, and report to the machine whether the disk is writable."""
        if self.commit is not None:
            self.commit.tick()
            self.handle(DiskStatus(self.commit.is_writable))
        self.handle(Tick())

    async def request(self, key: str, change: Change | None, timeout_s: float) -> ClientResponse:
        """Change or read a register through the chain.

        Args:
            key: The register's key.
            change: The change to apply; None reads.
            timeout_s: How long the state machine may work on the request, in seconds.

        Returns:
            The response; its outcome is None if the result is not known in time: a change may then be applied or not.

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
        """Pass an input to the state machine; its outputs are released in order, once its records are synced."""
        outputs = self.machine.handle(self.loop.time(), event)
        for line in outputs.log_lines:
            logger.info("{}", line)
        if not (outputs.records or outputs.messages or outputs.responses or outputs.committed_values):
            return
        if self.commit is not None:
            self.commit.add(outputs.records, outputs)
        else:
            self._release([outputs])

    def _release(self, batches: list[Outputs]) -> None:
        for outputs in batches:
            if outputs.committed_values:
                self.effects.publish(outputs.committed_values)
            for address, message in outputs.messages:
                if address == self.me.address:
                    self.loop.call_soon(self.receive, self.me, message)
                else:
                    self.effects.send(address, message)
            for response in outputs.responses:
                future = self.pending_requests.get(response.request_id)
                if future is not None and not future.done():
                    future.set_result(response)


def _without_messages(outputs: Outputs) -> Outputs:
    """Return outputs that a failed write delayed, without their messages, which are outdated."""
    return Outputs(responses=outputs.responses, committed_values=outputs.committed_values)
