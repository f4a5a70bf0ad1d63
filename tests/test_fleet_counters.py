"""Shared counters with a real disk and their API: rejections, persistence over restarts, and redirects."""

from __future__ import annotations

import asyncio
import json
import shutil
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest

from hophinge.coordination.counter_replication import CounterReplica
from hophinge.coordination.counters import Increment
from hophinge.coordination.dissemination import GossipRecord, GossipStore
from hophinge.coordination.messages import Heartbeat
from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.coordination.replica_state import ReplicaConfig
from hophinge.coordination.storage.volume import FileVolume
from hophinge.coordination.view import Replica
from hophinge.fleet.controlplane.api import ControlApi
from hophinge.fleet.controlplane.counter_api import MAX_BODY_BYTES, CounterApi
from hophinge.fleet.controlplane.counter_host import (
    COUNTER_TICK_S,
    COUNTERS_PREFIX,
    CounterDirectory,
    CounterEffects,
    CounterHost,
)
from hophinge.fleet.emulation.instance_server import FAILURES
from hophinge.fleet.emulation.loopback_fleet import LoopbackFleet
from hophinge.fleet.transport.connection_context import MEMORY
from hophinge.fleet.settings import Settings, parse_settings
from hophinge.fleet.transport.asgi import BodyTooLargeError
from hophinge.load.rig.conditions import Condition, wait_until
from tests.connection_wire import RecordedMemory
from tests.fleet_requests import BOUND_S, MACHINES

SETTINGS = {
    "node-name": "one",
    "ip": "127.0.0.1",
    "zone": "z",
    "internal-port-range": [7660, 7675],
    "seed-nodes": ["127.0.0.1:8146"],
    "counts-for-quorum": True,
}
CONTROL_ADDRESS = "127.0.0.1:8146"
VALID = b'{"id": "a", "by": 4}'


def _settings(folder: Path) -> Settings:
    return parse_settings({**SETTINGS, "data-dir": str(folder)})


def _replica() -> ReplicaStateMachine:
    me = Replica("disk-a", "127.0.0.1:7660", "z")
    return ReplicaStateMachine(ReplicaConfig(me, ("127.0.0.1:7660",), False, True, 0), Random(0), 0.0)


class Caller:
    """Calls the API as an ASGI server does."""

    def __init__(self, host: CounterHost | None, replica: ReplicaStateMachine, records: GossipStore) -> None:
        self.api = CounterApi(host, CounterDirectory(replica, records, Random(0)), CONTROL_ADDRESS)

    async def call(self, method: str, name: str, body: bytes = b"") -> tuple[int, dict[bytes, bytes], Any]:
        sent: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        await self.api.handle(method, name, receive, send)
        data = sent[1]["body"]
        return sent[0]["status"], dict(sent[0]["headers"]), json.loads(data) if data else None


@asynccontextmanager
async def _single_member(folder: Path) -> AsyncIterator[tuple[CounterHost, Caller]]:
    """Run a member with its own disk, in a group that tolerates no loss."""
    replica, records = _replica(), GossipStore()
    host = CounterHost(_settings(folder), replica, CounterEffects(lambda address, message: None, _ignore, records))

    async def tick() -> None:
        while True:
            host.tick()
            await asyncio.sleep(COUNTER_TICK_S)

    ticking = asyncio.create_task(tick())
    try:
        yield host, Caller(host, replica, records)
    finally:
        ticking.cancel()
        while host.commit.writing_since is not None:  # the disk thread reports to this loop
            await asyncio.sleep(0)


def _ignore(records: list[GossipRecord]) -> None:
    """Publish nothing."""


def _play(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, BOUND_S))


async def _total(caller: Caller, name: str) -> int:
    """Read a total, retrying while the member responds with 503."""
    while True:
        status, _, body = await caller.call("GET", name)
        if status == 200:
            return int(body["total"])
        assert status == 503
        await asyncio.sleep(COUNTER_TICK_S)


