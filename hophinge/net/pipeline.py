"""Requests behind one another on a client's connection: read one at a time, and given up with their client."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from typing import Any, Protocol

from aiohttp import web
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from hophinge.core.counters import Counters
from hophinge.net.budget import Budget

END = b"\r\n\r\n"  # of a head
HELD = 256 * 1024  # bytes behind a request, from which on its client is read no further, and its close seen late
FAIR = 64 * 1024  # of them, from which on a client floods when all of them hold more than they may
LOOK_S = 0.04  # between looks for the end of a client that is not read: 0.1 s after it nothing may be sent on
READ_S = 10.0  # for a client to read what waits for it, and more for each byte
READ_RATE = 16_000  # bytes a second; slower ones hold a connection for too long
SAME_S = 0.01  # what comes within it came at once
GONE = select.POLLHUP | select.POLLERR | getattr(select, "POLLRDHUP", 0)


class Owner(Protocol):
    """Whose connections these are."""

    counters: Counters
    behind: Budget


def piece(before: bytes, data: bytearray) -> int:
    """Tell how much of `data` goes up to a head's end, which may have begun `before`; all of it where there is none."""
    at = (before + data[:3]).find(END)
    if at >= 0:
        return at + len(END) - len(before)
    at = data.find(END)
    return at + len(END) if at >= 0 else len(data)


def ended(transport: asyncio.BaseTransport) -> bool:
    """Tell whether the other side has closed, also where bytes lie unread before its end."""
    try:
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), GONE)
        return any(events & GONE for _, events in poll.poll(0))
    except (AttributeError, OSError, ValueError):  # closed here already: it has no descriptor
        return False


