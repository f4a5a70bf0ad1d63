"""Connections between members: no connect outlives the event loop, and a dead connection is renewed.

Guards against "Exception ignored in: <coroutine object OutgoingLink._connect>, Event loop is closed" at shutdown: a
cancelled request released its placement, which sent hints to a member without an open connection, after the links were
closed and the tasks of the event loop were cancelled.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import socket
import sys
from collections.abc import Iterator
from typing import Any

import pytest

from hophinge.coordination.dissemination import Push
from hophinge.coordination.view import Replica
from hophinge.fleet.placement.hints import PrefillDropped
from hophinge.fleet.transport.frames import Hello, frame
from hophinge.fleet.transport.links import MAX_MESSAGES_PER_TURN, MIN_RENEWAL_AGE_S, IncomingLink, Links, OutgoingLink

ME = Replica("me", "127.0.0.1:1", "z")
PEER = "127.0.0.1:9"
MESSAGE = Push(())
BOUND_S = 20.0
ENDS_S = 0.5  # by when a connection that is cut off has ended


class Listener:
    """A member's listening socket that records the messages after each connection's Hello."""

    def __init__(self) -> None:
        self.messages: list[object] = []
        self.links = Links(Replica("peer", "127.0.0.1:0", "z"), "data", self._handle)
        self.server: asyncio.Server | None = None

    def _handle(self, hello: Hello, message: object) -> None:
        self.messages.append(message)

    async def listen(self) -> str:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: IncomingLink(self.links), "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        assert self.server is not None
        self.server.close()
        await self.links.close()


def _links() -> Links:
    return Links(ME, "data", lambda hello, message: None)


def _tasks() -> set[asyncio.Task[Any]]:
    return asyncio.all_tasks() - {asyncio.current_task()}


@pytest.fixture
def silent_address() -> Iterator[str]:
    """The address of a listener whose queue of new connections is full: a connect to it neither succeeds nor fails."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(3):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def test_a_message_sent_while_the_event_loop_ends_leaves_no_connect_behind(
    monkeypatch: pytest.MonkeyPatch, silent_address: str
) -> None:
    ignored: list[str] = []
    monkeypatch.setattr(sys, "unraisablehook", lambda entry: ignored.append(repr(entry.object)))
    unfinished: list[str] = []

    async def main() -> None:
        links = _links()
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: unfinished.append(context["message"]))

        async def request() -> None:
            try:
                await asyncio.sleep(60.0)
            finally:
                links.send(silent_address, MESSAGE)  # as a cancelled request releases its placement

        running = asyncio.get_running_loop().create_task(request())
        await asyncio.sleep(0)
        await links.close()
        assert not running.done(), "only the end of the event loop cancels it"

    asyncio.run(main())
    gc.collect()
    assert not ignored and not unfinished


def test_closed_links_drop_messages_and_start_no_connect() -> None:
    async def main() -> None:
        listener, links = Listener(), _links()
        address = await listener.listen()
        links.send(address, MESSAGE)
        while not listener.messages:
            await asyncio.sleep(0)
        await links.close()
        links.send(address, MESSAGE)
        links.send(PEER, MESSAGE)
        assert not _tasks()
        assert PEER not in links.outgoing
        await listener.close()
        assert listener.messages == [MESSAGE]

    asyncio.run(main())


def test_the_close_waits_for_connects_in_progress() -> None:
    async def main() -> None:
        listener, links = Listener(), _links()
        address = await listener.listen()
        links.send(address, MESSAGE)
        connect = links.outgoing[address].connecting
        assert connect is not None
        await links.close()
        assert connect.done()
        assert not _tasks()
        transport = links.outgoing[address].transport
        assert transport is None or transport.is_closing()
        await listener.close()

    asyncio.run(main())


@pytest.mark.parametrize("steps", range(6))
def test_a_connect_that_is_cancelled_at_any_step_leaves_no_open_transport(steps: int) -> None:
    async def main() -> None:
        listener, links = Listener(), _links()
        address = await listener.listen()
        links.send(address, MESSAGE)
        connect = links.outgoing[address].connecting
        for _ in range(steps):
            await asyncio.sleep(0)
        await links.close()
        await asyncio.sleep(0)
        assert connect is not None and connect.done()
        transport = links.outgoing[address].transport
        assert transport is None or transport.is_closing()
        await listener.close()

    asyncio.run(main())


def test_a_connection_that_is_accepted_while_the_links_close_is_refused() -> None:
    handled: list[object] = []

    async def main() -> None:
        links = Links(ME, "data", lambda hello, message: handled.append(message))
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: IncomingLink(links), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        await links.close()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(frame(Hello(ME, "data")) + frame(MESSAGE))
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        writer.close()
        assert not links.incoming
        server.close()

    asyncio.run(main())
    assert not handled


async def _until_received(listener: Listener, count: int) -> None:
    while len(listener.messages) < count:
        await asyncio.sleep(0)


async def _links_to(listener: Listener) -> tuple[Links, OutgoingLink, str]:
    """Return links with an established connection that its listener no longer reads."""
    links, address = _links(), await listener.listen()
    links.send(address, MESSAGE)
    await _until_received(listener, 1)
    [incoming] = listener.links.incoming
    assert incoming.transport is not None
    incoming.transport.pause_reading()  # like a closed end whose reset was lost: bytes are lost without any notice
    return links, links.outgoing[address], address


