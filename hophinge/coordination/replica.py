"""A member of the group that holds the control state: it takes inputs and tells what to sync, send, answer, publish.

It owns no clock, socket or file. What it returns is let out in order, and only once the records before it are synced.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from hophinge.coordination.agreement import Acceptor
from hophinge.coordination.chain import ChainReplica
from hophinge.coordination.elections import Elections
from hophinge.coordination.recovery import apply_record
from hophinge.coordination.messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Committed,
    Decided,
    Forward,
    Heartbeat,
    Prepare,
    Promise,
    LogRecord,
    Rejection,
    Reply,
    StateRecord,
    Submit,
    Sync,
    ViewRecord,
    VoteRecord,
)
from hophinge.coordination.events import DiskStatus, Input, Outputs, MessageReceived, ClientRequest, Tick
from hophinge.coordination.peers import SUSPECT_TIMEOUT_S, Peers
from hophinge.coordination.quorum_acknowledgements import QuorumView
from hophinge.coordination.client_requests import ClientRequests
from hophinge.coordination.view import Replica, View, seed_view
from hophinge.coordination.voting import Voter, voter_identity

HEARTBEAT_INTERVAL_S = 0.25  # between signs of life
MAX_TICK_GAP_S = 0.6  # between two ticks: longer, and this process stood still


@dataclass(frozen=True, slots=True)
class ReplicaConfig:
    """What a replica is told at its start."""

    me: Replica
    seeds: tuple[str, ...]
    bootstrap: bool  # the whole system starts for the first time, with empty disks
    can_vote: bool  # this replica's disk counts
    tolerated_losses: int  # replicas that may be lost at once


class ReplicaStateMachine:
    """One member of the group."""

    def __init__(self, config: ReplicaConfig, random: Random, now: float) -> None:
        self.me, self.seeds, self.can_vote = config.me, config.seeds, config.can_vote
        self.tolerated_losses = config.tolerated_losses
        self.is_writable = config.can_vote
        self.peers = Peers(self.me, config.tolerated_losses)
        self.chain = ChainReplica(self.me, config.tolerated_losses + 1)
        self.view: View | None = None
        self.acceptor = Acceptor(VoteRecord(1, NO_BALLOT, NO_BALLOT, None))
        self.voter = Voter(self)
        self.elections = Elections(self, random, now)
        self.client_requests = ClientRequests(self)
        self.started_at = self.last_tick_at = now
        self.last_heartbeat_at = now - HEARTBEAT_INTERVAL_S
        self.has_resumed = False
        if config.bootstrap and self.me.address in config.seeds:
            self.view = seed_view(config.seeds)
        self.handlers: dict[type, Callable[[float, Replica, object, Outputs], None]] = {
            Heartbeat: self._heartbeat,
            Prepare: self.voter.handle_prepare,
            Accept: self.voter.handle_accept,
            Decided: self._decided,
            Promise: self.elections.handle_promise,
            Accepted: self.elections.handle_accepted,
            Rejection: self.elections.handle_rejection,
            Submit: self._submit,
            Forward: self._forward,
            Sync: self._sync,
            Reply: self.client_requests.handle_reply,
            Committed: self._committed,
        }

    def restore(self, records: Sequence[LogRecord | StateRecord]) -> None:
        """Take up what the disk held, before the first input."""
        for record in records:
            apply_record(self, record)
        if self.view is not None:
            self.acceptor.begin_instance(self.view.number + 1)
        self.chain.resume(self.view if self.view is not None and self.view.number else None)

    def durable_state(self) -> StateRecord:
        """Tell all that has to last."""
        return StateRecord(
            self.me.identity, self.view, self.acceptor.vote, self.chain.synced_view, self.chain.registers.snapshot()
        )

    # --- inputs --------------------------------------------------------------------------------------------------

    def handle(self, now: float, event: Input) -> Outputs:
        """Take one input."""
        outputs = Outputs()
        match event:
            case MessageReceived(source=source, message=message):
                handler = self.handlers.get(type(message))
                if handler is not None:
                    handler(now, source, message, outputs)
            case ClientRequest():
                self.client_requests.begin(now, event, outputs)
            case DiskStatus(is_writable=writable):
                self._disk(writable, outputs)
            case Tick():
                self._tick(now, outputs)
        return outputs

    def _disk(self, writable: bool, outputs: Outputs) -> None:
        if writable != self.is_writable:
            outputs.log_lines.append("the disk takes writes again" if writable else "the disk takes no writes")
        self.is_writable = writable and self.can_vote

    def _tick(self, now: float, outputs: Outputs) -> None:
        if now - self.last_tick_at > MAX_TICK_GAP_S:
            self.peers.extend_after_stall(now, self.last_tick_at)
            self.elections.abandon(now)
        self.last_tick_at = now
        if now - self.last_heartbeat_at >= HEARTBEAT_INTERVAL_S:
            self.last_heartbeat_at = now
            heartbeat = self.heartbeat()
            others = sorted(self.peers.addresses(self.view, self.seeds))
            outputs.messages += [(address, heartbeat) for address in others]
            self.peers.remove_expired(now, self.view)
        if not self.has_resumed:
            self.has_resumed = True
            self.chain.commit_after_restart(outputs)
        self.client_requests.tick(now, outputs)
        if not self.is_connected(now):
            self.peers.begin_stabilization(now)
        self.elections.tick(now, outputs)

    def heartbeat(self) -> Heartbeat:
        """Tell how this replica stands."""
        number = self.view.number if self.view is not None else -1
        return Heartbeat(
            number,
            self.chain.synced_view,
            self.chain.registers.sequence,
            self.chain.committed_sequence,
            self.is_writable,
            self.can_vote,
            self.peers.is_draining,
            self.chain.registers.history_digest,
        )

    def _heartbeat(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        assert isinstance(message, Heartbeat)
        self.peers.record_heartbeat(now, source, message)
        view = self.view
        if view is None or view.number < 1:
            return
        if message.view < view.number:
            outputs.messages.append((source.address, Decided(view)))
        elif message.view == view.number:
            if message.is_writable:
                self.chain.handle_successor_heartbeat(now, source, message, outputs)
            if message.synced_view == view.number:
                self.chain.learn_committed(view.number, message.committed_sequence, outputs)

    # --- agreement -----------------------------------------------------------------------------------------------

    def broadcast(self, now: float, view: View, message: object, outputs: Outputs) -> None:
        """Send to all voters of a view, this replica among them."""
        for voter in view.voters:
            if voter.address != self.me.address:
                outputs.messages.append((voter.address, message))
        if voter_identity(view, self.me) is not None:
            self.handlers[type(message)](now, self.me, message, outputs)

    def _decided(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        assert isinstance(message, Decided)
        self.adopt_view(now, message.view, outputs)

    def adopt_view(self, now: float, view: View, outputs: Outputs) -> None:
        """Go on in a view that was decided."""
        if self.view is not None and view.number <= self.view.number:
            return
        self.view = view
        self.client_requests.retry_all()
        self.peers.begin_stabilization(now)
        outputs.records.append(ViewRecord(view))
        self.acceptor.begin_instance(view.number + 1)
        self.elections.abandon(now)
        chain = " > ".join(voter.address for link in view.chain if (voter := view.voter(link.identity)) is not None)
        outputs.log_lines.append(f"view {view.number}: {len(view.voters)} voters, chain {chain}")
        self.chain.enter_view(now, view, outputs)

    # --- chain ---------------------------------------------------------------------------------------------------

    def _submit(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        assert isinstance(message, Submit)
        self.chain.handle_submit(message, outputs)

    def _forward(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        assert isinstance(message, Forward)
        self.chain.handle_forward(source, message, outputs)

    def _sync(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        assert isinstance(message, Sync)
        self.chain.handle_sync(now, source, message, outputs)

    def _committed(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        assert isinstance(message, Committed)
        self.chain.learn_committed(message.view, message.sequence, outputs)

    def is_connected(self, now: float) -> bool:
        """Tell whether more than half of the voters were heard lately."""
        view = self.view
        return view is not None and view.number >= 1 and self.peers.has_majority(now, view)

    def quorum_view(self, now: float) -> QuorumView:
        """Tell the voters of the view in force, and whom of them were heard lately."""
        view = self.view
        if view is None or view.number < 1:
            return QuorumView(0, (), 1, frozenset())
        return QuorumView(view.number, view.voters, view.majority, self.peers.live_identities(now))

    def is_isolated(self, now: float) -> bool:
        """Tell whether nothing can be answered here now: this replica has heard too few voters for some time.

        Until it could have heard them after its start, and before there is a first view, answers may come yet.
        """
        view = self.view
        formed = view is not None and view.number >= 1
        return formed and now - self.started_at > SUSPECT_TIMEOUT_S and not self.is_connected(now)

    def begin_drain(self) -> None:
        """Have the others do without this replica, which goes on until they do; its end is planned."""
        self.peers.is_draining = True
        self.last_heartbeat_at = float("-inf")  # they hear of it with the next tick

    def is_required(self) -> bool:
        """Tell whether a replica that leaves is to wait: the chain has it, or does not hold the history without it."""
        view = self.view
        if not self.can_vote or view is None or len(view.voters) == 1:
            return False
        if view.position(self.me.identity) >= 0:
            return True
        heard = [self.peers.known[link.identity].heartbeat for link in view.chain if link.identity in self.peers.known]
        holding = sum(heartbeat.synced_view == view.number for heartbeat in heard)
        return holding < min(len(view.voters), self.tolerated_losses + 1)
