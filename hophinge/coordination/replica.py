"""The state machine of one replica of the control state: it takes inputs and returns what to sync, send and answer.

It owns no clock, socket or file. Its host syncs the records of each step first, and sends and answers only then.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from hophinge.coordination.client_requests import ClientRequests
from hophinge.coordination.elections import Elections
from hophinge.coordination.events import ClientRequest, DiskStatus, Input, MessageReceived, Outputs, Tick
from hophinge.coordination.message_router import MessageRouter
from hophinge.coordination.messages import (
    Accept,
    Accepted,
    Committed,
    Decided,
    Forward,
    Heartbeat,
    LogRecord,
    Prepare,
    Promise,
    Rejection,
    Reply,
    StateRecord,
    Submit,
    Sync,
    ViewRecord,
)
from hophinge.coordination.recovery import apply_record
from hophinge.coordination.replica_state import ReplicaConfig, ReplicaState
from hophinge.coordination.view import Replica, View
from hophinge.coordination.voting import Voter

HEARTBEAT_INTERVAL_S = 0.25
MAX_TICK_GAP_S = 0.6  # between two ticks: after a longer gap, this process itself stood still


class ReplicaStateMachine(ReplicaState):
    """One replica: its state, and the handling of each input."""

    def __init__(self, config: ReplicaConfig, random: Random, now: float) -> None:
        super().__init__(config, now)
        self.router = MessageRouter(self.me)
        self.voter = Voter(self, self.router)
        self.elections = Elections(self, self.router, self.adopt_view, random, now)
        self.client_requests = ClientRequests(self)
        self.last_tick_at = now
        self.heartbeat_sent_at = now - HEARTBEAT_INTERVAL_S
        self.has_resumed = False
        self._register_handlers()

    def _register_handlers(self) -> None:
        self.router.register(Heartbeat, self._handle_heartbeat)
        self.router.register(Prepare, self.voter.handle_prepare)
        self.router.register(Accept, self.voter.handle_accept)
        self.router.register(Decided, self._handle_decided)
        self.router.register(Promise, self.elections.handle_promise)
        self.router.register(Accepted, self.elections.handle_accepted)
        self.router.register(Rejection, self.elections.handle_rejection)
        self.router.register(Submit, self._handle_submit)
        self.router.register(Forward, self._handle_forward)
        self.router.register(Sync, self._handle_sync)
        self.router.register(Reply, self.client_requests.handle_reply)
        self.router.register(Committed, self._handle_committed)

    def restore(self, records: Sequence[LogRecord | StateRecord]) -> None:
        """Restore the state that the disk held, before the first input."""
        for record in records:
            apply_record(self, record)
        if self.view is not None:
            self.acceptor.begin_instance(self.view.number + 1)
        self.chain.resume(self.view if self.view is not None and self.view.number else None)

    def begin_drain(self) -> None:
        """Ask the others to do without this replica, which serves until they do (see `is_required`)."""
        self.peers.is_draining = True
        self.heartbeat_sent_at = float("-inf")  # the next tick sends the heartbeat that says so

    # --- inputs --------------------------------------------------------------------------------------------------

    def handle(self, now: float, event: Input) -> Outputs:
        """Handle one input and return its effects."""
        outputs = Outputs()
        match event:
            case MessageReceived(source=source, message=message):
                self.router.dispatch(now, source, message, outputs)
            case ClientRequest():
                self.client_requests.begin(now, event, outputs)
            case DiskStatus(is_writable=is_writable):
                self._handle_disk_status(is_writable, outputs)
            case Tick():
                self._handle_tick(now, outputs)
        return outputs

    def _handle_disk_status(self, is_writable: bool, outputs: Outputs) -> None:
        if is_writable != self.is_writable:
            outputs.log_lines.append("the disk takes writes again" if is_writable else "the disk takes no writes")
        self.is_writable = is_writable and self.can_vote

    def _handle_tick(self, now: float, outputs: Outputs) -> None:
        if now - self.last_tick_at > MAX_TICK_GAP_S:
            self.peers.extend_after_stall(now, self.last_tick_at)
            self.elections.abandon()
        self.last_tick_at = now
        if now - self.heartbeat_sent_at >= HEARTBEAT_INTERVAL_S:
            self._send_heartbeats(now, outputs)
        if not self.has_resumed:
            self.has_resumed = True
            self.chain.commit_after_restart(outputs)
        self.client_requests.tick(now, outputs)
        if not self.is_connected(now):
            self.peers.begin_stabilization(now)
        self.elections.tick(now, outputs)

    def _send_heartbeats(self, now: float, outputs: Outputs) -> None:
        self.heartbeat_sent_at = now
        heartbeat = self.heartbeat()
        for address in sorted(self.peers.addresses(self.view, self.seeds)):
            outputs.send(address, heartbeat)
        self.peers.remove_expired(now, self.view)

    def _handle_heartbeat(self, now: float, source: Replica, heartbeat: Heartbeat, outputs: Outputs) -> None:
        self.peers.record_heartbeat(now, source, heartbeat)
        view = self.view
        if view is None or view.number < 1:
            return
        if heartbeat.view_number < view.number:
            outputs.send(source.address, Decided(view))
        elif heartbeat.view_number == view.number:
            if heartbeat.is_writable:
                self.chain.handle_successor_heartbeat(now, source, heartbeat, outputs)
            if heartbeat.synced_view == view.number:
                self.chain.learn_committed(view.number, heartbeat.committed_sequence, outputs)

    # --- agreement -----------------------------------------------------------------------------------------------

    def _handle_decided(self, now: float, source: Replica, decided: Decided, outputs: Outputs) -> None:
        self.adopt_view(now, decided.view, outputs)

    def adopt_view(self, now: float, view: View, outputs: Outputs) -> None:
        """Put a decided view in force; one that is no newer than the view in force is ignored."""
        if self.view is not None and view.number <= self.view.number:
            return
        self.view = view
        self.client_requests.retry_all()
        self.peers.begin_stabilization(now)
        outputs.records.append(ViewRecord(view))
        self.acceptor.begin_instance(view.number + 1)
        self.elections.abandon()
        voters = [view.voter(link.identity) for link in view.chain]
        chain = " > ".join(voter.address for voter in voters if voter is not None)
        outputs.log_lines.append(f"view {view.number}: {len(view.voters)} voters, chain {chain}")
        self.chain.enter_view(now, view, outputs)

    # --- chain ---------------------------------------------------------------------------------------------------

    def _handle_submit(self, now: float, source: Replica, submit: Submit, outputs: Outputs) -> None:
        self.chain.handle_submit(submit, outputs)

    def _handle_forward(self, now: float, source: Replica, forward: Forward, outputs: Outputs) -> None:
        self.chain.handle_forward(source, forward, outputs)

    def _handle_sync(self, now: float, source: Replica, sync: Sync, outputs: Outputs) -> None:
        self.chain.handle_sync(now, source, sync, outputs)

    def _handle_committed(self, now: float, source: Replica, committed: Committed, outputs: Outputs) -> None:
        self.chain.learn_committed(committed.view_number, committed.sequence, outputs)
