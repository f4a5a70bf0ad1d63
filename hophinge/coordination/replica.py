"""A member of the group that holds the control state: it takes inputs and tells what to sync, send, answer, publish.

It owns no clock, socket or file. What it returns is let out in order, and only once the records before it are synced.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from hophinge.coordination.agreement import Acceptor
from hophinge.coordination.chain import Chain
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
    Record,
    Rejection,
    Reply,
    StateRecord,
    Submit,
    Sync,
    ViewRecord,
    VoteRecord,
)
from hophinge.coordination.events import DiskState, Input, Outputs, Received, Requested, Tick
from hophinge.coordination.peers import SUSPECT_S, Peers
from hophinge.coordination.quorum_acknowledgements import Core
from hophinge.coordination.client_requests import Requests
from hophinge.coordination.view import Replica, View, seed_view
from hophinge.coordination.voting import Voting, voter_name

HEARTBEAT_S = 0.25  # between signs of life
STALL_S = 0.6  # between two ticks: longer, and this process stood still


@dataclass(frozen=True, slots=True)
class Membership:
    """What a replica is told at its start."""

    me: Replica
    seeds: tuple[str, ...]
    bootstrap: bool  # the whole system starts for the first time, with empty disks
    votes: bool  # this replica's disk counts
    losses: int  # replicas that may be lost at once


class ReplicaMachine:
    """One member of the group."""

    def __init__(self, membership: Membership, random: Random, now: float) -> None:
        self.me, self.seeds, self.votes = membership.me, membership.seeds, membership.votes
        self.losses = membership.losses
        self.writable = membership.votes
        self.peers = Peers(self.me, membership.losses)
        self.chain = Chain(self.me, membership.losses + 1)
        self.view: View | None = None
        self.acceptor = Acceptor(VoteRecord(1, NO_BALLOT, NO_BALLOT, None))
        self.voting = Voting(self)
        self.elections = Elections(self, random, now)
        self.requests = Requests(self)
        self.started = self.ticked = now
        self.greeted = now - HEARTBEAT_S
        self.resumed = False
        if membership.bootstrap and self.me.address in membership.seeds:
            self.view = seed_view(membership.seeds)
        self.handlers: dict[type, Callable[[float, Replica, object, Outputs], None]] = {
            Heartbeat: self._heartbeat,
            Prepare: self.voting.prepare,
            Accept: self.voting.accept,
            Decided: self._decided,
            Promise: self.elections.promise,
            Accepted: self.elections.accepted,
            Rejection: self.elections.rejection,
            Submit: self._submit,
            Forward: self._forward,
            Sync: self._sync,
            Reply: self.requests.reply,
            Committed: self._committed,
        }

    def restore(self, records: Sequence[Record | StateRecord]) -> None:
        """Take up what the disk held, before the first input."""
        for record in records:
            apply_record(self, record)
        if self.view is not None:
            self.acceptor.begin(self.view.number + 1)
        self.chain.resume(self.view if self.view is not None and self.view.number else None)

    def state(self) -> StateRecord:
        """Tell all that has to last."""
        return StateRecord(
            self.me.identity, self.view, self.acceptor.vote, self.chain.synced, self.chain.registers.snapshot()
        )

    # --- inputs --------------------------------------------------------------------------------------------------

    def handle(self, now: float, event: Input) -> Outputs:
        """Take one input."""
        outputs = Outputs()
        match event:
            case Received(source=source, message=message):
                handler = self.handlers.get(type(message))
                if handler is not None:
                    handler(now, source, message, outputs)
            case Requested():
                self.requests.take(now, event, outputs)
            case DiskState(writable=writable):
                self._disk(writable, outputs)
            case Tick():
                self._tick(now, outputs)
        return outputs

    def _disk(self, writable: bool, outputs: Outputs) -> None:
        if writable != self.writable:
            outputs.notes.append("the disk takes writes again" if writable else "the disk takes no writes")
        self.writable = writable and self.votes

    def _tick(self, now: float, outputs: Outputs) -> None:
        if now - self.ticked > STALL_S:
            self.peers.excuse(now, self.ticked)
            self.elections.abandon(now)
        self.ticked = now
        if now - self.greeted >= HEARTBEAT_S:
            self.greeted = now
            heartbeat = self.heartbeat()
            others = sorted(self.peers.addresses(self.view, self.seeds))
            outputs.messages += [(address, heartbeat) for address in others]
            self.peers.forget(now, self.view)
        if not self.resumed:
            self.resumed = True
            self.chain.restarted(outputs)
        self.requests.tick(now, outputs)
        if not self.connected(now):
            self.peers.settle(now)
        self.elections.tick(now, outputs)

    def heartbeat(self) -> Heartbeat:
        """Tell how this replica stands."""
        number = self.view.number if self.view is not None else -1
        return Heartbeat(
            number,
            self.chain.synced,
            self.chain.registers.sequence,
            self.chain.committed,
            self.writable,
            self.votes,
            self.peers.leaving,
            self.chain.registers.mark,
        )

    def _heartbeat(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        assert isinstance(message, Heartbeat)
        self.peers.heard(now, source, message)
        view = self.view
        if view is None or view.number < 1:
            return
        if message.view < view.number:
            outputs.messages.append((source.address, Decided(view)))
        elif message.view == view.number:
            if message.writable:
                self.chain.successor_heard(now, source, message, outputs)
            if message.synced == view.number:
                self.chain.learn(view.number, message.committed, outputs)

    # --- agreement -----------------------------------------------------------------------------------------------

    def broadcast(self, now: float, view: View, message: object, outputs: Outputs) -> None:
        """Send to all voters of a view, this replica among them."""
        for voter in view.voters:
            if voter.address != self.me.address:
                outputs.messages.append((voter.address, message))
        if voter_name(view, self.me) is not None:
            self.handlers[type(message)](now, self.me, message, outputs)

    def _decided(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        assert isinstance(message, Decided)
        self.adopt(now, message.view, outputs)

    def adopt(self, now: float, view: View, outputs: Outputs) -> None:
        """Go on in a view that was decided."""
        if self.view is not None and view.number <= self.view.number:
            return
        self.view = view
        self.requests.send_anew()
        self.peers.settle(now)
        outputs.records.append(ViewRecord(view))
        self.acceptor.begin(view.number + 1)
        self.elections.abandon(now)
        chain = " > ".join(voter.address for link in view.chain if (voter := view.voter(link.identity)) is not None)
        outputs.notes.append(f"view {view.number}: {len(view.voters)} voters, chain {chain}")
        self.chain.enter(now, view, outputs)

    # --- chain ---------------------------------------------------------------------------------------------------

    def _submit(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        assert isinstance(message, Submit)
        self.chain.submit(message, outputs)

    def _forward(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        assert isinstance(message, Forward)
        self.chain.forwarded(source, message, outputs)

    def _sync(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        assert isinstance(message, Sync)
        self.chain.sync(now, source, message, outputs)

    def _committed(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        assert isinstance(message, Committed)
        self.chain.learn(message.view, message.sequence, outputs)

    def connected(self, now: float) -> bool:
        """Tell whether more than half of the voters were heard lately."""
        view = self.view
        return view is not None and view.number >= 1 and self.peers.in_contact(now, view)

    def core(self, now: float) -> Core:
        """Tell the voters of the view in force, and whom of them were heard lately."""
        view = self.view
        if view is None or view.number < 1:
            return Core(0, (), 1, frozenset())
        return Core(view.number, view.voters, view.majority, self.peers.heard_lately(now))

    def out_of_contact(self, now: float) -> bool:
        """Tell whether nothing can be answered here now: this replica has heard too few voters for some time.

        Until it could have heard them after its start, and before there is a first view, answers may come yet.
        """
        view = self.view
        formed = view is not None and view.number >= 1
        return formed and now - self.started > SUSPECT_S and not self.connected(now)

    def leave(self) -> None:
        """Have the others do without this replica, which goes on until they do; its end is planned."""
        self.peers.leaving = True
        self.greeted = float("-inf")  # they hear of it with the next tick

    def needed(self) -> bool:
        """Tell whether a replica that leaves is to wait: the chain has it, or does not hold the history without it."""
        view = self.view
        if not self.votes or view is None or len(view.voters) == 1:
            return False
        if view.position(self.me.identity) >= 0:
            return True
        heard = [self.peers.known[link.identity].heartbeat for link in view.chain if link.identity in self.peers.known]
        holding = sum(heartbeat.synced == view.number for heartbeat in heard)
        return holding < min(len(view.voters), self.losses + 1)
