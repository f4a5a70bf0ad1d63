"""Connections between members: one outgoing connection to each address, incoming ones from any member.

A message to a member that cannot be reached is dropped: the state machines retransmit what is still needed. The kernel
closes a connection whose peer is silent, so that messages queued during a partition are not delivered seconds later.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from time import monotonic

from loguru import logger

from hophinge.coordination.codec import CodecError
from hophinge.coordination.view import Replica
from hophinge.fleet.transport.frames import MAX_FRAME_BYTES, FrameReader, Hello, frame
from hophinge.fleet.transport.parse_scheduler import ParseScheduler

USER_TIMEOUT_MS = 1_500  # of unacknowledged data, until the kernel closes the connection
CONNECT_TIMEOUT_S = 1.5  # for a connection to be established
RETRY_INTERVAL_S = 0.15  # between attempts to connect to one address
MAX_QUEUED_BYTES = 32 << 20  # to one peer; beyond that the connection is aborted
MIN_RENEWAL_AGE_S = 2.0  # younger connections are not renewed, or two members would renew theirs in turn forever
IDLE_CLOSE_S = 60.0  # an outgoing connection unused for this long is closed
MAX_HELLO_BYTES = 4 << 10  # of the first frame of a connection
MAX_BUFFERED_BYTES = 3 * MAX_FRAME_BYTES  # of incomplete frames, on all incoming connections together
MAX_MESSAGES_PER_TURN = 32  # of one connection, before others have their turn
FRAME_TIMEOUT_S = 10.0  # for the Hello of a connection; for another frame the time that its length takes is added
MIN_FRAME_BYTES_PER_S = 100_000  # at which a frame has to arrive

Handler = Callable[[Hello, object], None]


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm, and have the kernel close a connection whose peer is silent."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class IncomingLink(asyncio.Protocol):
    """A connection that another member opened, and on which only that member sends.

    Messages are parsed a few at a time, in turn with the other connections. A peer that sends no valid frame, or no
    complete one in time, is disconnected.
    """

    def __init__(self, links: Links) -> None:
        self.links = links
        self.reader = FrameReader(MAX_HELLO_BYTES)
        self.hello: Hello | None = None
        self.transport: asyncio.Transport | None = None
        self.frame_since = monotonic()  # since when the next frame is awaited or arrives

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; abort it if the links are closed."""
        assert isinstance(transport, asyncio.Transport)
        if self.links.is_closed:
            transport.abort()
            return
        self.transport = transport
        self.links.incoming.add(self)
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Receive bytes, and dispatch the messages that are complete."""
        if not self.reader.buffered_bytes and self.hello is not None:
            self.frame_since = monotonic()
        self.reader.receive(data)
        self.links.buffered_bytes += len(data)
        if self.links.buffered_bytes > MAX_BUFFERED_BYTES:
            self._cut_off("too many bytes of incomplete frames")
            return
        self.parse_on()

    def parse_on(self) -> None:
        """Dispatch a few messages; cut the connection off if the stream is invalid or does not begin with Hello."""
        buffered_bytes = self.reader.buffered_bytes
        try:
            is_complete = self._dispatch_some()
        except CodecError as error:
            self._cut_off(str(error))
            return
        finally:
            self.links.buffered_bytes -= buffered_bytes - self.reader.buffered_bytes
        if self.transport is None or self.transport.is_closing():
            return
        if is_complete:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
            self.links.parse_scheduler.add(asyncio.get_running_loop(), self)

    def _dispatch_some(self) -> bool:
        """Dispatch up to MAX_MESSAGES_PER_TURN messages; return whether no complete one may be left.

        Raises:
            CodecError: The stream is invalid.

        """
        for _ in range(MAX_MESSAGES_PER_TURN):
            message = self.reader.next_message()
            if message is None:
                return True
            self.frame_since = monotonic()
            if self.hello is not None:
                self._dispatch(self.hello, message)
            elif isinstance(message, Hello):
                self._begin(message)
            else:
                raise CodecError("a connection begins with Hello")
        return False

    def _begin(self, hello: Hello) -> None:
        self.hello = hello
        self.reader.max_frame_bytes = MAX_FRAME_BYTES
        self.links.record_hello(hello)

    def _dispatch(self, hello: Hello, message: object) -> None:
        """Pass one message to the handler; its failure affects neither the messages after it nor the connection."""
        try:
            self.links.handler(hello, message)
        except Exception:  # broad: whatever fails in a handler, later messages must be processed
            logger.exception("message handling failed peer={} type={}", hello.sender.address, type(message).__name__)

    def check_deadline(self, now: float) -> None:
        """Cut the connection off if its Hello, or a frame that has begun, does not arrive in time."""
        if self.hello is not None and not self.reader.buffered_bytes:
            return
        allowed_s = FRAME_TIMEOUT_S + self.reader.expected_bytes / MIN_FRAME_BYTES_PER_S
        is_parsing = self.links.parse_scheduler.is_waiting(self)
        if now - self.frame_since > allowed_s and not is_parsing:
            self._cut_off("a frame that did not arrive in time")

    def _cut_off(self, reason: str) -> None:
        peer = self.hello.sender.address if self.hello is not None else "unknown"
        remote = self.transport.get_extra_info("peername") if self.transport is not None else None
        logger.warning("peer connection cut off peer={} remote={} reason={}", peer, remote, reason)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection."""
        self.links.incoming.discard(self)
        self.links.parse_scheduler.discard(self)
        self.links.buffered_bytes -= self.reader.buffered_bytes
        self.reader = FrameReader()


