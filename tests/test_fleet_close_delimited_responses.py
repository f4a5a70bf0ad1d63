"""Responses that end with their connection: a stream that is cut within an event, or before one, is not complete."""

from __future__ import annotations

import asyncio

import pytest

from hophinge.fleet.dataplane.upstream import Upstream
from hophinge.fleet.registry.instance import LOST, READY, SWITCHING, Instance
from tests.close_delimited_responses import play_seeds
from tests.scripted_instance import STAMP, Connection, Ending, ReceivedCall, Script, ScriptedInstance, sound_body
from tests.test_failures_requests import ROUTES, Client, Play

BODY = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 5))
SECOND_EVENT = len(BODY) // 4
PLAIN_BODY = b"answer to plain-1 of 4"
SEEDS = 60
PLACES = {
    "before the first event": 0,
    "within the first line": 3,
    "between two lines of an event": SECOND_EVENT + 6,
    "within the end of an event": 2 * SECOND_EVENT - 1,
    "within the last event": len(BODY) - 4,
}


def closed_after(sent_bytes: int) -> Ending:
    """Send a response without a length, and close the connection in the ordinary way after some of its bytes."""

    async def ending(script: Script, connection: Connection, call: ReceivedCall) -> bool:
        script.ran(call)
        name = b"Hophinge-Request-Id: %s\r\n" % call.name.encode()
        kind = b"Content-Type: text/event-stream\r\n" if call.name.startswith("stream") else b""
        header = b"HTTP/1.1 200 X\r\n%s%s%sConnection: close\r\n\r\n" % (name, STAMP, kind)
        connection.say(header + sound_body(call)[:sent_bytes])
        return False

    return ending


async def _request(kind: str, stage: str, sent_bytes: int, is_killed: bool = False) -> tuple[Client, int]:
    """Return what a client gets whose first response is cut, and how often its request ran.

    An instance that is killed stops listening when it closes the connection.
    """
    ending = closed_after(sent_bytes)

    async def killed(script: Script, connection: Connection, call: ReceivedCall) -> bool:
        await next(instance for instance in instances if instance.name == call.instance).close()
        return await ending(script, connection, call)

    name = "stream-1" if kind.startswith("stream") else "plain-1"
    script = Script(killed if is_killed else ending, stage, name)
    stages = ["prefill", "decode", "decode"] if stage else ["", ""]
    instances = [ScriptedInstance(f"i-{number}", one, script) for number, one in enumerate(stages)]
    for instance in instances:
        await instance.listen()
    play = Play(script, instances)
    client = await play.request(name, ROUTES[kind])
    await play.upstream.close()
    for instance in instances:
        await instance.close()
    return client, script.runs[name]


@pytest.mark.parametrize("stage", ["", "decode"])
@pytest.mark.parametrize("place", PLACES)
def test_a_stream_whose_connection_closes_within_an_event_is_broken_off(place: str, stage: str) -> None:
    """The client got half of an event and the end of a complete response (review/5)."""
    client, runs = asyncio.run(_request("stream", stage, PLACES[place]))
    assert (client.whole, client.broken, runs) == (False, True, 1)
    assert client.body == BODY[: PLACES[place] // SECOND_EVENT * SECOND_EVENT], "only whole events are sent on"


@pytest.mark.parametrize("stage", ["", "decode"])
@pytest.mark.parametrize("place", PLACES)
def test_a_resumable_stream_whose_connection_closes_within_an_event_is_resumed(place: str, stage: str) -> None:
    """It was taken for complete, so that nobody resumed it (review/5)."""
    client, runs = asyncio.run(_request("stream-resumable", stage, PLACES[place]))
    assert (client.status, client.whole, client.body, runs) == (200, True, BODY, 2)


def test_a_stream_without_a_length_that_ends_after_an_event_is_complete() -> None:
    client, runs = asyncio.run(_request("stream-resumable", "", len(BODY)))
    assert (client.status, client.whole, client.body, runs) == (200, True, BODY, 1)


@pytest.mark.parametrize("stage", ["", "decode"])
@pytest.mark.parametrize("events", [1, 3])
def test_a_stream_of_a_killed_instance_is_not_complete_between_two_events(events: int, stage: str) -> None:
    """Five of twenty events looked like a complete stream, since the kernel closes connections in the ordinary way."""
    client, runs = asyncio.run(_request("stream", stage, events * SECOND_EVENT, is_killed=True))
    assert (client.whole, client.broken, client.body, runs) == (False, True, BODY[: events * SECOND_EVENT], 1)
    client, runs = asyncio.run(_request("stream-resumable", stage, events * SECOND_EVENT, is_killed=True))
    assert (client.status, client.whole, client.body, runs) == (200, True, BODY, 2)


@pytest.mark.parametrize("stage", ["", "decode"])
@pytest.mark.parametrize("sent_bytes", [0, 6])
def test_a_body_without_a_length_of_a_killed_instance_is_not_complete(sent_bytes: int, stage: str) -> None:
    """Half of a body that is no stream looked complete, since the kernel closes connections in the ordinary way."""
    client, runs = asyncio.run(_request("unsafe", stage, sent_bytes, is_killed=True))
    assert (client.status, client.whole, client.body, runs) == (502, True, b"", 1)
    client, runs = asyncio.run(_request("safe", stage, sent_bytes, is_killed=True))
    assert (client.status, client.whole, client.body, runs) == (200, True, PLAIN_BODY, 2)


def test_a_body_without_a_length_that_ends_with_its_connection_is_complete() -> None:
    client, runs = asyncio.run(_request("unsafe", "", len(PLAIN_BODY)))
    assert (client.status, client.whole, client.body, runs) == (200, True, PLAIN_BODY, 1)


@pytest.mark.parametrize("is_known", ["draining", "unregistered"])
def test_an_instance_that_has_announced_its_end_may_end_with_its_last_stream(is_known: str) -> None:
    async def run() -> bool:
        upstream = Upstream()
        state = "draining" if is_known == "draining" else READY
        if is_known == "unregistered":
            await upstream.retire("i")
        return await upstream.has_ended(Instance("i", "s", "127.0.0.1:9", "z", "v", 8, state, "", ()))

    assert not asyncio.run(run())


def test_an_instance_that_does_not_answer_in_time_has_not_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """Beside load a whole stream was resumed, since opening the connection took longer than its time-out."""

    async def connect_without_end(*_: object) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(asyncio, "open_connection", connect_without_end)
    ready = Instance("i", "s", "127.0.0.1:9", "z", "v", 8, READY, "", ())
    assert not asyncio.run(Upstream().has_ended(ready))


@pytest.mark.parametrize("state", [READY, SWITCHING, LOST])
def test_an_instance_that_refuses_connections_has_ended_unless_it_announced_its_end(state: str) -> None:
    """One that was killed while it changed its stage had streams that looked complete between two events."""

    async def run() -> bool:
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        instance = Instance("i", "s", address, "z", "v", 8, state, "", ())
        assert not await Upstream().has_ended(instance)
        server.close()
        return await Upstream().has_ended(instance)

    assert asyncio.run(run())


def test_responses_of_any_framing_that_are_cut_anywhere_never_look_complete() -> None:
    """Requests drawn by seed, with cuts in first and in resumed parts, in prefills and in other bodies."""
    assert asyncio.run(play_seeds(0, SEEDS)) == []