def _connect_again(links: Links, address: str) -> None:
    """Have the member at an address open another connection to these links."""
    IncomingLink(links).data_received(frame(Hello(Replica("peer", address, "z"), "data")))


def test_a_member_that_connects_again_is_sent_messages_on_a_new_connection() -> None:
    """Guards against a replica that gets no messages after a one-way partition though all others hear it.

    Seen once: the chain made no progress.
    """

    async def play() -> None:
        listener = Listener()
        links, link, address = await _links_to(listener)
        _connect_again(links, address)
        links.send(address, MESSAGE)
        await asyncio.sleep(0)
        assert len(listener.messages) == 1, "the first connection of the other member renews nothing"
        link.connected_at -= MIN_RENEWAL_AGE_S
        _connect_again(links, address)
        links.send(address, MESSAGE)
        await _until_received(listener, 2)
        await links.close()
        await listener.close()

    asyncio.run(asyncio.wait_for(play(), BOUND_S))


def test_a_new_connection_is_not_renewed_again() -> None:
    """Guards against two members that renew their connections in turn forever."""

    async def play() -> None:
        listener = Listener()
        links, link, address = await _links_to(listener)
        transport = link.transport
        for _ in range(3):
            _connect_again(links, address)
        assert link.transport is transport and transport is not None and not transport.is_closing()
        await links.close()
        await listener.close()

    asyncio.run(asyncio.wait_for(play(), BOUND_S))


# --- bytes that are no frames --------------------------------------------------------------------------------------


async def _send_raw(data: bytes, then_wait_s: float = 0.0) -> tuple[Listener, bytes | None]:
    """Send bytes to a listener; return it, and what the connection ended with, None where it stays open."""
    listener = Listener()
    host, port = (await listener.listen()).rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.suppress(ConnectionError):
        for begin in range(0, len(data), 65_536):
            writer.write(data[begin : begin + 65_536])
            await writer.drain()
    await asyncio.sleep(then_wait_s)
    listener.links.close_idle()
    received: bytes | None = None
    try:
        async with asyncio.timeout(ENDS_S):
            received = await reader.read()
    except ConnectionError:
        received = b""
    except TimeoutError:
        pass
    writer.close()
    await asyncio.sleep(0.01)
    assert listener.links.buffered_bytes == 0 and not listener.links.incoming
    await listener.close()
    return listener, received


HELLO = frame(Hello(Replica("a", "127.0.0.1:5", "z"), "data"))


@pytest.mark.parametrize(
    "data",
    [
        b"\xff" * 1_000_000,
        b"\0" * 1_000_000,
        b"GET / HTTP/1.1\r\n\r\n" * 9,
        b"\0\0\x10\x01" + b"x" * 5_000,
        frame(MESSAGE) + HELLO,
        HELLO + b"\xff" * 100_000,
        HELLO + b"\0\0\0\1\xff",
        HELLO + b"\1\0\0\1",
    ],
)
def test_a_peer_that_sends_no_frames_is_disconnected(data: bytes) -> None:
    """Guards against a member that keeps what a connection brings that is no member's."""
    listener, received = asyncio.run(_send_raw(data))
    assert received == b"" and not listener.messages


@pytest.mark.parametrize(
    ("data", "is_open"), [(b"", False), (HELLO[:-1], False), (HELLO + b"\0\0\1", False), (HELLO, True)]
)
def test_a_frame_that_does_not_arrive_in_time_ends_its_connection(
    data: bytes, is_open: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("hophinge.fleet.transport.links.FRAME_TIMEOUT_S", 0.05)
    _, received = asyncio.run(_send_raw(data, 0.2))
    assert (received is None) is is_open


def test_incomplete_frames_are_bounded_on_all_connections_together(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("hophinge.fleet.transport.links.MAX_BUFFERED_BYTES", 1 << 20)
    _, received = asyncio.run(_send_raw(HELLO + b"\0\xff\xff\xff" + bytes(2 << 20)))
    assert received == b""


def test_many_small_messages_are_handled_in_their_order_with_other_work_between_them() -> None:
    count = 20 * MAX_MESSAGES_PER_TURN

    async def main() -> int:
        listener, links = Listener(), _links()
        address = await listener.listen()
        links.send_frame(address, b"".join(frame(PrefillDropped("i", number)) for number in range(count)))
        longest = 0
        async with asyncio.timeout(BOUND_S):
            while len(listener.messages) < count:
                before = len(listener.messages)
                await asyncio.sleep(0)
                longest = max(longest, len(listener.messages) - before)
        assert listener.messages == [PrefillDropped("i", number) for number in range(count)]
        await links.close()
        await listener.close()
        return longest

    assert asyncio.run(main()) <= 2 * MAX_MESSAGES_PER_TURN


def test_bytes_on_a_connection_from_here_end_it() -> None:
    """Guards against a member that reads without end from an address that is no member's any more."""

    async def main() -> None:
        ended = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(bytes(65_536))
                    await writer.drain()
            ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        links = _links()
        links.send(f"{host}:{port}", MESSAGE)
        async with asyncio.timeout(BOUND_S):
            await ended.wait()
        server.close()
        await links.close()

    asyncio.run(main())
