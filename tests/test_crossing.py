"""Nothing of one request, volume, connection or configuration may affect another; on real connections."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web

from tests import restarting
from tests.stand_in import OBJECT, VOLUME, Backend, DiscoveryAgent, Wire, held_by, headers, run, setup, until, world
from tests.test_net import READ, WRITE

OTHER = "00000003b4d60022"


def classes(*rows: dict[str, Any]) -> dict[str, Any]:
    """Return settings with the given classes; missing values are those of a read that may be repeated."""
    defaults = {
        "GoalTimeUs": 120_000,
        "DeadlineUs": 750_000,
        "Effect": "pure",
        "Group": "all",
        "Importance": 1,
        "LateWorth": 0.2,
    }
    return setup(RequestClasses=[{**defaults, **row} for row in rows])


def plans(*rows: dict[str, Any]) -> dict[str, Any]:
    """Return settings with the given plans; missing values are those of a plan without a limit."""
    defaults = {"BaseRate": 40, "Reserve": 20, "Proportion": 1, "Price": 1}
    return setup(Grades=[{**defaults, **row} for row in rows])


async def request_status(wire: Wire, target: str = READ, number: int = 1, method: str = "GET", **changes: str) -> int:
    """Send a request and return the status of its answer."""
    wire.send(target, headers(number, **changes), method, b"x" if method == "PUT" else b"")
    return (await wire.receive())[0]


def test_classes_and_plans_with_a_common_prefix_are_distinguished_in_any_order() -> None:
    names = ["get-many", "get", "get-and-set", "get-m"]

    async def main() -> None:
        async with world(Backend(0)) as made:
            made.backends[0].objects[f"{VOLUME}/{OBJECT}"] = b"kept"
            settings = classes(*({"Name": name} for name in names))
            settings["Grades"] = [{**settings["Grades"][0], "Name": name} for name in ("t2", "t", "t-2")]
            service = await made.head(settings=settings)
            wire = await made.wire(service)
            number = 0
            for times, name in enumerate(names, 1):
                for at in range(times):
                    number += 1
                    plan = ("t", "t-2", "t2")[at % 3]
                    assert await request_status(wire, f"/{name}/{VOLUME}/{OBJECT}", number, X_Qos_Policy=plan) == 200
            figures = service.metrics.ended
            assert [figures[name, "fulfilled"] for name in names] == [1, 2, 3, 4]
            for name in ("get-", "ge", "get-many-", "GET"):
                assert await request_status(wire, f"/{name}/{VOLUME}/{OBJECT}", 99) == 404
            for plan in ("t-", "", "T", "t 2"):
                assert await request_status(wire, f"/get/{VOLUME}/{OBJECT}", 99, X_Qos_Policy=plan) == 400

    run(main())


def test_the_deadline_of_one_client_makes_no_other_request_of_its_class_late() -> None:
    """Late requests earn nothing here, so that a request that counts as late is not sent while its node is busy."""

    async def main() -> None:
        async with world(Backend(0)) as made:
            backend, number = made.backends[0], 0

            async def slowly(_: web.BaseRequest, __: bytes) -> None:
                await asyncio.sleep(0.03 * (number % 2))  # some answers show work of others

            backend.behave = slowly
            backend.objects[f"{VOLUME}/{OBJECT}"] = b"kept"
            service = await made.head(settings=classes({"Name": "record-read", "LateWorth": 0.0}))
            wire = await made.wire(service)
            for number in range(1, 9):
                assert await request_status(wire, READ, number) == 200
            scheduler = service.exchange.scheduler
            assert scheduler.nodes["s-0"].queue_delay > 0
            # A client that waits far beyond the deadline of the class.
            assert await request_status(wire, READ, 9, X_Remaining_Ms="600000") in (200, 503)
            assert [await request_status(wire, READ, number) for number in range(10, 14)] == [200] * 4

    run(main())


def test_the_number_of_heads_in_one_request_reduces_no_other_request_s_share_of_a_limit() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            made.backends[0].objects[f"{VOLUME}/{OBJECT}"] = b"kept"
            limited = {"Name": "priority", "Limit": 400, "CapDepth": 800, "LimitSlack": 80}
            wire = await made.wire(await made.head(settings=plans(limited)))
            assert await request_status(wire, READ, 1, X_Placement="units=1,shard=0,hosts=1") in (200, 503)
            assert await request_status(wire, READ, 2, X_Placement="units=1,shard=0,hosts=999999") in (200, 503)
            await asyncio.sleep(0.1)  # 40 units of the volume's limit are refilled meanwhile
            assert await request_status(wire, READ, 3, X_Placement="units=1,shard=0,hosts=1") == 200

    run(main())


def test_a_volume_under_another_plan_has_that_plans_limit() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            made.backends[0].objects[f"{VOLUME}/{OBJECT}"] = b"kept"
            tight = {"Name": "basic", "Limit": 0.1, "CapDepth": 0.1}
            wire = await made.wire(await made.head(settings=plans(tight, {"Name": "priority"})))
            assert await request_status(wire, READ, 1, X_Qos_Policy="basic") == 503
            assert await request_status(wire, READ, 2, X_Qos_Policy="priority") == 200

    run(main())


def test_requests_in_order_wait_only_for_the_same_object_of_the_same_volume() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            release, backend = asyncio.Event(), made.backends[0]

            async def hold(request: web.BaseRequest, _: bytes) -> None:
                if VOLUME in request.raw_path:
                    await release.wait()

            backend.behave = hold
            service = await made.head(settings=classes({"Name": "transfer-write", "Sequential": True}))
            first, second, third = [await made.wire(service) for _ in range(3)]
            first.send(WRITE, headers(1), "PUT", b"x")
            await until(lambda: len(backend.seen) == 1)
            third.send(WRITE, headers(3), "PUT", b"x")  # for the same object: it waits
            try:
                assert await request_status(second, f"/transfer-write/{OTHER}/{OBJECT}", 2, "PUT") == 200
                assert len(backend.seen) == 2
            finally:
                release.set()
            assert [(await wire.receive())[0] for wire in (first, third)] == [200, 200]

    run(main())


@pytest.mark.parametrize("zones", [["hall-a"], ["hall-b"], ["x"], []])
def test_a_repeat_stays_in_its_zone_even_if_the_settings_do_not_name_all_zones(zones: list[str]) -> None:
    async def main() -> None:
        async with world(Backend(0, "s-a"), Backend(0, "s-b")) as made:

            async def lost(request: web.BaseRequest, _: bytes) -> None:
                if request.transport is not None:
                    request.transport.abort()

            for backend in made.backends:
                backend.behave = lost
            made.agent.targets["s-b"].az = "hall-b"  # the other one is in hall-a
            settings = classes(
                {"Name": "transfer-write", "Effect": "token", "Group": "zone", "DedupWindowUs": 5_000_000}
            )
            service = await made.head(settings={**settings, "Zones": zones})
            wire = await made.wire(service)
            for number in range(1, 8):  # new objects, of which each backend gets some first
                await request_status(
                    wire,
                    f"/transfer-write/{VOLUME}/{number:016x}",
                    number,
                    "PUT",
                    Idempotency_Key="a",
                    X_Placement="units=1,shard=-1,hosts=1",
                )
                await until(lambda: not service.exchange.open)
            seen = [{fields["X-Txn"] for fields in backend.headers} for backend in made.backends]
            assert all(seen) and not set.intersection(*seen)

    run(main())


@pytest.mark.parametrize(
    ("caps", "most"), [({"RetryAfter": True, "MaxRetryAfterUs": 200_000}, 0.2), ({"RetryAfter": False}, 0.0)]
)
def test_the_retry_delay_of_a_head_at_its_capacity_is_within_the_settings(caps: dict[str, Any], most: float) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head(settings=setup(Caps=caps))
            service.front.max_busy = 0
            wire = await made.wire(service)
            wire.send(READ, headers(1))
            status, fields, _ = await wire.receive()
            assert status == 503 and service.counters.counts["requests_too_many"] == 1
            assert float(fields.get("retry-after", "0")) <= most

    run(main())


def test_rejections_by_one_discovery_address_delay_no_call_to_another() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            elsewhere = DiscoveryAgent()
            await elsewhere.open()
            try:
                service = await made.head(settings=setup(Discovery="on_request", Balancers=200))
                discovery = service.discovery
                discovery.pacer.first_rejected_backoff_s = 0.01  # a hundredth of the initial backoff for 200 heads
                made.agent.away = elsewhere.away = "0"
                await made.agent.tell()
                await until(lambda: discovery.pacer.rejections >= 7)  # the next pause: 0.6 to 1.9 s
                refused = len(elsewhere.asked)
                discovery.follow(elsewhere.endpoint)
                await until(lambda: len(elsewhere.asked) > refused)
                elsewhere.away, elsewhere.targets = "", {"s-new": made.backends[0].target()}
                since = asyncio.get_running_loop().time()
                await until(lambda: len(elsewhere.asked) > refused + 1)
                assert asyncio.get_running_loop().time() - since < 0.4
            finally:
                await elsewhere.close()

    run(main())


@pytest.mark.parametrize("deadline_ms", [10_000, 30_000])
def test_a_request_that_would_outlast_the_head_has_its_answer_before_the_head_is_killed(
    tmp_path: Path, deadline_ms: int
) -> None:
    """The deadline of its class exceeds the 3 s that the platform grants at most; another class has a usual one."""
    settings = classes(
        {"Name": "record-read"}, {"Name": "scan", "GoalTimeUs": 4_000_000, "DeadlineUs": deadline_ms * 1000}
    )

    async def main() -> None:
        release = asyncio.Event()
        async with restarting.start_head(tmp_path, Backend(0), settings=settings) as head_process:
            head_process.made.backends[0].behave = held_by(release)
            wire = await head_process.connect()
            wire.send(f"/scan/{VOLUME}/{OBJECT}", headers(1, X_Remaining_Ms=str(deadline_ms)))
            await until(lambda: bool(head_process.made.backends[0].seen))
            head_process.terminate()
            killing = asyncio.get_running_loop().call_later(3.7, head_process.process.send_signal, signal.SIGKILL)
            try:
                status, _, _ = await wire.receive()  # raises if the head is killed before
            finally:
                killing.cancel()
                release.set()
            assert status in (502, 503)

    run(main())


@pytest.mark.parametrize(("key", "window_ms", "status"), [("a", 5000, 503), ("a", 30, 502), ("", 5000, 502)])
def test_a_request_that_may_have_run_is_refused_only_while_its_key_deduplicates_a_repeat(
    key: str, window_ms: int, status: int
) -> None:
    """All bricks deduplicate this class for a while, by a key that not every client sends."""

    async def main() -> None:
        async with world(Backend(0)) as made:

            async def lost(request: web.BaseRequest, _: bytes) -> None:
                await asyncio.sleep(0.05)  # longer than the shorter window
                if request.transport is not None:
                    request.transport.abort()

            made.backends[0].behave = lost
            settings = classes({"Name": "transfer-write", "Effect": "token", "DedupWindowUs": window_ms * 1000})
            wire = await made.wire(await made.head(settings=settings))
            fields = {"Idempotency_Key": key} if key else {}
            assert await request_status(wire, WRITE, 1, "PUT", **fields) == status
            assert made.backends[0].seen

    run(main())
