"""Exhaustive search of the chain: every order of messages, writes, a read, changes of view, a wipe and a restart.

Messages are never taken off the network, so each may come late, twice, out of order or never. What a replica does is
the library's own `Chain`, and which view comes next its own `next_view`; that one view is decided for each number is
what `tests/agreement_model.py` shows, and is taken for granted here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import combinations, pairwise

from hophinge.coordination.chain import ChainReplica
from hophinge.coordination.messages import (
    NO_BALLOT,
    Ballot,
    Committed,
    Forward,
    Heartbeat,
    RequestOrigin,
    Promise,
    Reply,
    Submit,
    Sync,
)
from hophinge.coordination.events import Outputs
from hophinge.coordination.view_planning import MembershipObservation, next_view
from hophinge.coordination.registers import Change, HistoryEntry, Outcome, Registers
from hophinge.coordination.view import ChainLink, Replica, View

KEY = "k"
LOSSES = 1
READ_REQUEST_BASE = 100  # a read's request number is this plus the newest version acknowledged before it
REJECTED = -1  # a rejected change is recorded as its version times this
RETRY_TIME = 1e9  # by when every retry interval has passed
Step = Callable[[ChainReplica, Outputs], None]


def _submit_step(submit: Submit) -> Step:
    return lambda chain, outputs: chain.handle_submit(submit, outputs)


def _sync_step(source: Replica, sync: Sync) -> Step:
    return lambda chain, outputs: chain.handle_sync(RETRY_TIME, source, sync, outputs)


def _forward_step(source: Replica, forward: Forward) -> Step:
    return lambda chain, outputs: chain.handle_forward(source, forward, outputs)


def _view_step(view: View) -> Step:
    return lambda chain, outputs: chain.enter_view(RETRY_TIME, view, outputs)


def _heartbeat_step(source: Replica, heartbeat: Heartbeat) -> Step:
    return lambda chain, outputs: chain.handle_successor_heartbeat(RETRY_TIME, source, heartbeat, outputs)


@dataclass(frozen=True, slots=True)
class ReplicaDisk:
    """The durable state of one replica: all of a chain that survives its process."""

    replica: Replica
    view_number: int  # the number of the view it is in
    synced_view: int
    entries: tuple[HistoryEntry, ...]


@dataclass(frozen=True, slots=True)
class ChainState:
    """All replicas, the views decided so far, all messages ever sent, and the outcomes that callers know."""

    disks: tuple[ReplicaDisk, ...]
    views: tuple[View, ...]
    sent_messages: frozenset[tuple[str, str, object]]  # from identity, to address
    acknowledged: frozenset[int]  # versions of applied changes, and REJECTED times those of rejected ones
    wipes: int
    reads: int


@dataclass(frozen=True, slots=True)
class ChainModel:
    """The bounds of the search: changes, and numbers of views, wipes and reads.

    Where callers are pipelined, they also build on versions that are not acknowledged yet.
    """

    changes: tuple[Change, ...]
    views: int
    wipes: int
    reads: int
    is_pipelined: bool = False

    def initial_state(self) -> ChainState:
        """Return the state in which view 1 has just been formed."""
        replicas = tuple(Replica(name, f"at-{name}", "z") for name in "abc")
        view = View(1, replicas, tuple(ChainLink(replica.identity, 1) for replica in replicas))
        disks = tuple(ReplicaDisk(replica, 1, 1, ()) for replica in replicas)
        return ChainState(disks, (view,), frozenset(), frozenset(), 0, 0)

    def successors(self, state: ChainState) -> Iterator[ChainState]:
        """Yield all states that one step leads to."""
        for index in range(len(state.disks)):
            yield from self._submit(state, index)
            yield from self._deliver(state, index)
            yield from self._enter_view(state, index)
            yield self._after_step(state, index, lambda chain, outputs: chain.commit_after_restart(outputs))
            yield from self._resync(state, index)
            yield from self._wipe(state, index)
        yield from self._decide(state)

    # --- one replica's step --------------------------------------------------------------------------------------

    def _after_step(self, state: ChainState, index: int, step: Step) -> ChainState:
        """Return the state after a step of one replica, which starts from its disk; its messages are added."""
        disk = state.disks[index]
        chain, outputs = ChainReplica(disk.replica, LOSSES + 1), Outputs()
        chain.synced_view = disk.synced_view
        for entry in disk.entries:
            chain.registers.apply(entry)
        chain.resume(state.views[disk.view_number - 1] if disk.view_number else None)
        step(chain, outputs)
        assert chain.view is None or chain.view in state.views
        versions = list(chain.registers.applied_digests.get(KEY, {}).values())
        entries = tuple(HistoryEntry(number, self._change(version)) for number, version in enumerate(versions, 1))
        after = ReplicaDisk(disk.replica, chain.view.number if chain.view else 0, chain.synced_view, entries)
        disks = (*state.disks[:index], after, *state.disks[index + 1 :])
        acknowledged, sent = set(state.acknowledged), set(state.sent_messages)
        for address, message in outputs.messages:
            if isinstance(message, Reply):
                self._record_reply(message, acknowledged)
            elif not isinstance(message, Committed):
                sent.add((disk.replica.identity, address, message))
        return replace(state, disks=disks, sent_messages=frozenset(sent), acknowledged=frozenset(acknowledged))

    def _change(self, version: int) -> Change:
        return next(change for change in self.changes if change.version == version)

    def _record_reply(self, reply: Reply, acknowledged: set[int]) -> None:
        """Record what a caller learns; raises AssertionError where it contradicts what was acknowledged."""
        if reply.request_id >= READ_REQUEST_BASE:
            assert reply.version >= reply.request_id - READ_REQUEST_BASE, (
                f"a read returned {reply.version}, after more was acknowledged"
            )
        else:
            acknowledged.add(reply.request_id if reply.outcome == Outcome.APPLIED else REJECTED * reply.request_id)
            assert not {reply.request_id, REJECTED * reply.request_id} <= acknowledged, (
                f"{reply.request_id} was both applied and rejected"
            )

    def _submit(self, state: ChainState, index: int) -> Iterator[ChainState]:
        origin = state.disks[index].replica
        for change in self.changes:
            if change.base and change.base not in state.acknowledged and not self.is_pipelined:
                continue  # such a caller does not build on a version that was not acknowledged
            submit = Submit(RequestOrigin(origin, change.version), KEY, change)
            yield self._after_step(state, index, _submit_step(submit))
        if state.reads < self.reads:
            number = READ_REQUEST_BASE + max(0, *state.acknowledged) if state.acknowledged else READ_REQUEST_BASE
            read = Submit(RequestOrigin(origin, number), KEY, None)
            state_after_read = replace(state, reads=state.reads + 1)
            yield self._after_step(state_after_read, index, _submit_step(read))

    def _deliver(self, state: ChainState, index: int) -> Iterator[ChainState]:
        replicas = {disk.replica.identity: disk.replica for disk in state.disks}
        for identity, address, message in state.sent_messages:
            source = replicas.get(identity)
            if address != state.disks[index].replica.address:
                continue
            source = source or Replica(identity, f"at-{identity[0]}", "z")
            if isinstance(message, Sync):
                yield self._after_step(state, index, _sync_step(source, message))
            elif isinstance(message, Forward):
                yield self._after_step(state, index, _forward_step(source, message))

    def _enter_view(self, state: ChainState, index: int) -> Iterator[ChainState]:
        for view in state.views[state.disks[index].view_number :]:
            yield self._after_step(state, index, _view_step(view))

    def _resync(self, state: ChainState, index: int) -> Iterator[ChainState]:
        """Deliver the successor's heartbeat, which says how much of the history it has."""
        for other in state.disks:
            if other.view_number == state.disks[index].view_number:
                yield self._after_step(state, index, _heartbeat_step(other.replica, self._heartbeat(other)))

    def _heartbeat(self, disk: ReplicaDisk) -> Heartbeat:
        registers = Registers()
        for entry in disk.entries:
            registers.apply(entry)
        return Heartbeat(
            disk.view_number, disk.synced_view, len(disk.entries), 0, True, True, False, registers.history_digest
        )

    # --- what happens to the group -------------------------------------------------------------------------------

    def _wipe(self, state: ChainState, index: int) -> Iterator[ChainState]:
        """Lose a disk, where all others are synced in the newest view: one loss at a time is tolerated."""
        newest = state.views[-1]
        others = [disk for other, disk in enumerate(state.disks) if other != index]
        caught_up = all(disk.synced_view == disk.view_number == newest.number for disk in others)
        if state.wipes < self.wipes and caught_up:
            replica = state.disks[index].replica
            empty = ReplicaDisk(Replica(replica.identity + "'", replica.address, "z"), 0, 0, ())
            disks = (*state.disks[:index], empty, *state.disks[index + 1 :])
            yield replace(state, disks=disks, wipes=state.wipes + 1)

    def _decide(self, state: ChainState) -> Iterator[ChainState]:
        """Decide the next view by each majority that may promise; those that have not promised count as failed."""
        newest = state.views[-1]
        if len(state.views) >= self.views:
            return
        eligible = [
            disk for disk in state.disks if disk.view_number == newest.number and newest.voter(disk.replica.identity)
        ]
        for count in range(newest.majority, len(eligible) + 1):
            for promisers in combinations(eligible, count):
                promises = {
                    disk.replica.identity: Promise(
                        newest.number + 1, Ballot(1, "a"), NO_BALLOT, None, disk.synced_view, len(disk.entries)
                    )
                    for disk in promisers
                }
                candidates = tuple(disk.replica for disk in state.disks if newest.voter(disk.replica.identity) is None)
                alive = set(promises) | {replica.identity for replica in candidates}
                view = next_view(
                    newest, MembershipObservation(alive, alive, set(), set(), candidates, 2 * LOSSES + 1), promises
                )
                if view is not None:
                    yield replace(state, views=(*state.views, view))

    # --- invariants ----------------------------------------------------------------------------------------------

    def check(self, state: ChainState) -> None:
        """Check the invariants in one state; raises AssertionError where one is broken."""
        bases = [change.base for change in self.changes if change.version in state.acknowledged]
        assert len(set(bases)) == len(bases), "two changes of one version were acknowledged"
        newest = state.views[-1]
        serving = [disk for disk in state.disks if disk.view_number == disk.synced_view == newest.number]
        for version in (outcome for outcome in state.acknowledged if outcome > 0):
            holders = [disk for disk in state.disks if version in {entry.change.version for entry in disk.entries}]
            assert len(holders) >= LOSSES + 1 - state.wipes, f"{version} is on {len(holders)} disks"
            assert all(disk in holders for disk in serving), f"a replica of the newest view lacks {version}"
            for link in newest.chain:
                disk = next((disk for disk in state.disks if disk.replica.identity == link.identity), None)
                complete = disk is not None and disk.synced_view >= link.joined_view
                assert not complete or disk in holders, f"a replica that may head the next view lacks {version}"
        positions = {link.identity: position for position, link in enumerate(newest.chain)}
        serving.sort(key=lambda disk: positions.get(disk.replica.identity, -1))
        for before, after in pairwise(serving):
            assert before.entries[: len(after.entries)] == after.entries, (
                "a successor has an entry that its predecessor lacks"
            )


def search(model: ChainModel, max_states: int) -> int:
    """Search at most `max_states` states and return their number.

    Raises:
        AssertionError: an invariant is broken in one of them.
    """
    first = model.initial_state()
    seen, unexplored = {first}, [first]
    while unexplored and len(seen) < max_states:
        for successor in model.successors(unexplored.pop()):
            if successor not in seen:
                model.check(successor)
                seen.add(successor)
                unexplored.append(successor)
    return len(seen)
