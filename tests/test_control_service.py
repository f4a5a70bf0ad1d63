"""Control service and heads over sockets: what operators push, and what heads do with it."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import pytest
from aiohttp import ClientSession, TCPConnector

from tests.held_clock import HeldClock
from tests.installation import (
    GOOD as GOOD,
    HEAD_TOKEN as HEAD_TOKEN,
    MOON,
    SETTINGS as SETTINGS,
    TARGET as TARGET,
    Installation as Installation,
    follower as follower,
    installation as installation,
    status as status,
    write,
)
from tests.stand_in import headers, held_by, run, setup, until


def test_pushed_versions_reach_heads_and_status_shows_them(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            one = await here.head("n0")
            two = await here.head("n1", setup(Zones=["hall-a", "the-moon"]))
            assert (await here.push(GOOD))["version"] == "1.1"
            await here.runs(one, "1.1")
            await here.runs(two, "1.1")
            assert (await here.push(MOON))["version"] == "1.2"  # good for one of them
            await here.runs(two, "1.2")
            await until(lambda: follower(one).state.value == "turned down")
            status_now, rows = await here.call_operator_api("Status"), dict[str, Any]()
            while (
                rows.get("n1", {}).get("runs") != "1.2"
            ):  # a head runs a version before the service gets its acknowledgement
                status_now = await here.call_operator_api("Status")
                rows = {row["name"]: row for row in status_now["heads"]}
            assert (rows["n0"]["runs"], rows["n1"]["runs"]) == ("1.1", "1.2")
            assert "unknown zone the-moon" in rows["n0"]["reason"] and status_now["stage"] == "held"
            assert one.control_listener is not None
            host, port = one.control_listener.sockets[0].getsockname()
            async with here.made.client.get(f"http://{host}:{port}/ops/config") as answer:
                shown = json.loads(await answer.text())
            assert shown["running"] == "1.1" and "the-moon" in shown["reason"]
            back = await here.call_operator_api("Rollback", to="1.1", at_once=True)
            assert back["version"] == "1.3"
            await here.runs(one, "1.3")
            await here.runs(two, "1.3")
            assert here.service is not None
            rollout = here.service.rollout
            await until(lambda: rollout.plan.stage.value == "done")
            history = await here.call_operator_api("History")
            assert [row["version"] for row in history["versions"]] == ["1.3", "1.2", "1.1"]
            assert {row["what"] for row in history["audit"]} >= {"push", "hold", "done"}

    run(main())


def test_invalid_documents_tokens_and_expectations_change_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            assert (await here.push("(hophinge 1) (limit (rate 5))", name="x.sexp"))["mistakes"] == [
                "x.sexp:1:27: (rate ...): 5 has no unit; write it like 120 units/s"
            ]
            with pytest.raises(ConnectionError, match="not a known operator token"):
                await here.call_operator_api("Push", token=HEAD_TOKEN, text=GOOD)
            with pytest.raises(ConnectionError, match=r"newest version is none, not 1\.7"):
                await here.push(GOOD, expect="1.7")
            await here.push(GOOD, expect="none")
            assert (await here.push(GOOD)) == {"version": "1.1", "unchanged": True}
            with pytest.raises(ConnectionError, match=r"no version 9\.9"):
                await here.call_operator_api("Rollback", to="9.9")
            with pytest.raises(ConnectionError, match="no rollout is paused"):
                await here.call_operator_api("Resume")
            stranger = await here.head("n0", token="a-token-of-strangers")
            await until(lambda: follower(stranger).counters["connects"] >= 2)
            assert follower(stranger).active_name == "none" and stranger.is_ready()  # it serves without

    run(main())


def test_version_change_does_not_affect_500_waiting_requests(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here, ClientSession(connector=TCPConnector(limit=0)) as client:
            gate = asyncio.Event()
            for backend in here.made.backends:
                backend.behave = held_by(gate)
            settings = {
                **SETTINGS,
                "RequestClasses": [
                    {**row, "GoalTimeUs": 30_000_000, "DeadlineUs": 80_000_000} for row in SETTINGS["RequestClasses"]
                ],
            }
            head = await here.head("n0", settings)
            await here.push(GOOD)
            await here.runs(head, "1.1")
            assert head.streamed is not None
            router = head.streamed.router
            fields = {"X_Remaining_Ms": "80000", "X_Placement": "units=0.1,shard=-1,hosts=1"}
            target = here.made.url(head) + TARGET
            # The wait takes no time by the head's clock: a brick that took seconds for one request would teach it that
            # the others cannot be served in time, and they would be refused for that, with no change of versions.
            clock = head.exchange.now_us = HeldClock(head.exchange.now_us)
            asked = [
                asyncio.create_task(
                    status(client.put(target.format(at % 256), data=b"x", headers=headers(at + 1, **fields)))
                )
                for at in range(500)
            ]
            await until(lambda: head.exchange.unanswered == 500)
            assert router.open_by_version == {(1, 1): 500}
            # The pool that they came under goes, and so does every limit that they hold.
            await here.push("(hophinge 1) (pool other (zones hall-a)) (route (pools other)) (limit (open 1 requests))")
            await here.runs(head, "1.2")
            assert router.open_by_version[1, 1] == 500 and router.status()["draining_versions"] == 1
            clock.go_on()
            gate.set()
            assert await asyncio.gather(*asked) == [200] * 500
            assert (
                not router.open_by_version.get((1, 1))
                and (1, 1) not in router.failover_levels.tables
                and not router.open_by_pool
            )

    run(main())


def test_limits_reject_at_once_with_retry_after_and_routes_keep_writes_in_their_pool(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            head = await here.head("n0")
            await here.push(
                "(hophinge 1) (pool one (bricks s-1)) (tenant alba (volumes 00000003b4d60021))"
                "(route (tenant alba) (class transfer-write) (pools one))"
                "(limit (tenant alba) (rate 1 units/s) (burst 3 s))"
            )
            await here.runs(head, "1.1")
            codes = [await write(here, head, at) for at in range(1, 4)]
            assert codes == [200] * 3
            assert [len(backend.objects) for backend in here.made.backends] == [0, 3, 0]
            since = time.monotonic()
            fields = headers(9, X_Placement="units=1,shard=-1,hosts=1")
            async with here.made.client.put(
                here.made.url(head) + TARGET.format(9), data=b"x", headers=fields
            ) as answer:
                assert answer.status == 503 and 0 < float(answer.headers["Retry-After"]) <= 1
            assert time.monotonic() - since < 0.6  # half of what a write may take: nobody held it back
            assert head.counters.counts["requests_turned_away"] == 1

    run(main())


def test_newer_stream_of_a_head_replaces_its_old_one(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            await here.push(GOOD)
            one = await here.head("n0")
            await here.runs(one, "1.1")
            two = await here.head("n0")
            await here.runs(two, "1.1")
            await until(lambda: follower(one).counters["connects"] >= 2)
            status_now = await here.call_operator_api("Status")
            assert [row["name"] for row in status_now["heads"]] == ["n0"]

    run(main())


def test_second_endpoint_takes_over(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            await here.push(GOOD)
            head = await here.head("n0", endpoints=["127.0.0.1:9", f"127.0.0.1:{here.port}"])
            await here.runs(head, "1.1")
            assert follower(head).counters["failovers"] >= 1

    run(main())