def test_increments_survive_restarts_but_not_the_loss_of_the_disk(tmp_path: Path) -> None:
    async def play() -> None:
        async with _single_member(tmp_path) as (host, caller):
            assert (await caller.call("POST", "t", VALID))[0] == 200
            assert (await caller.call("POST", "t", VALID))[0] == 200
            assert (await caller.call("POST", "t", b'{"id": "b", "by": -6}'))[0] == 200
            assert (await caller.call("POST", "t", b'{"id": "c", "by": 0}'))[0] == 200
            assert await _total(caller, "t") == -2
            assert await _total(caller, "new") == 0
            assert host.status().increments == 3
        async with _single_member(tmp_path) as (host, caller):
            assert await _total(caller, "t") == -2
            assert host.commit.store.scrub() == []
        shutil.rmtree(tmp_path)
        async with _single_member(tmp_path) as (host, caller):
            assert (await caller.call("GET", "t"))[0] == 503, (
                "a member with a new disk waits for increments that others may have"
            )
            assert await _total(caller, "t") == 0

    _play(play())


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{",
        b'{"id": "a"}',
        b'{"by": 1}',
        b'{"id": "", "by": 1}',
        b'{"id": 7, "by": 1}',
        b'{"id": "a", "by": true}',
        b'{"id": "a", "by": 1.5}',
        b'{"id": "a", "by": "1"}',
        b'{"id": "a", "by": 99999999999999999999}',
        b'{"id": "%s", "by": 1}' % (b"x" * 300),
        b'{"id": "\\ud800", "by": 1}',
    ],
)
def test_an_invalid_increment_is_answered_with_findings_and_stores_nothing(tmp_path: Path, body: bytes) -> None:
    async def play() -> None:
        async with _single_member(tmp_path) as (host, caller):
            status, _, reply = await caller.call("POST", "t", body)
            assert status == 400
            assert reply["findings"]
            assert host.machine.counters.count == 0

    _play(play())


def test_the_name_in_a_path_is_decoded_once() -> None:
    """Guards against decoding twice, which would merge two counters: the server has already decoded the path."""
    names: list[str] = []

    async def handler(method: str, name: str, receive: Any, send: Any) -> None:
        names.append(name)

    api = ControlApi(cast(Any, None), cast(Any, None))
    api.register("/v1/tallies/", handler)
    _play(
        api(
            {"method": "GET", "path": "/v1/tallies/50%41", "state": {MEMORY: RecordedMemory()}},
            cast(Any, None),
            cast(Any, None),
        )
    )
    assert names == ["50%41"]


def test_other_methods_and_large_bodies_are_rejected(tmp_path: Path) -> None:
    async def play() -> None:
        async with _single_member(tmp_path) as (host, caller):
            status, headers, _ = await caller.call("DELETE", "t")
            assert (status, headers[b"allow"]) == (405, b"GET, POST")
            with pytest.raises(BodyTooLargeError):
                await caller.call("POST", "t", b" " * MAX_BODY_BYTES + VALID)
            assert (await caller.call("POST", "t" * 300, VALID))[0] == 400
            assert host.machine.counters.count == 0

    _play(play())


def test_a_failed_disk_rejects_new_increments_and_acknowledges_only_synced_ones(tmp_path: Path) -> None:
    async def play() -> None:
        async with _single_member(tmp_path) as (host, caller):
            await _total(caller, "t")
            volume = host.commit.store.volume
            sync, failures = volume.sync, [OSError(28, "no space left on device")]

            def failing(name: str) -> None:
                if failures:
                    raise failures[0]
                sync(name)

            volume.sync = failing  # type: ignore[method-assign]
            pending = asyncio.create_task(caller.call("POST", "t", VALID))
            while host.commit.is_writable:
                await asyncio.sleep(COUNTER_TICK_S)
            await asyncio.sleep(2 * COUNTER_TICK_S)
            assert not pending.done()
            status, headers, _ = await caller.call("POST", "t", b'{"id": "b", "by": 1}')
            assert status == 503
            assert b"retry-after" in headers
            assert host.machine.counters.get("b") is None
            failures.clear()
            assert (await pending)[0] == 200, "the complete state, which contains it, is synced now"
        async with _single_member(tmp_path) as (host, caller):
            assert await _total(caller, "t") == 4

    _play(play())


