"""Clients' connections to a real head: invalid, slow, large and pipelined requests, and requests during shutdown.

Guards against responses aborted without a cause: a server that tracks only the latest request of a connection lets data
after a request end its response. Invalid bytes caused a 400 in the middle of a stream, a complete request pipelined
after a stream got no response at shutdown, and a header without an end could use up all memory of the head.
"""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from hophinge.fleet.emulation.loopback_fleet import DEFAULT_MEMORY_MB, LoopbackFleet, configuration_document
from hophinge.fleet.transport.client_memory import MIB, MemoryLimits
from hophinge.load.rig.conditions import wait_until
from tests.fleet_client import CLIENTS, DEADLINE_MS, EVENTS, LATE_S, Client, is_stream, request
from tests.fleet_requests import BOUND_S, taken

ROUTES = (("/m/", "streaming", "models"), ("/p/", "unsafe", "plain"))
INSTANCES = (("p1", "models", "prefill"), ("d1", "models", "decode"), ("s1", "plain", ""))
PAUSE_S = 0.05
SENT_AHEAD = 40  # requests, more than are read ahead
GRACE_S = 8.0
BOUNDS = {"max-header-bytes": 8_192, "max-body-bytes": 100_000}
SHORT = {"idle-timeout-ms": 1_500, "header-timeout-ms": 500, **BOUNDS}
LONG = {"idle-timeout-ms": 60_000, "header-timeout-ms": 60_000, **BOUNDS}
GARBAGE = b"\x00\x01 no request\r\n\r\n"
Play = Callable[[LoopbackFleet], Awaitable[None]]


def configuration(limits: dict[str, int]) -> bytes:
    """Return a configuration with limits on what clients send, and long timeouts of responses."""
    raw = json.loads(configuration_document(1, ROUTES))
    routes = [{**route, "timeout-ms": DEADLINE_MS} for route in raw["routes"]]
    return json.dumps({**raw, "routes": routes, "limits": limits}).encode()


async def with_head(folder: Path, limits: dict[str, int], play: Play) -> None:
    """Run a scenario at one head with three instances."""
    async with LoopbackFleet(folder, 1, losses=0, grace_s=GRACE_S) as fleet:
        await fleet.start()
        for identity, service, stage in INSTANCES:
            await fleet.start_instance(identity, service, stage)
        await wait_until([taken(fleet, 0, configuration(limits), 0)], BOUND_S)
        await wait_until([fleet.ready_condition(0, 1, len(INSTANCES))], BOUND_S)
        decode = fleet.instances["d1"]
        decode.engine.events = EVENTS
        decode.before_event = lambda: asyncio.sleep(PAUSE_S)
        try:
            await play(fleet)
        finally:
            while CLIENTS:
                CLIENTS.pop().writer.close()


# --- data after a request --------------------------------------------------------------------------------------------


@pytest.mark.parametrize("at_once", [True, False])
def test_bytes_behind_a_request_do_not_change_its_response(at_once: bool, tmp_path: Path) -> None:
    async def garbage(fleet: LoopbackFleet) -> None:
        client = await Client.open(fleet)
        await send_two(fleet, client, request("/m/q", "first"), GARBAGE)
        assert is_stream(await client.answer()), "the stream is complete"
        refused = await client.answer()
        assert refused is not None and (refused.status, refused.whole, refused.closes) == (400, True, True)
        assert await client.ends()

    async def requests(fleet: LoopbackFleet) -> None:
        client = await Client.open(fleet)
        await send_two(fleet, client, request("/m/q", "second"), request("/p/q", "third") + request("/m/q", "fourth"))
        assert is_stream(await client.answer())
        plain = await client.answer()
        assert plain is not None and plain.status == 200 and plain.body.endswith(b"third")
        assert is_stream(await client.answer())

    async def incomplete_request(fleet: LoopbackFleet) -> None:
        client = await Client.open(fleet)
        await send_two(fleet, client, request("/m/q", "fifth"), request("/p/q", "sixth")[:40])
        assert is_stream(await client.answer())
        refused = await client.answer()
        assert refused is not None and (refused.status, refused.closes) == (408, True)
        assert await client.ends()

    async def invalid_body(fleet: LoopbackFleet) -> None:
        client = await Client.open(fleet)
        chunked = request("/p/q", "eighth").replace(b"Content-Length: 1", b"Transfer-Encoding: chunked")
        await send_two(fleet, client, request("/m/q", "seventh"), chunked[:-1] + b"no length\r\nx")
        assert is_stream(await client.answer())
        refused = await client.answer()
        assert refused is not None and (refused.status, refused.closes) == (400, True)

    async def send_two(fleet: LoopbackFleet, client: Client, first: bytes, second: bytes) -> None:
        """Send both parts in one segment, or the second while the first is being answered."""
        if at_once:
            client.send(first + second)
            return
        client.send(first)
        while not fleet.instances["d1"].in_flight:
            await asyncio.sleep(0)
        client.send(second)

    async def play(fleet: LoopbackFleet) -> None:
        for scenario in (garbage, requests, incomplete_request, invalid_body):
            await scenario(fleet)
        assert not fleet.head(0).has_logged("aborted")

    asyncio.run(with_head(tmp_path, SHORT, play))


