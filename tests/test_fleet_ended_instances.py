"""An instance that has unregistered, with answers of it still under way.

Seen: a stream that may not be resumed was cut in the middle, 5 s after it had begun, beside a change of the
configuration; it came once, and in no replay. How it came about: an instance may unregister first and serve on for
seconds. Cause: the head closed its pool of connections to an instance that had ended, and the HTTP library closes those
in use as well, so that the head cut answers that the instance would have brought to their end. Proof: each test below
fails where an ended instance's connections are closed at once, by the same order of ends: the run first, then the
client's connection. The change of the configuration was no part of it.
"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import httpcore
import pytest

from hophinge.fleet.dataplane.connections import InstanceEndedError
from hophinge.fleet.dataplane.upstream import Call, Upstream
from hophinge.fleet.emulation.loopback_fleet import LoopbackFleet, configuration_document
from hophinge.fleet.emulation.instance_server import EmulatedInstance
from hophinge.load.rig.conditions import Condition, wait_until
from tests.fleet_requests import BOUND_S, INSTANCES, MACHINES, PROMPT, ROUTES, begin, counts_heads, streamed, taken

EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 7)]
BODY = b"".join(EVENTS)
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: %d\r\n\r\n" % len(BODY)


class PausedInstance:
    """An instance that answers with a stream, of which it holds back a part until it is told to go on."""

    def __init__(self, before: int) -> None:
        self.before = before  # events that come at once; none: the head of the answer waits as well
        self.go_on, self.taken, self.closed = asyncio.Event(), asyncio.Event(), asyncio.Event()
        self.server: asyncio.Server | None = None

    async def listen(self) -> Call:
        """Listen; tells a call of it."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return Call(f"127.0.0.1:{port}", b"POST", b"/", [(b"host", b"a")], b"x", 20.0)

    async def end(self) -> None:
        """Wait until the connection is closed, and stop listening."""
        self.go_on.set()
        async with asyncio.timeout(BOUND_S):
            await self.closed.wait()
        assert self.server is not None
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n") and await reader.readexactly(1):
                begun = HEAD + b"".join(EVENTS[: self.before]) if self.before else b""
                writer.write(begun)
                self.taken.set()
                await self.go_on.wait()
                writer.write((HEAD + BODY)[len(begun) :])
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the caller has closed it
        finally:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()
            self.closed.set()


async def _call_across_the_end(before: int) -> tuple[bytes, bool]:
    """Call an instance that unregisters while it answers; tells what came, and whether no pool is left."""
    instance, upstream = PausedInstance(before), Upstream()
    call = await instance.listen()

    async def answer() -> bytes:
        async with upstream.call("i-1", call) as response:
            return await response.aread()

    calling = asyncio.create_task(answer())
    await instance.taken.wait()
    await upstream.retire("i-1")
    instance.go_on.set()
    try:
        body = await calling
    except httpcore.NetworkError:
        body = b""
    await instance.end()
    return body, not upstream.pools


def test_a_response_in_flight_is_complete_and_its_connection_closes_after_it() -> None:
    assert asyncio.run(_call_across_the_end(before=3)) == (BODY, True)


def test_a_request_whose_answer_has_not_begun_is_answered() -> None:
    assert asyncio.run(_call_across_the_end(before=0)) == (BODY, True)


def test_an_instance_that_has_ended_gets_nothing_new_and_one_that_is_back_does() -> None:
    async def play() -> None:
        instance, upstream = PausedInstance(before=3), Upstream()
        call = await instance.listen()
        instance.go_on.set()
        await upstream.retire("i-1")
        with pytest.raises(InstanceEndedError):
            async with upstream.call("i-1", call):
                pass
        assert not instance.taken.is_set(), "nothing was sent, so that the request may go elsewhere"
        upstream.reinstate("i-1")
        async with upstream.call("i-1", call) as response:
            assert await response.aread() == BODY
        await upstream.close()
        await instance.end()

    asyncio.run(play())