class Pipeline(RequestHandler):
    """A connection whose requests are read one at a time.

    aiohttp reads 32 ahead and then reads no more: it sees no close behind them, and sends on one after another for a
    client that has gone. What its parser cannot read takes those before it in the same read with it.
    """

    def __init__(self, manager: web.Server, owner: Owner, **params: Any) -> None:
        super().__init__(manager, **params)
        self.owner = owner
        self.answered = 0  # requests, malformed ones among them
        self.behind = bytearray()  # bytes that come after the request that is open
        self.counted = 0  # of them, in the owner's budget
        self.reads = deque[tuple[int, float]]()  # of it: how many bytes came, and when
        self.arrived = 0.0  # when the last byte came that the parser has
        self.before = b""  # the last few bytes that the parser has
        self.payload: StreamReader = EMPTY_PAYLOAD  # of the last request read
        self.length: int | None = None  # of its body, where it is stated
        self.held_back = False  # it has sent too much, and is not read
        self.look: asyncio.TimerHandle | None = None
        self.stalled: asyncio.TimerHandle | None = None

    @property
    def taken(self) -> int:
        """Tell how many requests have been read, malformed ones among them."""
        return self._request_count

    @property
    def more(self) -> bool:
        """Tell whether a request has come behind the one that is answered now."""
        return self.taken > self.answered + 1 or END in self.behind

    def connection_lost(self, exc: BaseException | None) -> None:
        """Take its end."""
        self.drop_behind()
        if self.stalled is not None:
            self.stalled.cancel()
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Give up what is open: a client that ends its sending has gone, as the protocol knows only a close.

        The connection ends once all that was answered is written out, which may take its time.
        """
        if self._task_handler is not None:
            self._task_handler.cancel()
        if self.transport is not None:
            self.bound(self.transport)

    def bound(self, transport: asyncio.Transport) -> None:
        """Have a transport that closes end in time, whether or not its client reads what waits."""
        waiting = transport.get_write_buffer_size()
        if waiting:
            self._loop.call_later(READ_S + waiting / READ_RATE, transport.abort)

    def force_close(self) -> None:
        """Close at once but for what waits to be written."""
        transport = self.transport
        super().force_close()
        if transport is not None:
            self.bound(transport)

    def pause_writing(self) -> None:
        """Wait for a client that does not read, for a while."""
        super().pause_writing()
        if self.transport is not None:
            waiting = self.transport.get_write_buffer_size()
            self.stalled = self._loop.call_later(READ_S + waiting / READ_RATE, self.transport.abort)

    def resume_writing(self) -> None:
        """Go on: the client reads."""
        if self.stalled is not None:
            self.stalled.cancel()
        super().resume_writing()

    def data_received(self, data: bytes) -> None:
        """Read the request that is the next, and hold what comes behind it."""
        if (
            not self.before
            and not self.behind
            and self._request_count == self.answered
            and (data.find(END) == len(data) - len(END) >= 0)
        ):
            # As nearly always: one head on a connection at rest.
            self.arrived, self.before = self._loop.time(), data[-3:]
            return self._parse(data)
        if not data:
            self._parse(data)  # a body that was paused goes on
        else:
            self._note(len(data))
        self.behind += data
        self.advance()

    def advance(self) -> None:
        """Read as far as the next request's end, if its turn has come."""
        while (
            self.behind
            and not self._reading_paused
            and (
                # Where one body's end and the next head came in one piece the next has been read too.
                self.taken - self.answered < (1 if self.payload.is_eof() else 2)
            )
        ):
            size = self._size()
            data = bytes(self.behind[:size])
            del self.behind[:size]
            self.before = (self.before + data)[-3:]
            self._pass(size)
            self._parse(data)
        self._count()
        self._hold_back()

    def drop_behind(self) -> None:
        """Hold nothing any longer: what has come behind the open request is nobody's."""
        self.behind.clear()
        self.reads.clear()
        self._count()
        self.held_back = False
        if self.look is not None:
            self.look.cancel()
            self.look = None

    def _parse(self, data: bytes) -> None:
        count, payload = self._request_count, self.payload
        super().data_received(data)
        if self._request_count != count and self._messages:
            message, self.payload = self._messages[-1]
            self.length = None
            if not isinstance(message, _ErrInfo):
                if self.payload is not EMPTY_PAYLOAD and (stated := message.headers.get("Content-Length")):
                    self.length = int(stated)  # digits alone: the parser has seen to that
            elif not payload.is_eof():
                # The parser forgets the body that it could not read, and its request would wait for the rest.
                payload.set_exception(web.RequestPayloadError(message.message))

    def _note(self, size: int) -> None:
        now = self._loop.time()
        if self.reads and now - self.reads[-1][1] < SAME_S:
            size, now = size + self.reads[-1][0], self.reads.pop()[1]
        self.reads.append((size, now))

    def _pass(self, size: int) -> None:
        while size:
            came, self.arrived = self.reads.popleft()
            if came > size:
                self.reads.appendleft((came - size, self.arrived))
            size -= min(size, came)

    def waited_s(self) -> float:
        """Tell for how long the request that is answered now has been here whole: its client's time runs from then."""
        return max(0.0, self._loop.time() - self.arrived)

    def over(self, lasts: bool) -> None:
        """Note that a request has been answered, and read the next, if its connection lasts."""
        self.answered += 1
        if self.taken == self.answered:
            self.payload, self.before = EMPTY_PAYLOAD, b""
        if lasts and self.behind:
            self.advance()

    def _size(self) -> int:
        """Tell how much the parser is given: up to a body's end, where its length is known, or that of a head."""
        if self.length is not None and not self.payload.is_eof():
            return min(len(self.behind), max(1, self.length - self.payload.total_bytes))
        return piece(self.before, self.behind)

    def _count(self) -> None:
        self.owner.behind.held += len(self.behind) - self.counted
        self.counted = len(self.behind)

    def _hold_back(self) -> None:
        over = len(self.behind) > HELD
        if len(self.behind) > FAIR and self.owner.behind.full:
            # Clients send one request at a time; those that flood the head are not to end it for the others.
            self.owner.counters.add("connections_flooding")
            if self.transport is not None:
                self.transport.abort()
        elif over != self.held_back:
            self.held_back = over
            if over:
                self._pause_transport_reading()
            elif not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()

    def _pause_transport_reading(self) -> None:
        super()._pause_transport_reading()
        if self.look is None:
            self.look = self._loop.call_later(LOOK_S, self._look)

    def _resume_transport_reading(self) -> None:
        if self.held_back:
            return
        if self.look is not None:
            self.look.cancel()
            self.look = None
        super()._resume_transport_reading()

    def _look(self) -> None:
        """Look for the close that is not seen behind bytes that are not read."""
        self.look = None
        if self.transport is None or self.transport.is_closing():
            return
        if ended(self.transport):
            self.transport.abort()
        else:
            self.look = self._loop.call_later(LOOK_S, self._look)