class OutgoingLink(asyncio.Protocol):
    """The connection to one address."""

    def __init__(self, links: Links, address: str) -> None:
        self.links = links
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.pending_frames: list[bytes] = []
        self.connecting: asyncio.Task[None] | None = None
        self.retry_at = 0.0
        self.last_used_at = 0.0
        self.connected_at = 0.0

    def send(self, data: bytes) -> None:
        """Send a frame, connecting first if needed; drop it between attempts to connect."""
        loop = asyncio.get_running_loop()
        self.last_used_at = loop.time()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
            if self.transport.get_write_buffer_size() > MAX_QUEUED_BYTES:
                self.transport.abort()
            return
        if self.connecting is None and loop.time() >= self.retry_at:
            self.connecting = loop.create_task(self._connect())
        if self.connecting is not None:
            self.pending_frames.append(data)

    async def _connect(self) -> None:
        host, port = self.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: self, host, int(port))
        except (OSError, TimeoutError):
            self.retry_at = loop.time() + RETRY_INTERVAL_S
            self.pending_frames.clear()
        finally:
            self.connecting = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send this member's Hello, then the pending frames."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.connected_at = asyncio.get_running_loop().time()
        set_socket_options(transport)
        transport.write(frame(self.links.hello) + b"".join(self.pending_frames))
        self.pending_frames.clear()

    def renew(self) -> None:
        """Abort a connection that may be dead, unless it is new; the next message connects again."""
        is_new = asyncio.get_running_loop().time() - self.connected_at < MIN_RENEWAL_AGE_S
        if self.transport is not None and not is_new:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Close the connection: peers send on their own connections, so no member of this fleet is there."""
        logger.warning("peer connection cut off peer={} reason=bytes on a connection from here", self.address)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the connection; the next message connects again."""
        self.transport = None


class Links:
    """All connections of one member."""

    def __init__(self, me: Replica, program: str, handler: Handler) -> None:
        self.hello = Hello(me, program)
        self.handler = handler
        self.outgoing: dict[str, OutgoingLink] = {}
        self.incoming: set[IncomingLink] = set()
        self.known_senders: set[str] = set()  # addresses of members that have connected before
        self.server: asyncio.Server | None = None
        self.is_closed = False
        self.parse_scheduler = ParseScheduler()
        self.buffered_bytes = 0  # received by all incoming connections, and not dispatched yet

    async def listen(self) -> None:
        """Accept connections at this member's own address."""
        host, port = self.hello.sender.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: IncomingLink(self), host, int(port), reuse_address=True)

    def record_hello(self, hello: Hello) -> None:
        """Record that a member has connected; if it had connected before, renew the connection to it.

        The member has lost its connection to this one. After a partition in which packets passed in one direction only,
        it may also have closed its end of the connection from here: messages sent on that are lost without any notice.
        """
        address = hello.sender.address
        link = self.outgoing.get(address)
        if address in self.known_senders and link is not None:
            link.renew()
        self.known_senders.add(address)

    def send(self, address: str, message: object) -> None:
        """Send a message; drop it if the member cannot be reached or the links are closed."""
        self.send_frame(address, frame(message))

    def send_frame(self, address: str, data: bytes) -> None:
        """Send an encoded frame."""
        if address == self.hello.sender.address:
            raise ValueError("a member does not connect to itself")
        if self.is_closed:
            return
        link = self.outgoing.get(address)
        if link is None:
            link = self.outgoing[address] = OutgoingLink(self, address)
        link.send(data)

    def close_idle(self) -> None:
        """Close outgoing connections that were not used for IDLE_CLOSE_S, and incoming ones that are overdue."""
        now = asyncio.get_running_loop().time()
        for connection in list(self.incoming):
            connection.check_deadline(monotonic())
        for address, link in list(self.outgoing.items()):
            if now - link.last_used_at > IDLE_CLOSE_S and link.connecting is None:
                if link.transport is not None:
                    link.transport.close()
                del self.outgoing[address]

    async def close(self) -> None:
        """Close all connections and send nothing more, and wait for the end of connects in progress.

        Timers and requests that end later may still call `send`: a connect started then would outlive the event loop.
        """
        self.is_closed = True
        if self.server is not None:
            self.server.close()
        connects = [link.connecting for link in self.outgoing.values() if link.connecting is not None]
        for connect in connects:
            connect.cancel()
        for link in self.outgoing.values():
            if link.transport is not None:
                link.transport.close()
        for connection in list(self.incoming):
            if connection.transport is not None:
                connection.transport.close()
        await asyncio.gather(*connects, return_exceptions=True)