def test_a_member_starts_on_a_full_disk_and_stores_counters_once_it_is_writable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a control member that ends at each start because the first write of its counters fails."""
    write, failures = FileVolume.write, [OSError(28, "no space left on device")]

    def failing(volume: FileVolume, name: str, offset: int, data: bytes) -> None:
        if failures:
            raise failures[0]
        write(volume, name, offset, data)

    async def play() -> None:
        monkeypatch.setattr(FileVolume, "write", failing)
        async with _single_member(tmp_path) as (host, caller):
            while host.commit.is_writable:
                await asyncio.sleep(COUNTER_TICK_S)
            await asyncio.sleep(2 * COUNTER_TICK_S)
            assert (await caller.call("POST", "t", VALID))[0] == 503
            failures.clear()
            while not host.commit.is_writable:
                await asyncio.sleep(COUNTER_TICK_S)
            await asyncio.sleep(2 * COUNTER_TICK_S)
            assert (await caller.call("POST", "t", VALID))[0] == 200
        async with _single_member(tmp_path) as (host, caller):
            assert await _total(caller, "t") == 4

    _play(play())


def test_a_draining_member_rejects_new_increments_and_answers_pending_ones_as_unknown(tmp_path: Path) -> None:
    async def play() -> None:
        async with _single_member(tmp_path) as (host, caller):
            pending = asyncio.create_task(caller.call("POST", "t", VALID))
            while not host.pending_requests:
                await asyncio.sleep(0)
            host.machine.unsynced["a"].record_number += 1  # it is never synced
            host.begin_drain()
            assert host.is_required()
            assert (await caller.call("POST", "t", b'{"id": "b", "by": 1}'))[0] == 503
            host.answer_pending_unknown()
            assert (await pending)[0] == 504
            assert not host.is_required()

    _play(play())


def test_full_counters_reject_new_identifiers_only(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("hophinge.coordination.counter_replication.MAX_INCREMENTS", 1)

    async def play() -> None:
        async with _single_member(tmp_path) as (host, caller):
            assert (await caller.call("POST", "t", VALID))[0] == 200
            assert (await caller.call("POST", "t", b'{"id": "b", "by": 1}'))[0] == 503
            assert (await caller.call("POST", "t", VALID))[0] == 200
            assert host.machine.counters.count == 1

    _play(play())


def test_a_member_without_a_disk_redirects_to_a_counter_member_of_its_zone() -> None:
    async def play() -> None:
        replica, records = _replica(), GossipStore()
        caller = Caller(None, replica, records)
        assert (await caller.call("GET", "t"))[0] == 503
        now = asyncio.get_running_loop().time()
        heartbeat = Heartbeat(1, 1, 0, 0, True, True, False, b"")
        members = [Replica("disk-b", "10.0.0.2:7660", "y"), Replica("disk-c", "10.0.0.3:7660", "z")]
        unannounced = Replica("disk-d", "10.0.0.4:7660", "z")
        for member in (*members, unannounced):
            replica.peers.record_heartbeat(now, member, heartbeat)
        for member in members:
            record = GossipRecord(COUNTERS_PREFIX + member.identity, (1, 0), member.address.encode())
            records.store_if_newer(now, record)
        for _ in range(8):
            status, headers, _ = await caller.call("POST", "a b/c", VALID)
            assert (status, headers[b"location"]) == (307, b"http://10.0.0.3:8146/v1/tallies/a%20b%2Fc")
        replica.peers.record_heartbeat(now, members[1], replace(heartbeat, is_writable=False))
        status, headers, _ = await caller.call("GET", "t")
        assert headers[b"location"] == b"http://10.0.0.2:8146/v1/tallies/t"

    _play(play())


def test_a_member_announces_itself_and_deletes_the_record_of_the_disk_it_replaces(tmp_path: Path) -> None:
    async def play() -> None:
        replica, records = _replica(), GossipStore()
        published: list[GossipRecord] = []
        records.store_if_newer(0.0, GossipRecord(COUNTERS_PREFIX + "disk-old", (1, 0), b"127.0.0.1:7660"))
        records.store_if_newer(0.0, GossipRecord(COUNTERS_PREFIX + "disk-b", (1, 0), b"10.0.0.2:7660"))
        effects = CounterEffects(lambda address, message: None, published.extend, records)
        host = CounterHost(_settings(tmp_path), replica, effects)
        host.tick()
        while host.commit.writing_since is not None:
            await asyncio.sleep(0)
        assert {record.key: record.is_deleted for record in published} == {
            COUNTERS_PREFIX + "disk-a": False,
            COUNTERS_PREFIX + "disk-old": True,
        }
        assert set(host.machine.peers.known) == {"disk-b"}

    _play(play())


# --- several processes ----------------------------------------------------------------------------------------------


async def _call(fleet: LoopbackFleet, number: int, method: str, name: str, body: bytes = b"") -> tuple[int, Any]:
    address = fleet.controls[number]
    try:
        reply = await fleet.call(address, method, f"/v1/tallies/{name}", body, [(b"Host", b"c")])
    except FAILURES:
        return 0, None
    return reply.status, json.loads(reply.body) if reply.body else None


def _reads(fleet: LoopbackFleet, number: int, name: str, total: int) -> Condition:
    async def look() -> tuple[bool, str]:
        status, body = await _call(fleet, number, "GET", name)
        return status == 200 and body == {"total": total}, f"{status} {body}"

    return Condition(fleet.control(number), f"reads {total}", look)


def _adds(fleet: LoopbackFleet, number: int, name: str, identifier: str, amount: int) -> Condition:
    async def look() -> tuple[bool, str]:
        body = json.dumps({"id": identifier, "by": amount}).encode()
        status, reply = await _call(fleet, number, "POST", name, body)
        return status == 200, f"{status} {reply}"

    return Condition(fleet.control(number), f"adds {identifier}", look)


def test_processes_count_each_increment_once_despite_partitions_restarts_and_a_lost_disk(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await fleet.start()
            everywhere = range(MACHINES)
            await wait_until([_adds(fleet, 0, "t", "a", 4)], BOUND_S)
            await wait_until([_adds(fleet, number, "t", "a", 4) for number in everywhere], BOUND_S)
            await wait_until([_reads(fleet, number, "t", 4) for number in everywhere], BOUND_S)
            fleet.partition(2)
            await wait_until([_adds(fleet, 2, "t", "b", 10), _adds(fleet, 0, "t", "c", 100)], BOUND_S)
            await wait_until([_reads(fleet, 2, "t", 14), _reads(fleet, 0, "t", 104)], BOUND_S)
            fleet.heal()
            await wait_until([_reads(fleet, number, "t", 114) for number in everywhere], BOUND_S)
            await fleet.control(1).kill()
            shutil.rmtree(fleet.data_folder(1))
            await fleet.processes.start("control-1")
            await wait_until([_reads(fleet, 1, "t", 114)], BOUND_S)
            await fleet.processes.kill(*(f"control-{number}" for number in everywhere))
            await fleet.processes.start(*(f"control-{number}" for number in everywhere))
            await wait_until([_reads(fleet, number, "t", 114) for number in everywhere], BOUND_S)

    asyncio.run(run())


def test_counters_are_restored_from_the_stored_state_and_the_log(tmp_path: Path) -> None:
    async def play() -> None:
        async with _single_member(tmp_path) as (host, _):
            increments = [Increment(f"id-{number}", "t", number) for number in range(20)]
            await asyncio.gather(*(host.add(increment) for increment in increments[:10]))
            host.commit.write_state()
            await asyncio.gather(*(host.add(increment) for increment in increments[10:]))
            root = host.machine.counters.root
        async with _single_member(tmp_path) as (host, _):
            assert isinstance(host.machine, CounterReplica)
            assert host.machine.counters.root == root

    _play(play())
