"""Control service and heads over sockets: pushes by operators, and how heads activate or reject the versions."""

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
        async with installation(tmp_path) as system:
            first_head = await system.head("n0")
            second_head = await system.head("n1", setup(Zones=["hall-a", "the-moon"]))
            assert (await system.push(GOOD))["version"] == "1.1"
            await system.runs(first_head, "1.1")
            await system.runs(second_head, "1.1")
            assert (await system.push(MOON))["version"] == "1.2"  # valid for one of the heads only
            await system.runs(second_head, "1.2")
            await until(lambda: follower(first_head).state.value == "turned down")
            status_now, rows = await system.call_operator_api("Status"), dict[str, Any]()
            while (
                rows.get("n1", {}).get("runs") != "1.2"
            ):  # a head runs a version before the service gets its acknowledgement
                status_now = await system.call_operator_api("Status")
                rows = {row["name"]: row for row in status_now["heads"]}
            assert (rows["n0"]["runs"], rows["n1"]["runs"]) == ("1.1", "1.2")
            assert "unknown zone the-moon" in rows["n0"]["reason"] and status_now["stage"] == "held"
            assert first_head.control_listener is not None
            host, port = first_head.control_listener.sockets[0].getsockname()
            async with system.made.client.get(f"http://{host}:{port}/ops/config") as answer:
                config_status = json.loads(await answer.text())
            assert config_status["running"] == "1.1" and "the-moon" in config_status["reason"]
            rollback = await system.call_operator_api("Rollback", to="1.1", at_once=True)
            assert rollback["version"] == "1.3"
            await system.runs(first_head, "1.3")
            await system.runs(second_head, "1.3")
            assert system.service is not None
            rollout = system.service.rollout
            await until(lambda: rollout.plan.stage.value == "done")
            history = await system.call_operator_api("History")
            assert [row["version"] for row in history["versions"]] == ["1.3", "1.2", "1.1"]
            assert {row["what"] for row in history["audit"]} >= {"push", "hold", "done"}

    run(main())


def test_invalid_documents_tokens_and_expectations_change_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as system:
            assert (await system.push("(hophinge 1) (limit (rate 5))", name="x.sexp"))["mistakes"] == [
                "x.sexp:1:27: (rate ...): 5 has no unit; write it like 120 units/s"
            ]
            with pytest.raises(ConnectionError, match="not a known operator token"):
                await system.call_operator_api("Push", token=HEAD_TOKEN, text=GOOD)
            with pytest.raises(ConnectionError, match=r"newest version is none, not 1\.7"):
                await system.push(GOOD, expect="1.7")
            await system.push(GOOD, expect="none")
            assert (await system.push(GOOD)) == {"version": "1.1", "unchanged": True}
            with pytest.raises(ConnectionError, match=r"no version 9\.9"):
                await system.call_operator_api("Rollback", to="9.9")
            with pytest.raises(ConnectionError, match="no rollout is paused"):
                await system.call_operator_api("Resume")
            unauthorized_head = await system.head("n0", token="a-token-of-strangers")
            await until(lambda: follower(unauthorized_head).counters["connects"] >= 2)
            assert (
                follower(unauthorized_head).active_name == "none" and unauthorized_head.is_ready()
            )  # it serves without a version

    run(main())


def test_version_change_does_not_affect_500_waiting_requests(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as system, ClientSession(connector=TCPConnector(limit=0)) as client:
            gate = asyncio.Event()
            for backend in system.made.backends:
                backend.behave = held_by(gate)
            settings = {
                **SETTINGS,
                "RequestClasses": [
                    {**row, "GoalTimeUs": 30_000_000, "DeadlineUs": 80_000_000} for row in SETTINGS["RequestClasses"]
                ],
            }
            head = await system.head("n0", settings)
            await system.push(GOOD)
            await system.runs(head, "1.1")
            assert head.streamed is not None
            router = head.streamed.router
            fields = {"X_Remaining_Ms": "80000", "X_Placement": "units=0.1,shard=-1,hosts=1"}
            target = system.made.url(head) + TARGET
            # The head's clock stands still during the wait. If it saw a backend take seconds for one request, it would
            # expect the others to miss their deadline, and would reject them regardless of the version change.
            clock = head.exchange.now_us = HeldClock(head.exchange.now_us)
            requests = [
                asyncio.create_task(
                    status(client.put(target.format(at % 256), data=b"x", headers=headers(at + 1, **fields)))
                )
                for at in range(500)
            ]
            await until(lambda: head.exchange.unanswered == 500)
            assert router.open_by_version == {(1, 1): 500}
            # The new version removes the pool of the waiting requests, and each limit that counts them.
            await system.push(
                "(hophinge 1) (pool other (zones hall-a)) (route (pools other)) (limit (open 1 requests))"
            )
            await system.runs(head, "1.2")
            assert router.open_by_version[1, 1] == 500 and router.status()["draining_versions"] == 1
            clock.go_on()
            gate.set()
            assert await asyncio.gather(*requests) == [200] * 500
            assert (
                not router.open_by_version.get((1, 1))
                and (1, 1) not in router.failover_levels.tables
                and not router.open_by_pool
            )

    run(main())


def test_limits_reject_at_once_with_retry_after_and_routes_keep_writes_in_their_pool(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as system:
            head = await system.head("n0")
            await system.push(
                "(hophinge 1) (pool one (bricks s-1)) (tenant alba (volumes 00000003b4d60021))"
                "(route (tenant alba) (class transfer-write) (pools one))"
                "(limit (tenant alba) (rate 1 units/s) (burst 3 s))"
            )
            await system.runs(head, "1.1")
            codes = [await write(system, head, at) for at in range(1, 4)]
            assert codes == [200] * 3
            assert [len(backend.objects) for backend in system.made.backends] == [0, 3, 0]
            started_s = time.monotonic()
            fields = headers(9, X_Placement="units=1,shard=-1,hosts=1")
            async with system.made.client.put(
                system.made.url(head) + TARGET.format(9), data=b"x", headers=fields
            ) as answer:
                assert answer.status == 503 and 0 < float(answer.headers["Retry-After"]) <= 1
            assert time.monotonic() - started_s < 0.6  # half the time that a write may take: it was not queued
            assert head.counters.counts["requests_turned_away"] == 1

    run(main())


def test_newer_stream_of_a_head_replaces_its_old_one(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as system:
            await system.push(GOOD)
            first_head = await system.head("n0")
            await system.runs(first_head, "1.1")
            second_head = await system.head("n0")
            await system.runs(second_head, "1.1")
            await until(lambda: follower(first_head).counters["connects"] >= 2)
            status_now = await system.call_operator_api("Status")
            assert [row["name"] for row in status_now["heads"]] == ["n0"]

    run(main())


def test_second_endpoint_takes_over(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as system:
            await system.push(GOOD)
            head = await system.head("n0", endpoints=["127.0.0.1:9", f"127.0.0.1:{system.port}"])
            await system.runs(head, "1.1")
            assert follower(head).counters["failovers"] >= 1

    run(main())
