"""Kept-alive connections, retries of the HTTP library, disconnected clients, forwarded deadlines."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import httpcore
import pytest

from hophinge.fleet.dataplane.connections import (
    DEAD_IDLE_FRACTION,
    DEFAULT_MAX_IDLE_S,
    InstanceConnection,
    InstancePool,
)
from hophinge.fleet.forwarding.headers import DEADLINE, find_field
from tests.request_endings import closed_after_the_run, silence
from tests.scripted_instance import ReceivedCall, Connection, Script
from tests.test_failures_requests import BOUND_S, ROUTES, UNSAFE, Play, _playing

GONE_S = 0.5  # after which no work of a client that has left goes on
KINDS = tuple(ROUTES)


def test_httpcore_retries_nothing_by_itself() -> None:
    pool = InstancePool()
    assert pool._retries == 0
    connection = pool.create_connection(httpcore.Origin(b"http", b"127.0.0.1", 9))
    assert isinstance(connection, InstanceConnection)
    assert connection._retries == 0

    async def run() -> None:
        async with _playing(False) as play:
            play.script.ending, play.script.stage, play.script.name = closed_after_the_run, "", "plain-1"
            client = await play.request("plain-1", UNSAFE)
            assert client.status == 502
            assert [asked.name for asked in play.script.arrivals] == ["plain-1"]

    asyncio.run(asyncio.wait_for(run(), BOUND_S))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("stage", ["", "prefill", "decode"])
def test_the_work_of_a_disconnected_client_ends_soon(kind: str, stage: str) -> None:
    async def run() -> None:
        async with _playing(bool(stage)) as play:
            name = f"{'stream' if kind.startswith('stream') else 'plain'}-1"
            play.script.ending, play.script.stage, play.script.name = silence, stage, name
            asking = asyncio.create_task(play.request(name, ROUTES[kind]))
            while play.script.struck is None:
                await asyncio.sleep(0)
            asking.cancel()
            begin = asyncio.get_running_loop().time()
            await play.script.left.wait()
            assert asyncio.get_running_loop().time() - begin < GONE_S
            await asyncio.gather(asking, return_exceptions=True)
            assert all(node.outstanding == 0 for node in play.placement.nodes.values()), "nothing stays in the books"

    asyncio.run(asyncio.wait_for(run(), BOUND_S))


async def _forgetful(script: Script, connection: Connection, asked: ReceivedCall) -> bool:
    """An instance that has dropped the connection without a word: it resets what comes on it."""
    await connection.reset()
    return False


_forgetful.before_body = True  # type: ignore[attr-defined]


def test_the_idle_time_of_silently_dropped_connections_is_learned() -> None:
    """The first request that meets it is lost; from then on connections rest for half as long at most."""

    async def run() -> None:
        async with _playing(False) as play:
            instance = play.instances[0]
            play.placement.instances.update_instance(play.instances[1].name, None)
            assert (await play.request("warm", replace(UNSAFE, route_type="safe"))).status == 200
            pool = play.upstream.pools[instance.name]
            assert pool.max_idle_s == DEFAULT_MAX_IDLE_S
            resting = [one for one in pool.connections if isinstance(one, InstanceConnection)]
            assert len(resting) == 1
            resting[0].idle_since = asyncio.get_running_loop().time() - 3.0
            play.script.ending, play.script.stage, play.script.name = _forgetful, "", "plain-1"
            assert (await play.request("plain-1", UNSAFE)).status == 502
            assert pool.max_idle_s == pytest.approx(DEAD_IDLE_FRACTION * 3.0, abs=0.3)
            assert (await play.request("warm", replace(UNSAFE, route_type="safe"))).status == 200
            kept = next(one for one in pool.connections if isinstance(one, InstanceConnection))
            kept.idle_since = asyncio.get_running_loop().time() - 2.0
            connections = play.script.connections
            assert (await play.request("plain-3", UNSAFE)).status == 200
            assert play.script.connections == connections + 1, "one that has rested too long is not used again"
            pool.record_keep_alive([(b"keep-alive", b"timeout=60")])
            assert pool.max_idle_s <= DEAD_IDLE_FRACTION * 3.3, "what was learned counts more than what is told"

    asyncio.run(asyncio.wait_for(run(), BOUND_S))


def test_a_new_connection_that_breaks_does_not_change_the_idle_time() -> None:
    async def run() -> None:
        async with _playing(False) as play:
            play.script.ending, play.script.stage, play.script.name = _forgetful, "", "plain-1"
            await play.request("plain-1", UNSAFE)
            assert all(pool.max_idle_s == DEFAULT_MAX_IDLE_S for pool in play.upstream.pools.values())

    asyncio.run(asyncio.wait_for(run(), BOUND_S))


def test_forwarded_deadlines_never_grow() -> None:
    async def run() -> None:
        async with _playing(False) as play:
            seen: list[int] = []
            _watch_deadlines(play, seen)
            play.script.ending, play.script.stage, play.script.name = closed_after_the_run, "", "plain-1"
            assert (await play.request("plain-1", ROUTES["safe"], left_s=2.0)).status == 200
            assert len(seen) == 2
            assert seen == sorted(seen, reverse=True)
            assert seen[0] <= 2_000

    asyncio.run(asyncio.wait_for(run(), BOUND_S))


def _watch_deadlines(play: Play, seen: list[int]) -> None:
    call = play.upstream.call

    def watched(identity: str, one: object) -> object:
        seen.append(int(find_field(one.fields, DEADLINE) or 0))  # type: ignore[attr-defined]
        return call(identity, one)  # type: ignore[arg-type]

    play.upstream.call = watched  # type: ignore[method-assign, assignment]
