"""Hard cases of bricks and discovery: late second answers, one hung in twenty, lists away into a release, resets."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import struct
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest
from aiohttp import web

from hophinge.head.service import Service
from hophinge.net import discovery_pacer
from hophinge.net.backend_connection import BackendConnection
from hophinge.net.discovery_pacer import DiscoveryPacer
from tests.servers import Backend, DiscoveryAgent, held_by
from tests.stand_in import OBJECT, VOLUME, Wire, World, headers, run, setup, until, world
from tests.test_net import READ, WRITE
from tests.test_net_answers import SOUND, raw
from tests.test_service import HOST, PORT, config, connected, program
from tests.test_streams import LONG, body_of, with_head

ANOTHERS = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nanother's"


def shards(number: int, **changes: Any) -> dict[str, Any]:
    return setup(Domain={**setup()["Domain"], "NShards": number}, **changes)


async def ask(wire: Wire, number: int, shard: int, left_ms: int = 750) -> int:
    """Read from a shard, or put a new object where it is -1."""
    target, method = (READ, "GET") if shard >= 0 else (WRITE, "PUT")
    fields = headers(number, X_Placement=f"units=1,shard={shard},hosts=1", X_Remaining_Ms=str(left_ms))
    wire.send(target, fields, method)
    return (await wire.receive())[0]


@pytest.mark.parametrize("unread", [False, True])
def test_a_late_second_answer_goes_to_nobody(unread: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """It comes after the first was taken: read by then, or still in the kernel as the next request is due."""

    async def test(made: World, service: Service, wire: Wire, backend: Backend) -> None:
        late, once, take = list[int](), raw(backend, SOUND), service.backends.pool.acquire
        backend.objects[f"{VOLUME}/{OBJECT}"] = b"true"

        async def twice(request: web.BaseRequest, body: bytes) -> web.StreamResponse | None:
            late.append(cast(asyncio.Transport, request.transport).get_extra_info("socket").fileno())
            return await once(request, body)

        async def just_then(endpoint: str) -> BackendConnection:
            if late:
                os.write(late.pop(), ANOTHERS)
            return await take(endpoint)

        backend.behave = twice
        wire.send(READ, headers(1))
        assert (await wire.receive())[2] == b"kept"
        monkeypatch.setattr(service.backends.pool, "acquire", just_then)
        if not unread:
            os.write(late.pop(), ANOTHERS)
            await until(lambda: not service.backends.registry.open)
        for number, client in ((2, await made.wire(service)), (3, wire)):
            client.send(READ, headers(number))
            assert (await client.receive())[::2] == (200, b"true")
        assert not late and len(backend.seen) == 3 and service.counters.counts["attempts_reset"] == 0

    with_head(test)


HUNG, HEADS = 7, 64
AIM_MS, LEFT_MS = 480, 3000  # a machine that stands still for a tenth of a second makes no brick look hung
AT_ONE, TRIALS = 256 // HEADS, LEFT_MS // (2 * AIM_MS)  # a head's part; one more in two aims, until it is given up


def test_a_hung_backend_in_twenty_holds_no_more_than_its_own_and_few_connections() -> None:
    async def main() -> None:
        async with world(*(Backend(shard) for shard in range(20))) as made:
            settings = shards(20, Balancers=HEADS)
            for one in settings["RequestClasses"]:
                one["GoalTimeUs"], one["DeadlineUs"] = AIM_MS * 1000, LEFT_MS * 1000
            service, hung = await made.head(settings=settings), made.backends[HUNG]
            hung.behave, roll, taken, lost, most = held_by(asyncio.Event()), service.backends.registry, 0, 0, 0

            async def client(first: int) -> None:
                nonlocal taken, lost, most
                wire = await made.wire(service)
                for number in range(first, first + 40):
                    status = await ask(wire, number, shard := number * 7 % 20 if number % 4 else -1, LEFT_MS)
                    most = max(most, sum(one.is_connected() for one in roll.open if one.endpoint == hung.endpoint))
                    if shard != HUNG:
                        taken, lost = taken + 1, lost + (status not in (200, 404))

            await asyncio.gather(*(client(1000 * one + one) for one in range(20)))
            assert 0 < most <= AT_ONE + TRIALS and lost <= max(AT_ONE, taken // 100), (most, lost, taken)

    run(main())


SCALE, AT_ONCE_S = 4.0, 0.5  # 8 s are played in 2 s; waits and pauses are as much shorter where lists are asked for
SCALED = ("FIRST_BACKOFF_S", "MAX_BACKOFF_S", "LIST_TIMEOUT_S", "MIN_WATCH_S", "WATCH_MARGIN_S", "CHAINED_CALL_S")


@pytest.mark.parametrize("way", ["silent", "refused", "turned away"])
@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_discovery_away_into_a_release_is_heard_once_it_is_back(
    mode: str, way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in SCALED if mode == "on_request" else ():
        monkeypatch.setattr(discovery_pacer, name, getattr(discovery_pacer, name) / SCALE)

    async def main() -> None:
        old, new = [Backend(shard % 4, f"{'ab'[shard // 4]}{shard % 4}") for shard in range(8)], Backend(2, "c2")
        async with world(*old, new) as made:
            agent, told_as = made.agent, made.agent._list  # each call is answered with the whole list
            monkeypatch.setattr(agent, "_list", lambda *_: told_as(True, list(agent.targets.values())))
            del agent.targets["c2"]
            service = await made.head(settings=shards(4, Discovery=mode))
            loop, phases, sent, stop = asyncio.get_running_loop(), service.exchange.phases, 0, False

            async def client() -> None:
                nonlocal sent
                wire = await made.wire(service)
                while not stop:
                    sent += 1
                    await ask(wire, sent, sent % 5 - 1)
                    await asyncio.sleep(0.004)

            clients = [loop.create_task(client()) for _ in range(4)]
            await until(lambda: agent.watching == 1)
            agent.silent, agent.away = way == "silent", "0" if way == "turned away" else ""
            if way == "refused":
                await agent.close()
            await agent.tell()  # ends the watch
            await until(lambda: agent.watching == 0)
            agent.targets = {one.name: one.target() for one in (*old[:4], new)}
            agent.targets |= {one.name: one.target("Terminating") for one in old[4:6]}
            agent.rev += 1
            await asyncio.sleep(8.0 / SCALE)
            if way == "refused":
                await agent.open()
            agent.silent, agent.away, since = False, "", loop.time()
            assert phases["b0"].value == "on"
            await until(lambda: phases["b0"].value == "draining")
            told = sent
            assert loop.time() - since < (AT_ONCE_S if mode == "pushed" else 6.0 / SCALE)
            await until(lambda: sent > told + 100 and len(new.seen) > 2)
            stop = True
            await asyncio.gather(*clients)
            assert set(phases) == {"a0", "a1", "a2", "a3", "b0", "b1", "c2"} and phases["b1"].value == "draining"
            assert all(max(int(one["X-Txn"], 16) for one in backend.headers) <= told for backend in old[4:])

    run(main())


def test_an_agent_beside_that_was_away_is_asked_at_once_by_a_head_of_many_too() -> None:
    pace = DiscoveryPacer(200, Random(1), True)
    assert all(0 < pace.record_rejection() <= 0.15 for _ in range(100))
    assert 0 < pace.record_rejection(2.0) <= 0.15  # what it has counts as told, whatever it advises


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_a_hangup_that_moves_discovery_from_a_silent_one_counts_at_once(mode: str, tmp_path: Path) -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(0, "s-new")) as made:
            (first, second), agent, there = made.backends, made.agent, DiscoveryAgent()
            await there.open()
            del agent.targets["s-new"]
            there.targets = {first.name: first.target("Terminating"), second.name: second.target()}
            told = {"settings": setup(Discovery=mode), "listen": f"{HOST}:{PORT}"}
            async with AsyncExitStack() as ends, program(config(tmp_path, discovery=agent.endpoint, **told)) as process:
                ends.push_async_callback(there.close)
                made.wires.append(wire := await connected())
                await until(lambda: agent.watching == 1)
                agent.silent, asked = True, len(agent.asked) + (mode == "pushed")
                await agent.tell()
                await until(lambda: len(agent.asked) > asked)
                config(tmp_path, discovery=there.endpoint, **told)
                process.send_signal(signal.SIGHUP)
                async with asyncio.timeout(2.0):
                    while not second.seen:
                        await ask(wire, 1, 0)
                before = len(first.seen)
                assert [await ask(wire, 1, 0) for _ in range(20)] == [404] * 20 and len(first.seen) == before

    run(main())


def test_a_long_answer_without_a_length_that_is_reset_has_no_end() -> None:
    async def test(_: World, service: Service, wire: Wire, backend: Backend) -> None:
        begun = asyncio.Event()

        async def reset(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            transport = cast(asyncio.Transport, request.transport)
            transport.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG)
            await begun.wait()  # closed with this linger, the kernel resets it
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            transport.close()
            raise ConnectionResetError

        backend.behave = reset
        wire.send(READ, headers())
        assert b"chunked" in await wire.reader.readuntil(b"\r\n\r\n")  # it is passed on
        begun.set()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await body_of(wire)
        assert len(backend.seen) == 1 and service.counters.counts["answers_broken_off"] == 1

    with_head(test)
