"""Tests of tenant isolation at running heads: queueing, share leases, byte rates, connections, a surge."""

from __future__ import annotations

import asyncio
import io
import itertools
import json
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from aiohttp import ClientSession, TCPConnector, web

from hophinge.control import quota_shares
from tests.stand_in import headers, held_by, run, setup, until
from tests.test_control_service import GOOD, SETTINGS, TARGET, follower, installation, status


def put(installed: Any, head: Any, client: ClientSession, volume: str, number: int, remaining_ms: int = 750) -> Any:
    fields = headers(number, X_Placement="units=1,shard=-1,hosts=1", X_Remaining_Ms=str(remaining_ms))
    path = TARGET.format(number % 256).replace("00000003b4d60021", f"00000000000000{volume}")
    return status(client.put(installed.made.url(head) + path, data=b"x", headers=fields))


async def tenants_of(head: Any, client: ClientSession) -> dict[str, Any]:
    """Return the tenant usage that a head reports at its operators' address."""
    host, port = head.control_listener.sockets[0].getsockname()
    async with client.get(f"http://{host}:{port}/ops/tenants") as response:
        tenants: dict[str, Any] = json.loads(await response.text())["tenants"]
    return tenants


def test_queued_requests_end_once_and_a_client_that_leaves_frees_its_turn(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as installed, ClientSession(connector=TCPConnector(limit=0)) as client:
            gate = asyncio.Event()

            for backend in installed.made.backends:
                backend.behave = held_by(gate)
            classes = [{**row, "GoalTimeUs": 2_000_000, "DeadlineUs": 8_000_000} for row in SETTINGS["RequestClasses"]]
            head = await installed.head("n0", setup(RequestClasses=classes))
            spare = "(spare (depth 4 units) (wait 150 ms))"
            await installed.push(GOOD + spare + "(tenant aa (volumes 00000000000000aa))")
            await installed.runs(head, "1.1")
            assert head.streamed is not None
            router = head.streamed.router
            assert router.admission is not None
            tasks = [asyncio.create_task(put(installed, head, client, "aa", index)) for index in range(1, 13)]
            await until(lambda: router.admission is not None and router.admission.queue.queued_items == 8)
            tasks[11].cancel()
            await until(lambda: router.admission is not None and router.admission.queue.queued_items == 7)
            await until(lambda: sum(task.done() for task in tasks) == 8)  # seven are rejected after 150 ms
            gate.set()
            codes = Counter(await asyncio.gather(*tasks[:11]))
            assert codes == {200: 4, 503: 7} and not router.queued and not router.open_by_pool
            assert router.admission.units_in_flight == 0 and router.status()["refused_beyond_share"] == 7
            usage = (await tenants_of(head, client))["aa"]
            assert (usage["spare_units"], usage["refused"], usage["waiting"]) == (4.0, 7, 0)
            # Without the (spare ...) form, no request waits for admission any more.
            gate.clear()
            tasks = [asyncio.create_task(put(installed, head, client, "aa", index)) for index in range(20, 28)]
            await until(lambda: router.admission is not None and router.admission.queue.queued_items == 4)
            await installed.push(GOOD)
            await installed.runs(head, "1.2")
            gate.set()
            assert set(await asyncio.gather(*tasks)) <= {200, 503} and not router.queued

    run(main())


def test_shares_of_a_reserve_follow_demand_and_reserves_above_the_capacity_are_rejected(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with installation(tmp_path) as installed, ClientSession(connector=TCPConnector(limit=0)) as client:
            heads = [await installed.head(f"n{index}", {**SETTINGS, "Balancers": 2}) for index in range(2)]
            spare = "(spare (depth 100 units) (leases on) (capacity 50 units/s))"
            tenant = "(tenant aa (volumes 00000000000000aa) (reserve {} units/s))"
            # If no head is connected yet, the push waits for one to report the number of heads, which is 2.
            with pytest.raises(
                ConnectionError,
                match=r"with 2 heads the tenants' reserves add up to 120 units/s; the "
                r"heads serve only 100: lower reserves by 20",
            ):
                await installed.push(GOOD + spare + tenant.format(120))
            await installed.push(GOOD + spare + tenant.format(40))
            for head in heads:
                await installed.runs(head, "1.1")
            holders = [head.streamed.lease_holder for head in heads if head.streamed is not None]

            def shares() -> list[float]:
                return [holder.share("aa", heads[0].exchange.now_us()) for holder in holders]

            assert shares() == [0.0, 0.0]  # they have just started and have no lease yet
            await until(lambda: installed.service is not None and installed.service.shares.allocator.issuer is not None)
            assert installed.service is not None and installed.service.shares.allocator.issuer is not None
            installed.service.shares.allocator.issuer.no_grant_until_us = 0  # no lease was granted before
            await until(lambda: min(shares()) > 0)
            started_at, number = asyncio.get_running_loop().time(), itertools.count(1)

            async def send_requests() -> None:
                while True:
                    await put(installed, heads[0], client, "aa", next(number))
                    await asyncio.sleep(0.02)

            sender = asyncio.create_task(send_requests())
            max_sum = 0.0
            while shares()[0] < 0.8:
                max_sum = max(max_sum, sum(shares()))
                await asyncio.sleep(0.01)
            assert max_sum <= 1 + 1e-9 and asyncio.get_running_loop().time() - started_at < 30  # 6 s on an idle machine
            router = heads[0].streamed.router if heads[0].streamed is not None else None
            assert router is not None and router._tenant_shares("aa").reserve > 0.8 * 40
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)

    run(main())


def test_reserves_are_checked_against_the_number_of_heads_not_of_connected_heads(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(quota_shares, "HEAD_COUNT_TIMEOUT_S", 0.1)
    form = "(spare (depth 9 units) (capacity 50 units/s))(tenant aa (volumes 00000000000000aa) (reserve {} units/s))"

    async def main() -> None:
        async with installation(tmp_path) as installed:
            assert (await installed.push(GOOD + form.format(50)))["version"] == "1.1"  # a single head can guarantee it
            with pytest.raises(ConnectionError, match="no head has reported the number of heads yet"):
                await installed.push(GOOD + form.format(90))
            head = await installed.head("n0", {**SETTINGS, "Balancers": 2})
            await installed.runs(head, "1.1")
            assert (await installed.push(GOOD + form.format(90)))["version"] == "1.2"
            await installed.runs(head, "1.2")
            await installed.made.kill(head)
            assert installed.service is not None
            await installed.service.stop()
            await installed.control()  # no head is connected, but the stored number of heads is known
            assert (await installed.call_operator_api("Status"))["size"] == 2
            with pytest.raises(ConnectionError, match=r"with 2 heads .* lower reserves by 1 units/s"):
                await installed.push(GOOD + form.format(101))
            # The head count falls to 1: the service logs that the reserves exceed the capacity, and keeps them.
            head = await installed.head("n0", {**SETTINGS, "Balancers": 1})
            await until(lambda: any("with 1 heads" in line for line in installed.log))
            assert follower(head).active_name == "1.2"

    run(main())


def test_bodies_keep_to_the_byte_rate_of_their_tenant(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as installed:
            long_body = b"x" * (3 * 512 * 1024)

            async def send_long_body(request: web.BaseRequest, body: bytes) -> web.StreamResponse | None:
                return web.Response(body=io.BytesIO(long_body), headers={"Content-Length": str(len(long_body))})

            installed.made.backends[0].behave = send_long_body
            head = await installed.head("n0")
            await installed.push(GOOD + "(tenant aa (volumes 00000000000000aa)) (limit (tenant aa) (out 1 MiB/s))")
            await installed.runs(head, "1.1")
            durations_s = {}
            for name, number in (("bb", 1), ("aa", 2)):
                started_at = asyncio.get_running_loop().time()
                path = f"{installed.made.url(head)}/record-read/00000000000000{name}/7f3a9c21e0b4d655"
                async with installed.made.client.get(path, headers=headers(number)) as answer:
                    assert answer.status == 200 and await answer.read() == long_body
                durations_s[name] = asyncio.get_running_loop().time() - started_at
            assert durations_s["aa"] > 0.4  # the burst covers 1 MiB, the other 0.5 MiB are paced
            assert head.streamed is not None and list(head.streamed.router.limiter.byte_rates) == ["limit/aa/*/*"]

    run(main())


def test_connections_of_a_tenant_are_bounded(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as installed:
            head = await installed.head("n0")
            await installed.push(GOOD + "(tenant aa (volumes 00000000000000aa) (connections 2 connections))")
            await installed.runs(head, "1.1")
            wires = [await installed.made.wire(head) for _ in range(4)]
            codes = []
            for index, (wire, volume) in enumerate(zip(wires, ("aa", "aa", "aa", "bb"), strict=True)):
                wire.send(f"/record-read/00000000000000{volume}/7f3a9c21e0b4d655", headers(index))
                codes.append((await wire.receive())[0])
            assert (
                codes == [404, 404, 503, 404] and await wires[2].ended()
            )  # it gets a response, and its connection is closed
            wires[0].close()
            assert head.streamed is not None
            quota = head.streamed.document_tenants.connections
            await until(lambda: quota.open_counts["aa"] == 1)
            # A connection counts for the tenant of its last request, so the other connection can be used for it now.
            wires[3].send("/record-read/00000000000000aa/7f3a9c21e0b4d655", headers(9))
            assert (await wires[3].receive())[0] == 404 and quota.open_counts["aa"] == 2
            assert head.counters.counts["tenants_bounded"] == 1

    run(main())


def test_a_surge_at_a_running_head_is_rejected_for_its_own_tenant_only(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as installed, ClientSession(connector=TCPConnector(limit=0)) as client:

            async def slow(request: web.BaseRequest, body: bytes) -> web.StreamResponse | None:
                await asyncio.sleep(0.03)
                return None

            for backend in installed.made.backends:
                backend.behave = slow
            # Deadlines are so long that the core rejects no request as too late on a loaded machine; only tenancy does.
            classes = [{**row, "GoalTimeUs": 8_000_000, "DeadlineUs": 20_000_000} for row in SETTINGS["RequestClasses"]]
            head = await installed.head("n0", {**SETTINGS, "RequestClasses": classes})
            document = (
                GOOD
                + "(spare (depth 6 units) (wait 30 ms) (queue 16 requests))"
                + "".join(
                    f"(tenant {name} (volumes 00000000000000{name}) (reserve 20 units/s))"
                    for name in ("aa", "bb", "cc")
                )
            )
            await installed.push(document)
            await installed.runs(head, "1.1")
            assert follower(head).active_name == "1.1"
            number, tasks = itertools.count(1), dict[str, list[asyncio.Task[int]]]()
            for step in range(60):
                for name, count in (("aa", 1), ("bb", 1), ("cc", 12)):
                    for _ in range(count if name == "cc" or step % 3 == 0 else 0):
                        tasks.setdefault(name, []).append(
                            asyncio.create_task(put(installed, head, client, name, next(number), 20_000))
                        )
                await asyncio.sleep(0.02)
            codes = {name: Counter(await asyncio.gather(*rows)) for name, rows in tasks.items()}
            assert codes["aa"] == {200: 20} and codes["bb"] == {200: 20}
            assert codes["cc"][503] > 100 and codes["cc"][200] > 20
            usage = await tenants_of(head, client)
            assert all((usage[name]["refused"], usage[name]["reserved_units"]) == (0, 20.0) for name in ("aa", "bb"))
            assert usage["cc"]["refused"] == codes["cc"][503]

    run(main())
