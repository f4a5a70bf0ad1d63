"""Acknowledged departures survive a restart of all processes that acknowledged them."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path
from random import Random

import pytest

from hophinge.coordination.dissemination import Dissemination, GossipRecord
from hophinge.coordination.quorum_acknowledgements import QuorumView, RecordReplicated, ReplicateRecord
from hophinge.coordination.view import Replica
from hophinge.fleet.controlplane.departure_host import DepartureHost
from hophinge.fleet.controlplane.group_commit import DISK_RETRY_INTERVAL_S
from hophinge.fleet.registry.departures import DepartureLog, DepartureState, StoreRequest
from hophinge.fleet.registry.instance import DRAINING, READY, Instance, record_of
from hophinge.fleet.registry.registry import UNREGISTERED_RETENTION_S, UNREGISTERED_SEQUENCE, Registry
from hophinge.fleet.registry.service import InstanceService, RegistryContext
from tests.control_world import ControlWorld
from tests.virtual_loop import play

FORMATION_S = 6.0  # for the cluster to form
WATCH_S = 8.0  # twice the silence after which an instance counts as lost
ONE, TWO, THREE, FOUR, FIVE = (f"10.0.0.{number}:7660" for number in range(1, 6))
A, B, C = (Replica(name, f"{name}:1", "z") for name in "abc")
BOUND_S = 20.0


def _tombstone(identity: str) -> GossipRecord:
    return GossipRecord(f"instance/{identity}", (UNREGISTERED_SEQUENCE, 0), b"", True)


# --- restarts of all processes -----------------------------------------------------------------------------------


async def _kill_all(world: ControlWorld, lost_disk: str | None = None) -> None:
    """Kill all control members and heads, and start them again; the disk of `lost_disk` is wiped."""
    for address in world.members:
        if address == lost_disk:
            world.wipe(address)
        else:
            world.kill(address)
    await asyncio.sleep(0.7)
    for address in world.members:
        world.start(address)
    for address in world.heads:
        world.restart_head(address)


async def _ever_ready(world: ControlWorld, identity: str) -> set[str]:
    """Return the heads to which an instance is ready at any time within WATCH_S."""
    ready: set[str] = set()
    end = world.loop.time() + WATCH_S
    while world.loop.time() < end:
        ready.update(world.ready_at(identity))
        await asyncio.sleep(0.05)
    return ready


@pytest.mark.parametrize("lost_disk", [None, ONE, TWO])
@pytest.mark.parametrize("receiver", [ONE, THREE, FOUR])
def test_a_late_heartbeat_after_a_kill_of_all_does_not_restore_an_unregistered_instance(
    receiver: str, lost_disk: str | None
) -> None:
    """Guards against sending requests to an instance whose departure was acknowledged (review, case DRAIN).

    Without the departure record on disk, a late heartbeat registered it again, and it got hundreds of requests.
    """

    async def run() -> None:
        world = ControlWorld(3)
        await asyncio.sleep(FORMATION_S)
        assert await world.send_heartbeat(TWO, "i", READY, 1)
        soft_state = world.members[ONE].soft_state
        assert soft_state is not None
        assert await soft_state.unregister("i")
        await _kill_all(world, lost_disk)
        await asyncio.sleep(3.0)
        await world.send_heartbeat(receiver, "i", READY, 2)
        assert await _ever_ready(world, "i") == set()
        assert await world.send_heartbeat(receiver, "j", READY, 1)
        await asyncio.sleep(1.0)
        assert len(world.ready_at("j")) == len(world.heads)

    play(run())


@pytest.mark.parametrize("receiver", [ONE, THREE, FIVE])
def test_a_late_heartbeat_after_a_kill_of_all_makes_no_draining_instance_ready(receiver: str) -> None:
    async def run() -> None:
        world = ControlWorld(4)
        await asyncio.sleep(FORMATION_S)
        assert await world.send_heartbeat(TWO, "i", READY, 1)
        assert await world.send_heartbeat(TWO, "i", DRAINING, 3)
        await _kill_all(world)
        await asyncio.sleep(3.0)
        await world.send_heartbeat(receiver, "i", READY, 2)
        assert await _ever_ready(world, "i") == set()
        assert await world.send_heartbeat(receiver, "i", READY, 4)
        await asyncio.sleep(1.0)
        assert len(world.ready_at("i")) == len(world.heads), "an instance that reports itself ready again is used"

    play(run())


# --- acknowledgement of departures -------------------------------------------------------------------------------


def _service() -> InstanceService:
    service = InstanceService(A, Dissemination(Random(1)), Registry(1.0, 0.0))
    service.is_durable = True
    return service


def _context(live: str = "abc") -> RegistryContext:
    return RegistryContext(QuorumView(1, (A, B, C), 2, frozenset(live)), (), ("b:1", "c:1"))


@pytest.mark.parametrize("is_stored_first", [False, True])
def test_a_departure_is_acknowledged_once_it_is_on_this_disk_and_confirmed_by_the_others(is_stored_first: bool) -> None:
    service = _service()
    first_step = service.unregister(0.0, _context(), 7, "i")
    (request,) = first_step.to_store
    assert request == StoreRequest(_tombstone("i"), 7)
    replications = [address for address, message in first_step.messages if isinstance(message, ReplicateRecord)]
    assert replications == ["b:1", "c:1"], "the others sync in parallel with this member"
    steps = [service.record_stored(0.1, _context(), request)] if is_stored_first else []
    steps += [service.record_replicated(0.1, _context(), voter, RecordReplicated(7, 1)) for voter in "bc"]
    steps += [] if is_stored_first else [service.record_stored(0.1, _context(), request)]
    assert [step.completed for step in steps] == [[], [], [(7, True)]]


def test_a_member_does_not_count_itself_before_its_disk_holds_the_record() -> None:
    service = _service()
    service.unregister(0.0, _context("ab"), 7, "i")
    assert service.record_replicated(0.1, _context("ab"), "b", RecordReplicated(7, 1)).completed == []
    expired = service.tick(1.0, _context("ab"), True)
    assert expired.completed == [(7, False)]


def test_a_replicated_record_is_confirmed_once_it_is_stored() -> None:
    service = _service()
    step = service.replicate_record(0.0, _context(), "b:1", ReplicateRecord(9, _tombstone("i")))
    assert not any(isinstance(message, RecordReplicated) for _, message in step.messages)
    (request,) = step.to_store
    assert service.record_stored(0.1, _context(), request).messages == [("b:1", RecordReplicated(9, 1))]


# --- the log and its disk ----------------------------------------------------------------------------------------


def test_the_log_keeps_the_newest_record_of_each_instance_for_its_retention() -> None:
    log = DepartureLog()
    draining = record_of(Instance("i", "s", "10.0.0.9:80", "z", "v", 1, DRAINING, "", ()), 3)
    assert log.add(0.0, draining)
    assert not log.add(0.0, draining)
    assert log.add(1.0, _tombstone("i"))
    assert not log.add(1.0, draining)
    assert log.add(2.0, _tombstone("j"))
    assert set(log.state(3.0).records) == {_tombstone("i"), _tombstone("j")}
    assert log.state(1.5 + UNREGISTERED_RETENTION_S) == DepartureState((_tombstone("j"),))
    assert DepartureLog().restore(0.0, DepartureState((draining,)), [_tombstone("i")]) == [_tombstone("i")]


async def _store(host: DepartureHost, confirmed: asyncio.Queue[StoreRequest], identity: str) -> None:
    request = StoreRequest(_tombstone(identity), 1)
    host.store(request)
    assert await confirmed.get() == request


def test_stored_departures_survive_a_restart(tmp_path: Path) -> None:
    async def run() -> list[GossipRecord]:
        confirmed: asyncio.Queue[StoreRequest] = asyncio.Queue()
        host = DepartureHost(tmp_path, confirmed.put_nowait)
        recovered = host.recovered
        for identity in ("i", "j", "i"):
            await _store(host, confirmed, identity)
        return recovered

    assert asyncio.run(asyncio.wait_for(run(), BOUND_S)) == []
    assert set(asyncio.run(asyncio.wait_for(run(), BOUND_S))) == {_tombstone("i"), _tombstone("j")}


def test_a_full_disk_delays_no_departure_and_stores_it_once_there_is_space(tmp_path: Path) -> None:
    async def run() -> None:
        confirmed: asyncio.Queue[StoreRequest] = asyncio.Queue()
        host = DepartureHost(tmp_path, confirmed.put_nowait)
        await _store(host, confirmed, "i")
        store = host.commit.store
        append, save = store.append, store.save

        def fail(_: object) -> None:
            raise OSError(errno.ENOSPC, "no space left on device")

        store.append = store.save = fail  # type: ignore[method-assign, assignment]
        host.store(StoreRequest(_tombstone("j"), 2))
        while host.commit.is_writable:
            await asyncio.sleep(0)
        assert confirmed.empty()
        host.store(StoreRequest(_tombstone("j"), 2))
        assert confirmed.get_nowait().token == 2
        store.append, store.save = append, save  # type: ignore[method-assign]
        assert host.commit.failed_at is not None
        host.commit.failed_at -= DISK_RETRY_INTERVAL_S
        host.tick()
        assert (await confirmed.get()).token == 2
        restarted = DepartureHost(tmp_path, confirmed.put_nowait)
        assert set(restarted.recovered) == {_tombstone("i"), _tombstone("j")}

    asyncio.run(asyncio.wait_for(run(), BOUND_S))
