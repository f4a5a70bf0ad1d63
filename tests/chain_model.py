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
READ = 100  # a read's request number is this and the newest version acknowledged before it was asked
REFUSED = -1  # what is told of a change: its version, or this times its version
LATER = 1e9  # a moment at which whatever waits to be sent again is due
Step = Callable[[ChainReplica, Outputs], None]


@dataclass(frozen=True, slots=True)
class Disk:
    """What one replica holds: nothing of a chain outlives its process but this."""

    replica: Replica
    view: int  # the number of the view it is in
    synced: int
    entries: tuple[HistoryEntry, ...]


@dataclass(frozen=True, slots=True)
class ChainState:
    """All replicas, the views decided so far, all that was ever sent, and what was told to callers."""

    disks: tuple[Disk, ...]
    views: tuple[View, ...]
    sent: frozenset[tuple[str, str, object]]  # from identity, to address
    acknowledged: frozenset[int]  # versions, and those refused with a sign before them
    wipes: int
    reads: int


@dataclass(frozen=True, slots=True)
class ChainModel:
    """How much may happen in one play."""

    changes: tuple[Change, ...]
    views: int
    wipes: int
    reads: int

    def first(self) -> ChainState:
        """Tell the state in which view 1 has just been formed."""
        replicas = tuple(Replica(name, f"at-{name}", "z") for name in "abc")
        view = View(1, replicas, tuple(ChainLink(replica.identity, 1) for replica in replicas))
        disks = tuple(Disk(replica, 1, 1, ()) for replica in replicas)
        return ChainState(disks, (view,), frozenset(), frozenset(), 0, 0)

    def steps(self, state: ChainState) -> Iterator[ChainState]:
        """Tell all states that one step leads to."""
        for place in range(len(state.disks)):
            yield from self._submit(state, place)
            yield from self._deliver(state, place)
            yield from self._adopt(state, place)
            yield self._changed(state, place, lambda chain, outputs: chain.commit_after_restart(outputs))
            yield from self._send_again(state, place)
            yield from self._wipe(state, place)
        yield from self._decide(state)

    # --- one replica's step --------------------------------------------------------------------------------------

    def _changed(self, state: ChainState, place: int, step: Step) -> ChainState:
        """Have one replica take a step, from what its disk holds; what it sends and tells is added."""
        disk = state.disks[place]
        chain, outputs = ChainReplica(disk.replica, LOSSES + 1), Outputs()
        chain.synced_view = disk.synced
        for entry in disk.entries:
            chain.registers.apply(entry)
        chain.resume(state.views[disk.view - 1] if disk.view else None)
        step(chain, outputs)
        assert chain.view is None or chain.view in state.views
        versions = list(chain.registers.applied_digests.get(KEY, {}).values())
        entries = tuple(HistoryEntry(number, self._change(version)) for number, version in enumerate(versions, 1))
        after = Disk(disk.replica, chain.view.number if chain.view else 0, chain.synced_view, entries)
        disks = (*state.disks[:place], after, *state.disks[place + 1 :])
        told, sent = set(state.acknowledged), set(state.sent)
        for address, message in outputs.messages:
            if isinstance(message, Reply):
                self._told(message, told)
            elif not isinstance(message, Committed):
                sent.add((disk.replica.identity, address, message))
        return replace(state, disks=disks, sent=frozenset(sent), acknowledged=frozenset(told))

    def _change(self, version: int) -> Change:
        return next(change for change in self.changes if change.version == version)

    def _told(self, reply: Reply, told: set[int]) -> None:
        """A caller hears; raises AssertionError where that is wrong."""
        if reply.request_id >= READ:
            assert reply.version >= reply.request_id - READ, (
                f"a read told of {reply.version}, after more was acknowledged"
            )
        else:
            told.add(reply.request_id if reply.outcome == Outcome.APPLIED else REFUSED * reply.request_id)
            assert not {reply.request_id, REFUSED * reply.request_id} <= told, (
                f"{reply.request_id} was both taken and refused"
            )

    def _submit(self, state: ChainState, place: int) -> Iterator[ChainState]:
        origin = state.disks[place].replica
        for change in self.changes:
            if change.base and change.base not in state.acknowledged:
                continue  # nobody builds on a version that nobody was told of
            submit = Submit(RequestOrigin(origin, change.version), KEY, change)
            yield self._changed(
                state,
                place,
                lambda chain, outputs, submit=submit: chain.handle_submit(submit, outputs),  # type: ignore[misc]
            )
        if state.reads < self.reads:
            number = READ + max(0, *state.acknowledged) if state.acknowledged else READ
            read = Submit(RequestOrigin(origin, number), KEY, None)
            asked = replace(state, reads=state.reads + 1)
            yield self._changed(asked, place, lambda chain, outputs: chain.handle_submit(read, outputs))

    def _deliver(self, state: ChainState, place: int) -> Iterator[ChainState]:
        replicas = {disk.replica.identity: disk.replica for disk in state.disks}
        for identity, address, message in state.sent:
            source = replicas.get(identity)
            if address != state.disks[place].replica.address:
                continue
            source = source or Replica(identity, f"at-{identity[0]}", "z")
            if isinstance(message, Sync):
                yield self._changed(
                    state,
                    place,
                    lambda chain, outputs, source=source, message=message: (  # type: ignore[misc]
                        chain.handle_sync(LATER, source, message, outputs)
                    ),
                )
            elif isinstance(message, Forward):
                yield self._changed(
                    state,
                    place,
                    lambda chain, outputs, source=source, message=message: (  # type: ignore[misc]
                        chain.handle_forward(source, message, outputs)
                    ),
                )

    def _adopt(self, state: ChainState, place: int) -> Iterator[ChainState]:
        for view in state.views[state.disks[place].view :]:
            yield self._changed(state, place, lambda chain, outputs, view=view: chain.enter_view(LATER, view, outputs))  # type: ignore[misc]

    def _send_again(self, state: ChainState, place: int) -> Iterator[ChainState]:
        """Hear the successor's sign of life, which tells how much it holds now."""
        for other in state.disks:
            if other.view == state.disks[place].view:
                heard = self._heartbeat(other)
                yield self._changed(
                    state,
                    place,
                    lambda chain, outputs, other=other, heard=heard: (  # type: ignore[misc]
                        chain.handle_successor_heartbeat(LATER, other.replica, heard, outputs)
                    ),
                )

    def _heartbeat(self, disk: Disk) -> Heartbeat:
        registers = Registers()
        for entry in disk.entries:
            registers.apply(entry)
        return Heartbeat(disk.view, disk.synced, len(disk.entries), 0, True, True, False, registers.history_digest)

    # --- what happens to the group -------------------------------------------------------------------------------

    def _wipe(self, state: ChainState, place: int) -> Iterator[ChainState]:
        """Lose a disk, where all others hold the state in the newest view: so many losses are to be borne."""
        newest = state.views[-1]
        others = [disk for other, disk in enumerate(state.disks) if other != place]
        caught_up = all(disk.synced == disk.view == newest.number for disk in others)
        if state.wipes < self.wipes and caught_up:
            replica = state.disks[place].replica
            empty = Disk(Replica(replica.identity + "'", replica.address, "z"), 0, 0, ())
            disks = (*state.disks[:place], empty, *state.disks[place + 1 :])
            yield replace(state, disks=disks, wipes=state.wipes + 1)

    def _decide(self, state: ChainState) -> Iterator[ChainState]:
        """Have the next view decided, by each majority that may promise; whoever has not promised counts as gone."""
        newest = state.views[-1]
        if len(state.views) >= self.views:
            return
        able = [disk for disk in state.disks if disk.view == newest.number and newest.voter(disk.replica.identity)]
        for count in range(newest.majority, len(able) + 1):
            for some in combinations(able, count):
                promises = {
                    disk.replica.identity: Promise(
                        newest.number + 1, Ballot(1, "a"), NO_BALLOT, None, disk.synced, len(disk.entries)
                    )
                    for disk in some
                }
                candidates = tuple(disk.replica for disk in state.disks if newest.voter(disk.replica.identity) is None)
                alive = set(promises) | {replica.identity for replica in candidates}
                view = next_view(
                    newest, MembershipObservation(alive, alive, set(), set(), candidates, 2 * LOSSES + 1), promises
                )
                if view is not None:
                    yield replace(state, views=(*state.views, view))

    # --- what has to hold ----------------------------------------------------------------------------------------

    def check(self, state: ChainState) -> None:
        """Check one state; raises AssertionError."""
        bases = [change.base for change in self.changes if change.version in state.acknowledged]
        assert len(set(bases)) == len(bases), "two changes of one version were acknowledged"
        newest = state.views[-1]
        serving = [disk for disk in state.disks if disk.view == disk.synced == newest.number]
        for version in (one for one in state.acknowledged if one > 0):
            holders = [disk for disk in state.disks if version in {entry.change.version for entry in disk.entries}]
            assert len(holders) >= LOSSES + 1 - state.wipes, f"{version} is on {len(holders)} disks"
            assert all(disk in holders for disk in serving), f"a replica of the newest view lacks {version}"
            for link in newest.chain:
                disk = next((one for one in state.disks if one.replica.identity == link.identity), None)
                complete = disk is not None and disk.synced >= link.joined_view
                assert not complete or disk in holders, f"a replica that may head the next view lacks {version}"
        order = {link.identity: place for place, link in enumerate(newest.chain)}
        serving.sort(key=lambda disk: order.get(disk.replica.identity, -1))
        for before, after in pairwise(serving):
            assert before.entries[: len(after.entries)] == after.entries, "a successor holds what is not before it"


def search(model: ChainModel, most: int) -> int:
    """Look through all states, `most` at most; tells how many. Raises AssertionError where one is wrong."""
    first = model.first()
    seen, left = {first}, [first]
    while left and len(seen) < most:
        for after in model.steps(left.pop()):
            if after not in seen:
                model.check(after)
                seen.add(after)
                left.append(after)
    return len(seen)
