"""Connections between members: one outgoing connection to each address, incoming ones from whoever connects.

A message to a member that cannot be reached is dropped: the state machines say again what still counts. A connection
whose peer has fallen silent is ended by the kernel, so that what piles up behind a cut is not delivered seconds later.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from loguru import logger

from hophinge.coordination.codec import CodecError
from hophinge.coordination.view import Replica
from hophinge.fleet.transport.frames import FrameReader, Hello, frame

USER_TIMEOUT_MS = 1_500  # unacknowledged bytes for so long end a connection
CONNECT_S = 1.5  # for a connection to come up
RETRY_S = 0.15  # between attempts to connect to one address
MAX_QUEUED = 32 << 20  # bytes that wait for one peer; more, and the connection is ended
IDLE_CLOSE_S = 60.0  # an outgoing connection not used for so long is closed

Handler = Callable[[Hello, object], None]


def harden(transport: asyncio.BaseTransport) -> None:
    """Have the kernel end a connection behind a cut."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Incoming(asyncio.Protocol):
    """A connection that a member opened: it only sends, we only read."""

    def __init__(self, links: Links) -> None:
        self.links = links
        self.reader = FrameReader()
        self.hello: Hello | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.links.incoming.add(self)
        harden(transport)

    def data_received(self, data: bytes) -> None:
        """Hand on the messages that are whole."""
        try:
            messages = self.reader.feed(data)
        except CodecError as error:
            logger.info("peer connection closed error={}", error)
            self._abort()
            return
        for message in messages:
            if self.hello is not None:
                self._hand_on(self.hello, message)
            elif isinstance(message, Hello):
                self.hello = message
            else:
                self._abort()
                return

    def _hand_on(self, hello: Hello, message: object) -> None:
        """Hand one message on; where that fails, those behind it have no part in it, nor has the connection."""
        try:
            self.links.handler(hello, message)
        except Exception:
            logger.exception("message handling failed peer={} type={}", hello.sender.address, type(message).__name__)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the connection."""
        self.links.incoming.discard(self)


class Outgoing(asyncio.Protocol):
    """The connection to one address."""

    def __init__(self, links: Links, address: str) -> None:
        self.links, self.address = links, address
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []
        self.connecting: asyncio.Task[None] | None = None
        self.not_before = 0.0
        self.used = 0.0

    def send(self, data: bytes) -> None:
        """Send a frame, connecting first where needed."""
        loop = asyncio.get_running_loop()
        self.used = loop.time()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
            if self.transport.get_write_buffer_size() > MAX_QUEUED:
                self.transport.abort()
            return
        if self.connecting is None and loop.time() >= self.not_before:
            self.connecting = loop.create_task(self._connect())
        if self.connecting is not None:
            self.waiting.append(data)

    async def _connect(self) -> None:
        host, port = self.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_S):
                await loop.create_connection(lambda: self, host, int(port))
        except (OSError, TimeoutError):
            self.not_before = loop.time() + RETRY_S
            self.waiting.clear()
        finally:
            self.connecting = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Introduce this member, then send what has waited."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        harden(transport)
        transport.write(frame(self.links.hello) + b"".join(self.waiting))
        self.waiting.clear()

    def data_received(self, data: bytes) -> None:
        """Nothing is due here: peers answer on their own connections."""

    def connection_lost(self, error: Exception | None) -> None:
        """Connect anew at the next message."""
        self.transport = None


class Links:
    """All connections of one member."""

    def __init__(self, me: Replica, program: str, handler: Handler) -> None:
        self.hello = Hello(me, program)
        self.handler = handler
        self.outgoing: dict[str, Outgoing] = {}
        self.incoming: set[Incoming] = set()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Take connections at this member's own address."""
        host, port = self.hello.sender.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Incoming(self), host, int(port), reuse_address=True)

    def send(self, address: str, message: object) -> None:
        """Send a message, or drop it where the member cannot be reached."""
        self.send_frame(address, frame(message))

    def send_frame(self, address: str, data: bytes) -> None:
        """Send an encoded frame."""
        if address == self.hello.sender.address:
            raise ValueError("a member does not connect to itself")
        link = self.outgoing.get(address)
        if link is None:
            link = self.outgoing[address] = Outgoing(self, address)
        link.send(data)

    def tidy(self) -> None:
        """Close connections that were not used for long."""
        now = asyncio.get_running_loop().time()
        for address, link in list(self.outgoing.items()):
            if now - link.used > IDLE_CLOSE_S and link.connecting is None:
                if link.transport is not None:
                    link.transport.close()
                del self.outgoing[address]

    def close(self) -> None:
        """End all connections."""
        if self.server is not None:
            self.server.close()
        for link in self.outgoing.values():
            if link.connecting is not None:
                link.connecting.cancel()
            if link.transport is not None:
                link.transport.close()
        for connection in list(self.incoming):
            with contextlib.suppress(AttributeError):
                connection.transport.close()  # type: ignore[union-attr]
