"""Tenants kept apart at real heads: waiting, leases of reserves, bytes, connections, a surge."""

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


def put(here: Any, head: Any, client: ClientSession, volume: str, number: int, remaining_ms: int = 750) -> Any:
    fields = headers(number, X_Placement="units=1,shard=-1,hosts=1", X_Remaining_Ms=str(remaining_ms))
    path = TARGET.format(number % 256).replace("00000003b4d60021", f"00000000000000{volume}")
    return status(client.put(here.made.url(head) + path, data=b"x", headers=fields))


async def tenants_of(head: Any, client: ClientSession) -> dict[str, Any]:
    """Tell what a head's staff are told of its tenants."""
    place, port = head.control_listener.sockets[0].getsockname()
    async with client.get(f"http://{place}:{port}/ops/tenants") as answer:
        found: dict[str, Any] = json.loads(await answer.text())["tenants"]
    return found


def test_requests_wait_at_a_head_end_once_and_a_tenant_that_goes_frees_its_turn(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here, ClientSession(connector=TCPConnector(limit=0)) as client:
            gate = asyncio.Event()

            for backend in here.made.backends:
                backend.behave = held_by(gate)
            classes = [{**row, "GoalTimeUs": 2_000_000, "DeadlineUs": 8_000_000} for row in SETTINGS["RequestClasses"]]
            head = await here.head("n0", setup(RequestClasses=classes))
            spare = "(spare (depth 4 units) (wait 150 ms))"
            await here.push(GOOD + spare + "(tenant aa (volumes 00000000000000aa))")
            await here.runs(head, "1.1")
            assert head.streamed is not None
            router = head.streamed.router
            assert router.admission is not None
            tasks = [asyncio.create_task(put(here, head, client, "aa", at)) for at in range(1, 13)]
            await until(lambda: router.admission is not None and router.admission.queue.queued_items == 8)
            tasks[11].cancel()
            await until(lambda: router.admission is not None and router.admission.queue.queued_items == 7)
            await until(lambda: sum(task.done() for task in tasks) == 8)  # seven are refused after 150 ms
            gate.set()
            codes = Counter(await asyncio.gather(*tasks[:11]))
            assert codes == {200: 4, 503: 7} and not router.queued and not router.open_by_pool
            assert router.admission.units_in_flight == 0 and router.status()["refused_beyond_share"] == 7
            told = (await tenants_of(head, client))["aa"]
            assert (told["spare_units"], told["refused"], told["waiting"]) == (4.0, 7, 0)
            # Without the form nothing waits any more.
            gate.clear()
            tasks = [asyncio.create_task(put(here, head, client, "aa", at)) for at in range(20, 28)]
            await until(lambda: router.admission is not None and router.admission.queue.queued_items == 4)
            await here.push(GOOD)
            await here.runs(head, "1.2")
            gate.set()
            assert set(await asyncio.gather(*tasks)) <= {200, 503} and not router.queued

    run(main())


def test_shares_of_a_reserve_follow_demand_between_heads_and_promises_that_cannot_be_kept_are_told(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here, ClientSession(connector=TCPConnector(limit=0)) as client:
            heads = [await here.head(f"n{at}", {**SETTINGS, "Balancers": 2}) for at in range(2)]
            spare = "(spare (depth 100 units) (leases on) (capacity 50 units/s))"
            tenant = "(tenant aa (volumes 00000000000000aa) (reserve {} units/s))"
            # No head may be connected yet: the push waits for one to tell how many there are, itself and another.
            with pytest.raises(
                ConnectionError,
                match=r"with 2 heads the tenants' reserves add up to 120 units/s; the "
                r"heads do 100: lower reserves by 20",
            ):
                await here.push(GOOD + spare + tenant.format(120))
            await here.push(GOOD + spare + tenant.format(40))
            for head in heads:
                await here.runs(head, "1.1")
            holders = [head.streamed.lease_holder for head in heads if head.streamed is not None]

            def shares() -> list[float]:
                return [holder.share("aa", heads[0].exchange.now_us()) for holder in holders]

            assert shares() == [0.0, 0.0]  # they have just started, and nothing told them what is safe
            await until(lambda: here.service is not None and here.service.shares.allocator.issuer is not None)
            assert here.service is not None and here.service.shares.allocator.issuer is not None
            here.service.shares.allocator.issuer.no_grant_until_us = 0  # nobody was ever granted anything here
            await until(lambda: min(shares()) > 0)
            since, number = asyncio.get_running_loop().time(), itertools.count(1)

            async def ask_on() -> None:
                while True:
                    await put(here, heads[0], client, "aa", next(number))
                    await asyncio.sleep(0.02)

            asking = asyncio.create_task(ask_on())
            most = 0.0
            while shares()[0] < 0.8:
                most = max(most, sum(shares()))
                await asyncio.sleep(0.01)
            assert most <= 1 + 1e-9 and asyncio.get_running_loop().time() - since < 30  # 6 s on a free machine
            router = heads[0].streamed.router if heads[0].streamed is not None else None
            assert router is not None and router._tenant_shares("aa").reserve > 0.8 * 40
            asking.cancel()
            await asyncio.gather(asking, return_exceptions=True)

    run(main())


def test_promises_are_judged_by_what_the_installation_is_not_by_who_is_connected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(quota_shares, "HEAD_COUNT_TIMEOUT_S", 0.1)
    form = "(spare (depth 9 units) (capacity 50 units/s))(tenant aa (volumes 00000000000000aa) (reserve {} units/s))"

    async def main() -> None:
        async with installation(tmp_path) as here:
            assert (await here.push(GOOD + form.format(50)))["version"] == "1.1"  # any one head keeps it
            with pytest.raises(ConnectionError, match="no head has reported the number of heads yet"):
                await here.push(GOOD + form.format(90))
            head = await here.head("n0", {**SETTINGS, "Balancers": 2})
            await here.runs(head, "1.1")
            assert (await here.push(GOOD + form.format(90)))["version"] == "1.2"
            await here.runs(head, "1.2")
            await here.made.kill(head)
            assert here.service is not None
            await here.service.stop()
            await here.control()  # nobody is connected, and it is known all the same
            assert (await here.call_operator_api("Status"))["size"] == 2
            with pytest.raises(ConnectionError, match=r"with 2 heads .* lower reserves by 1 units/s"):
                await here.push(GOOD + form.format(101))
            # A head that is alone now: what is in force is told to be too much, and goes on.
            head = await here.head("n0", {**SETTINGS, "Balancers": 1})
            await until(lambda: any("with 1 heads" in line for line in here.log))
            assert follower(head).active_name == "1.2"

    run(main())


def test_bodies_keep_to_their_tenant_s_bytes_a_second(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            long = b"x" * (3 * 512 * 1024)

            async def give(request: web.BaseRequest, body: bytes) -> web.StreamResponse | None:
                return web.Response(body=io.BytesIO(long), headers={"Content-Length": str(len(long))})

            here.made.backends[0].behave = give
            head = await here.head("n0")
            await here.push(GOOD + "(tenant aa (volumes 00000000000000aa)) (limit (tenant aa) (out 1 MiB/s))")
            await here.runs(head, "1.1")
            took = {}
            for name, number in (("bb", 1), ("aa", 2)):
                since = asyncio.get_running_loop().time()
                path = f"{here.made.url(head)}/record-read/00000000000000{name}/7f3a9c21e0b4d655"
                async with here.made.client.get(path, headers=headers(number)) as answer:
                    assert answer.status == 200 and await answer.read() == long
                took[name] = asyncio.get_running_loop().time() - since
            assert took["aa"] > 0.4  # 1 MiB was saved up, half of one is paced
            assert head.streamed is not None and list(head.streamed.router.limiter.byte_rates) == ["limit/aa/*/*"]

    run(main())


def test_connections_of_a_tenant_are_bounded_on_the_platform_s_front(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            head = await here.head("n0")
            await here.push(GOOD + "(tenant aa (volumes 00000000000000aa) (connections 2 connections))")
            await here.runs(head, "1.1")
            wires = [await here.made.wire(head) for _ in range(4)]
            codes = []
            for at, (wire, volume) in enumerate(zip(wires, ("aa", "aa", "aa", "bb"), strict=True)):
                wire.send(f"/record-read/00000000000000{volume}/7f3a9c21e0b4d655", headers(at))
                codes.append((await wire.receive())[0])
            assert codes == [404, 404, 503, 404] and await wires[2].ended()  # it is told, and its connection ends
            wires[0].close()
            assert head.streamed is not None
            held = head.streamed.document_tenants.connections
            await until(lambda: held.open_counts["aa"] == 1)
            # A connection stands for whom its last request was of: the other volume's may ask for this one now.
            wires[3].send("/record-read/00000000000000aa/7f3a9c21e0b4d655", headers(9))
            assert (await wires[3].receive())[0] == 404 and held.open_counts["aa"] == 2
            assert head.counters.counts["tenants_bounded"] == 1

    run(main())


def test_a_surge_at_a_real_head_is_refused_to_its_own_tenant(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here, ClientSession(connector=TCPConnector(limit=0)) as client:

            async def slow(request: web.BaseRequest, body: bytes) -> web.StreamResponse | None:
                await asyncio.sleep(0.03)
                return None

            for backend in here.made.backends:
                backend.behave = slow
            # Time enough that the core refuses none as too late, however the machine is loaded: tenancy alone decides.
            classes = [{**row, "GoalTimeUs": 8_000_000, "DeadlineUs": 20_000_000} for row in SETTINGS["RequestClasses"]]
            head = await here.head("n0", {**SETTINGS, "RequestClasses": classes})
            document = (
                GOOD
                + "(spare (depth 6 units) (wait 30 ms) (queue 16 requests))"
                + "".join(
                    f"(tenant {name} (volumes 00000000000000{name}) (reserve 20 units/s))"
                    for name in ("aa", "bb", "cc")
                )
            )
            await here.push(document)
            await here.runs(head, "1.1")
            assert follower(head).active_name == "1.1"
            number, tasks = itertools.count(1), dict[str, list[asyncio.Task[int]]]()
            for step in range(60):
                for name, each in (("aa", 1), ("bb", 1), ("cc", 12)):
                    for _ in range(each if name == "cc" or step % 3 == 0 else 0):
                        tasks.setdefault(name, []).append(
                            asyncio.create_task(put(here, head, client, name, next(number), 20_000))
                        )
                await asyncio.sleep(0.02)
            codes = {name: Counter(await asyncio.gather(*rows)) for name, rows in tasks.items()}
            assert codes["aa"] == {200: 20} and codes["bb"] == {200: 20}
            assert codes["cc"][503] > 100 and codes["cc"][200] > 20
            told = await tenants_of(head, client)
            assert all((told[name]["refused"], told[name]["reserved_units"]) == (0, 20.0) for name in ("aa", "bb"))
            assert told["cc"]["refused"] == codes["cc"][503]

    run(main())