def test_an_instance_that_is_back_is_called_while_an_answer_from_before_is_under_way() -> None:
    async def play() -> None:
        instance, upstream = PausedInstance(before=3), Upstream()
        call = await instance.listen()

        async def answer() -> bytes:
            async with upstream.call("i-1", call) as response:
                return await response.aread()

        first = asyncio.create_task(answer())
        await instance.taken.wait()
        await upstream.retire("i-1")
        with pytest.raises(InstanceEndedError):
            await answer()
        upstream.reinstate("i-1")
        second = asyncio.create_task(answer())
        instance.go_on.set()
        assert list(await asyncio.gather(first, second)) == [BODY, BODY]
        await upstream.close()
        await instance.end()

    asyncio.run(play())


def test_what_outlasts_its_time_at_an_ended_instance_is_closed() -> None:
    async def play() -> None:
        instance, upstream = PausedInstance(before=3), Upstream()
        call, begun = await instance.listen(), asyncio.Event()

        async def answer() -> None:
            async with upstream.call("i-1", call) as response:
                upstream.pools["i-1"].claims._deadlines[0] = 0.0  # its time is over, and it goes on all the same
                begun.set()
                await response.aread()

        calling = asyncio.create_task(answer())
        await begun.wait()
        await upstream.retire("i-1")
        assert upstream.pools
        await upstream.abort_overdue()
        with pytest.raises(httpcore.ReadError):
            await calling
        assert not upstream.pools
        await instance.end()

    asyncio.run(play())


def test_a_real_head_lets_streams_of_an_instance_that_unregisters_first_come_to_their_end(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await begin(fleet)
            # A head that doesn't know how many share the budget repeats little.
            await wait_until([counts_heads(fleet, number) for number in range(MACHINES)], BOUND_S)
            go_on = asyncio.Event()
            for identity in ("d1", "d2"):
                fleet.instances[identity].before_event = go_on.wait
            names = [f"m{number}" for number in range(6)]
            asked = [
                asyncio.create_task(fleet.request(number % MACHINES, "/m/q", name, *PROMPT))
                for number, name in enumerate(names)
            ]
            makers = [fleet.instances["d1"], fleet.instances["d2"]]
            await wait_until([_streaming(fleet, names)], BOUND_S)
            for maker in makers:
                fleet.heartbeat_tasks.pop(maker.engine.identity).cancel()
                assert await maker.unregister(fleet.controls)
            await wait_until(
                [fleet.ready_condition(number, 1, len(INSTANCES) - 2) for number in range(MACHINES)], BOUND_S
            )
            go_on.set()
            replies = await asyncio.gather(*asked)
            assert all(streamed(reply) for reply in replies), [reply.body for reply in replies]
            assert not makers[0].abandoned_requests | makers[1].abandoned_requests
            assert not any(fleet.head(number).has_logged("aborted") for number in range(MACHINES))

    asyncio.run(run())


def _streaming(fleet: LoopbackFleet, names: list[str]) -> Condition:
    async def look() -> tuple[bool, str]:
        under_way = fleet.instances["d1"].in_flight | fleet.instances["d2"].in_flight
        return set(names) <= under_way, f"under way: {sorted(under_way)}"

    return Condition(fleet.head(0), "has all streams under way", look)


def test_an_instance_that_ends_with_no_acknowledgement_costs_no_request(tmp_path: Path) -> None:
    """Its leaving reached nobody, so heads go on choosing it: what can't be sent there, goes elsewhere."""

    async def run() -> None:
        async with LoopbackFleet(tmp_path, 1, losses=0) as fleet:
            await fleet.start()
            for identity in ("s1", "s2"):
                await fleet.start_instance(identity, "plain", "")
            await wait_until([taken(fleet, 0, configuration_document(1, ROUTES), 0)], BOUND_S)
            await wait_until([fleet.ready_condition(0, 1, 2)], BOUND_S)
            for number in range(8):
                assert (await fleet.request(0, "/p/q", f"before{number}")).status == 200
            leaving = fleet.instances["s1"]
            assert leaving.engine.runs, "the head has connections to it at rest"
            leaving.heartbeats_stopped.set()
            await fleet.heartbeat_tasks.pop("s1")
            leaving.close()
            await _closed(leaving)
            replies = [await fleet.request(0, "/p/q", f"after{number}") for number in range(8)]
            assert [reply.status for reply in replies] == [200] * 8
            assert not fleet.head(0).has_logged("aborted")

    asyncio.run(run())


async def _closed(stand_in: EmulatedInstance) -> None:
    while stand_in.writers:
        await asyncio.sleep(0)