# Guards against requests that run though their client takes them as unread, and against a reset in place of a response.
def test_requests_behind_a_response_that_announces_the_close_do_not_run(tmp_path: Path) -> None:
    async def play(fleet: LoopbackFleet) -> None:
        client = await Client.open(fleet)
        too_large = request("/p/q", "too-large", b"x", (b"X-Pad", b"a" * (BOUNDS["max-header-bytes"] - 100)))
        client.send(request("/p/q", "served") + too_large)
        served = await client.answer()
        assert served is not None and (served.status, served.closes) == (200, False)
        for number in range(SENT_AHEAD):
            client.send(request("/p/q", f"behind-{number}", b"x" * 10_000))
            await asyncio.sleep(0)
        rejected = await client.answer()
        assert rejected is not None and rejected.status == 431
        following = []
        while (answer := await client.answer()) is not None:
            following.append(answer)
        closing = [answer.closes for answer in (rejected, *following)]
        assert closing == [False] * len(following) + [True], "only the last response announces the close"
        assert all(answer.status in (200, 503) for answer in following)
        await asyncio.sleep(PAUSE_S)
        ran = {run.request for run in fleet.instances["s1"].engine.runs}
        served_behind = sum(answer.status == 200 for answer in following)
        assert ran == {"served", *(f"behind-{number}" for number in range(served_behind))}

    asyncio.run(with_head(tmp_path, SHORT, play))


# --- slow, incomplete and endless requests ---------------------------------------------------------------------------


def test_open_requests_and_idle_connections_are_closed_within_limits(tmp_path: Path) -> None:
    async def status_of(client: Client) -> int:
        refused = await client.answer()
        assert refused is not None and refused.whole and refused.closes
        return refused.status

    async def play(fleet: LoopbackFleet) -> None:
        other = await Client.open(fleet)
        other.send(request("/m/q", "other"))
        unused, header, body, blank, endless = [await Client.open(fleet) for _ in range(5)]
        header.send(request("/p/q", "half")[:40])
        body.send(request("/p/q", "body", b"y" * 100)[:-50])
        blank.send(b"\r\n\r\n")
        endless.send(b"GET / HTTP/1.1\r\nx: " + b"z" * 200_000)
        assert await status_of(endless) == 431
        assert is_stream(await other.answer()), "other connections are not affected"
        async with asyncio.timeout(LATE_S):
            assert await status_of(header) == 408 and await status_of(body) == 408
            assert await unused.ends() and await blank.ends()
        upgrade = await Client.open(fleet)
        upgrade.send(
            request(
                "/p/q",
                "upgrade",
                b"whole body",
                (b"Connection", b"Upgrade, HTTP2-Settings"),
                (b"Upgrade", b"h2c"),
                (b"HTTP2-Settings", b"AAMAAABk"),
            )
        )
        served = await upgrade.answer()
        assert served is not None and served.status == 200 and served.body.endswith(b"upgrade")
        (run,) = [run for run in fleet.instances["s1"].engine.runs if run.request == "upgrade"]
        assert run.body == b"whole body"

    asyncio.run(with_head(tmp_path, SHORT, play))


def test_bodies_of_many_clients_do_not_exhaust_memory(tmp_path: Path) -> None:
    """Clients that each keep their limit could together exhaust the 300 MB of a head, and end all its streams."""

    async def play(fleet: LoopbackFleet) -> None:
        body = bytes(4_000_000)
        limits = MemoryLimits.of_machine(DEFAULT_MEMORY_MB * MIB)
        held = [await Client.open(fleet) for _ in range(limits.common_bytes // len(body))]
        for number, client in enumerate(held):
            client.send(request("/p/q", f"held-{number}", body)[:-1])
            await client.writer.drain()
        late = await Client.open(fleet)
        late.send(request("/p/q", "late", body))
        refused = await late.answer()
        assert refused is not None and (refused.status, refused.closes) == (503, True)
        for client in held:
            client.send(body[-1:])
        answers = [await client.answer() for client in held]
        assert all(answer is not None and answer.status == 200 for answer in answers)
        late = await Client.open(fleet)
        late.send(request("/p/q", "later", body))
        served = await late.answer()
        assert served is not None and served.status == 200, "the memory is available again"

    asyncio.run(with_head(tmp_path, {**LONG, "max-body-bytes": 4_194_304}, play))


# --- shutdown --------------------------------------------------------------------------------------------------------


def test_each_complete_request_is_answered_or_rejected_at_shutdown(tmp_path: Path) -> None:
    async def play(fleet: LoopbackFleet) -> None:
        fleet.instances["d1"].before_event = lambda: asyncio.sleep(
            0.75
        )  # the stream continues when idle connections are closed
        client, busy, idle = [await Client.open(fleet) for _ in range(3)]
        client.send(request("/m/q", "long"))
        busy.send(request("/m/q", "busy"))
        await client.first_event()
        await busy.first_event()
        fleet.head(0).send(signal.SIGTERM)
        assert await idle.ends()  # by now idle connections are being closed; the streams continue
        client.send(request("/p/q", "behind") + request("/p/q", "last"))
        await last_event(client)
        statuses = []
        for _ in range(2):
            answer = await client.answer()
            assert answer is not None and answer.whole, "a completely read request gets a response"
            statuses.append(answer.status)
        assert set(statuses) <= {200, 503}
        assert answer is not None and answer.closes and await client.ends()
        await last_event(busy)
        assert await busy.ends()
        assert not fleet.head(0).has_logged("aborted")

    async def last_event(client: Client) -> None:
        async with asyncio.timeout(BOUND_S):
            await client.reader.readuntil(b"id: %d\ndata: d1 %d\n\n" % (EVENTS, EVENTS))

    asyncio.run(with_head(tmp_path, LONG, play))
