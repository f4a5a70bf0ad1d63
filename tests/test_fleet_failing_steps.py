"""A step, a message or a signal that goes wrong in a process: nothing else that the process does has a part in it."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest

from hophinge.coordination.dissemination import Dissemination, Push, GossipRecord
from hophinge.coordination.registers import Register
from hophinge.coordination.view import Replica
from hophinge.fleet import program
from hophinge.fleet.configuration.evacuations import EVACUATED, EVACUATION_PREFIX, evacuation_key, evacuation_record
from hophinge.fleet.configuration.record import RECORD_KEY, configuration_record
from hophinge.fleet.configuration.routes import RouteTable
from hophinge.fleet.dataplane.cluster_state import APPLY_RETRY_INTERVAL_S, ClusterState
from hophinge.fleet.emulation.loopback_fleet import configuration_document
from hophinge.fleet.program import Signals, Tasks, call_periodically, run_periodically
from hophinge.fleet.registry.instance import INSTANCE_PREFIX, READY, Instance, record_of
from hophinge.fleet.registry.registry import Registry
from hophinge.fleet.registry.service import InstanceService, ServiceStep
from hophinge.fleet.settings import parse_settings
from hophinge.fleet.transport.frames import Hello, frame
from hophinge.fleet.transport.links import IncomingLink, Links
from tests.fleet_requests import ROUTES

BOUND_S = 20.0


# --- steps that fail ------------------------------------------------------------------------------------------------


async def _failing(fails: int, most: int, awaited: bool) -> tuple[int, bool]:
    """Run a periodic step, or round of work, whose first calls fail.

    Tells its calls, and whether the program was told to end.
    """
    ending, calls, enough = asyncio.Event(), 0, asyncio.Event()

    def step() -> None:
        nonlocal calls
        calls += 1
        if calls > fails + 3:
            enough.set()
        if calls <= fails:
            raise ValueError("a step")

    async def work() -> None:
        await asyncio.sleep(0)
        step()

    tasks = Tasks(ending)
    tasks.start(run_periodically(0.0, work, most) if awaited else call_periodically(0.0, step, most))
    waits = [asyncio.create_task(one.wait()) for one in (ending, enough)]
    await asyncio.wait(waits, timeout=BOUND_S, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    tasks.cancel()
    return calls, ending.is_set()


@pytest.mark.parametrize("awaited", [False, True])
def test_occasional_failures_of_a_periodic_step_do_not_end_the_program(awaited: bool) -> None:
    calls, ended = asyncio.run(_failing(3, 4, awaited))
    assert calls >= 7 and not ended


@pytest.mark.parametrize("awaited", [False, True])
def test_consecutive_failures_of_a_periodic_step_end_the_program(awaited: bool) -> None:
    calls, ended = asyncio.run(_failing(1_000, 4, awaited))
    assert (calls, ended) == (4, True)


def test_failed_background_work_ends_nothing() -> None:
    async def play() -> bool:
        ending, failed = asyncio.Event(), asyncio.Event()

        async def work() -> None:
            failed.set()
            raise ValueError("work")

        tasks = Tasks(ending)
        tasks.start_background(work())
        await failed.wait()
        while tasks.running:
            await asyncio.sleep(0)
        return ending.is_set()

    assert not asyncio.run(play())


def test_a_message_that_fails_affects_neither_its_connection_nor_later_messages() -> None:
    taken: list[object] = []

    def handler(hello: Hello, message: object) -> None:
        if isinstance(message, Push) and not message.records:
            raise ValueError("a message")
        taken.append(message)

    me = Replica("me", "127.0.0.1:1", "z")
    links = Links(me, "data", handler)
    incoming = IncomingLink(links)
    other = Push((GossipRecord("key", (1, 0), b""),))
    incoming.data_received(frame(Hello(me, "data")) + frame(other) + frame(Push(())) + frame(other))
    assert taken == [other, other]


def _cluster_state(send: Callable[[str, object], None], apply: Callable[[RouteTable], None]) -> ClusterState:
    settings = parse_settings(
        {
            "node-name": "one",
            "ip": "127.0.0.1",
            "zone": "z",
            "internal-port-range": [7660, 7675],
            "seed-nodes": ["127.0.0.1:8146"],
            "listen-addresses": {"front": "127.0.0.1:80", "ready": "127.0.0.1:81"},
        }
    )
    return ClusterState(settings, send, lambda identity, instance: None, apply, lambda: None)


def test_a_configuration_is_applied_even_where_forwarding_it_fails() -> None:
    async def play() -> None:
        def send(address: str, message: object) -> None:
            raise ValueError("it cannot be passed on")

        knowledge = _cluster_state(send, lambda table: None)
        knowledge.dissemination.neighbours = ("127.0.0.2:7661",)
        record = configuration_record(1, configuration_document(1, ROUTES))
        assert record.key == RECORD_KEY
        with pytest.raises(ValueError, match="passed on"):
            knowledge.receive("127.0.0.3:7661", Push((record,)))
        assert knowledge.route_table is not None and knowledge.route_table.version == 1

    asyncio.run(play())


def test_a_record_that_is_not_applied_is_tried_again_and_keeps_no_other_from_being_applied() -> None:
    """Guards against a head that holds a configuration in its store, and is never ready (review, case CONFIG)."""

    async def play() -> None:
        failures = [ValueError("once"), ValueError("twice")]
        zones: list[str] = []

        def apply(table: RouteTable) -> None:
            if failures:
                raise failures.pop()

        knowledge = _cluster_state(lambda address, message: None, apply)
        knowledge.listen(EVACUATION_PREFIX, lambda zone, record: zones.append(zone))
        unreadable = GossipRecord(f"{INSTANCE_PREFIX}i", (1, 0), b"no message")
        zone = evacuation_record(evacuation_key("z"), Register(1, b"", EVACUATED))
        record = configuration_record(1, configuration_document(1, ROUTES))
        knowledge.receive("127.0.0.3:7661", Push((record, unreadable, zone)))
        assert zones == ["z"]
        assert knowledge.route_table is None
        assert set(knowledge.unapplied) == {RECORD_KEY, unreadable.key}
        for _ in range(2):
            knowledge.last_apply_retry_at -= APPLY_RETRY_INTERVAL_S
            knowledge.tick()
        assert knowledge.route_table is not None
        assert set(knowledge.unapplied) == {unreadable.key}
        tombstone = GossipRecord(unreadable.key, (2, 0), b"", True)
        knowledge.receive("127.0.0.3:7661", Push((tombstone,)))
        assert not knowledge.unapplied

    asyncio.run(play())


def test_a_record_that_a_control_member_cannot_read_keeps_no_other_from_being_applied_and_passed_on() -> None:
    """Guards against an instance that one member never knows, as its record came behind one that cannot be read."""
    me = Replica("me", "10.0.0.1:7660", "z")
    service = InstanceService(me, Dissemination(Random(1)), Registry(1.0, 0.0))
    instance = Instance("i", "s", "10.0.0.9:80", "z", "v", 1, READY, "", ())
    unreadable = GossipRecord(f"{INSTANCE_PREFIX}j", (1, 0), b"no message")
    step = ServiceStep()
    service.receive(0.0, "10.0.0.2:7660", Push((unreadable, record_of(instance, 1))), ["10.0.0.3:7661"], step)
    assert list(service.registry.instances) == ["i"]
    assert step.unreadable_keys == [unreadable.key]
    assert [address for address, _ in step.messages] == ["10.0.0.3:7661"]


# --- signals --------------------------------------------------------------------------------------------------------

HANGUP_AT_ONCE = """
import os, signal
from hophinge.fleet import early_signals
os.kill(os.getpid(), signal.SIGHUP)
print("lives")
"""


def test_a_hangup_before_the_handlers_are_installed_does_not_end_a_process() -> None:
    run = subprocess.run(
        [sys.executable, "-c", HANGUP_AT_ONCE],
        cwd=Path(__file__).parent.parent,
        capture_output=True,
        text=True,
        timeout=BOUND_S,
    )
    assert (run.returncode, run.stdout) == (0, "lives\n")


def test_late_signals_do_not_change_the_exit_status() -> None:
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}

    async def play() -> None:
        signals = Signals()
        os.kill(os.getpid(), signal.SIGTERM)
        await signals.shutdown_requested.wait()
        signals.close()

    try:
        asyncio.run(play())
        for number in before:
            os.kill(os.getpid(), number)
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


def test_the_programs_ignore_hangups_before_slow_imports() -> None:
    for name in ("dataplane", "controlplane"):
        text = (Path(program.__file__).parent / name / "__main__.py").read_text()
        imports = [line for line in text.splitlines() if line.startswith(("import", "from"))]
        assert imports[0].startswith("from hophinge.fleet import early_signals")
