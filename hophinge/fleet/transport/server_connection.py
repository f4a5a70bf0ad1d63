"""The connection of an HTTP server: uvicorn parses and frames, `ConnectionState` says what is owed and what ends."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import httptools
from uvicorn.protocols.http.flow_control import service_unavailable
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol, RequestResponseCycle

from hophinge.fleet.transport.closing import close, linger
from hophinge.fleet.transport.connection_context import CONNECTION, AnswerTransport, ConnectionContext
from hophinge.fleet.transport.connection_state import (
    BAD_REQUEST,
    Action,
    ConnectionBounds,
    ConnectionState,
    Ending,
    Reading,
)
from hophinge.fleet.transport.upgrade import without_upgrade

MAX_WAITING = 8  # requests behind the one that is answered, from which on the client is not read
BY_CLIENT = (Ending.CLIENT_CLOSED, Ending.CLIENT_RESET)


class ServerConnection(HttpToolsProtocol):
    """A connection that somebody opened.

    The library has one newest request for a connection, and closes, refuses or forgets by it alone. Here every request
    that was read is kept until it is answered; an answer's bytes are never mixed with another's.
    """

    def __init__(self, context: ConnectionContext, **params: Any) -> None:
        super().__init__(**params)
        self.context = context
        self.raw: asyncio.Transport | None = None
        self.cycles: deque[RequestResponseCycle] = deque()  # that are owed, in their order
        self.timer: asyncio.TimerHandle | None = None
        self.state = ConnectionState(context.bounds, self.loop.time())

    # --- the connection ------------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin."""
        super().connection_made(transport)
        self.raw = transport
        self.transport = AnswerTransport(transport, self.close_asked)  # type: ignore[assignment]
        self._watch_time()
        if len(self.connections) > self.context.most_connections:
            self._make_room()

    def _make_room(self) -> None:
        """Have the connection that rests longest yield its place; this one, where none rests."""
        resting = [one for one in self.connections if isinstance(one, ServerConnection) and one.state.rests]
        longest = min(resting, key=lambda one: one.state.since, default=self)
        longest._do(longest.state.yield_place())

    def data_received(self, data: bytes) -> None:
        """Read requests. What comes behind the connection's end, or behind a refusal, is passed over."""
        if not self.state.taking:
            return
        try:
            self._read(data)
        except httptools.HttpParserError:
            self._do(self.state.unfit(Ending.BAD_BYTES, BAD_REQUEST, self._newest_begun()))
        else:
            self._do(self.state.bytes_read(self.loop.time(), len(data)))
        self._watch_time()

    def _read(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self.parser.get_method() == b"CONNECT":
                raise httptools.HttpParserError("CONNECT is not served") from upgrade
            self._read(self._without_upgrade() + data[upgrade.args[0] :])

    def _without_upgrade(self) -> bytes:
        """Have a new parser read the newest header anew, as one that wishes for no other protocol."""
        head = without_upgrade(self.parser.get_method(), self.url, self.parser.get_http_version(), self.headers)
        self.parser = httptools.HttpRequestParser(self)
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return head

    def eof_received(self) -> None:
        """Give up what is open: a client that closes its side has left."""
        self.state.lost(Ending.CLIENT_CLOSED)
        self._give_up()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell all that is under way, and count the end where something had been left open."""
        self.state.lost(Ending.CLIENT_RESET if exc is not None else Ending.CLIENT_CLOSED)
        if self.timer is not None:
            self.timer.cancel()
        ending = self.state.ending
        left_open = self.state.owed or self.state.reading is not Reading.NOTHING
        if ending is not None and (left_open or ending not in (*BY_CLIENT, Ending.SAID_CLOSE)):
            self.context.ends[ending.value] += 1
        self._give_up()
        super().connection_lost(exc)

    def _give_up(self) -> None:
        """Tell requests that their client has gone; those that wait are not begun."""
        self.pipeline.clear()
        for cycle in self.cycles:
            self._disconnect(cycle)

    @staticmethod
    def _disconnect(cycle: RequestResponseCycle) -> None:
        cycle.disconnected = True
        cycle.message_event.set()

    # --- requests ------------------------------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Take the first byte of a request."""
        super().on_message_begin()
        self.scope["state"][CONNECTION] = self.state
        self.state.header_begun(self.loop.time())

    def on_headers_complete(self) -> None:
        """Take a header: its request is owed an answer from now on."""
        if self.parser.should_upgrade():
            return  # it is read again, without the wish
        super().on_headers_complete()
        self.cycles.append(self.cycle)
        served = self.state.header_read(self.cycle.keep_alive)
        if self.pipeline and self.pipeline[0][0] is self.cycle:
            if not served:
                self.pipeline[0] = (self.cycle, service_unavailable)
            if len(self.pipeline) < MAX_WAITING:
                self.flow.resume_reading()  # its client's leaving has to be seen

    def on_message_complete(self) -> None:
        """Take a request's last byte."""
        if self.parser.should_upgrade():
            return
        super().on_message_complete()
        self.state.request_read(self.loop.time())

    def on_response_complete(self) -> None:
        """Go on behind a whole answer."""
        self.server_state.total_requests += 1
        self.cycles.popleft()
        self.flow.resume_reading()
        self._do(self.state.answered(self.loop.time()))
        self._watch_time()

    def close_asked(self) -> None:
        """Close behind the last claim; at once where an answer has begun that will not come to its end."""
        first = self.cycles[0] if self.cycles else None
        if first is not None and first.response_started and not first.response_complete:
            self.state.lost(Ending.BROKEN_ANSWER)
            self._close()
        else:
            self._do(self.state.close_asked())

    def shutdown(self) -> None:
        """Take nothing new, as the process ends; an answer that has not begun says that it is the last."""
        self._do(self.state.process_ends())
        if self.cycles:
            self.cycles[-1].keep_alive = False

    # --- what the state asks for ---------------------------------------------------------------------------------

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if action is Action.BEGIN:
                cycle, app = self.pipeline.pop()
                self._start_asgi_task(cycle, app)
            elif action is Action.ABANDON:
                self._abandon()
            elif action is Action.REFUSE:
                self._refuse(self.state.refusal)
            elif self.state.reading is Reading.BODY:
                self._linger()
            else:
                self._close()

    def _newest_begun(self) -> bool:
        """Tell whether the answer to the newest request has begun."""
        return bool(self.cycles) and self.cycles[-1].response_started

    def _abandon(self) -> None:
        cycle = self.cycles.pop()
        if self.pipeline and self.pipeline[0][0] is cycle:
            self.pipeline.popleft()
        self._disconnect(cycle)

    def _refuse(self, status: int) -> None:
        assert self.raw is not None
        self.raw.write(STATUS_LINE[status] + b"content-length: 0\r\nconnection: close\r\n\r\n")
        self._linger()

    def _linger(self) -> None:
        """Close for writing, and read on for a moment."""
        assert self.raw is not None
        self.flow.resume_reading()
        linger(self.loop, self.raw)

    def _close(self) -> None:
        assert self.raw is not None
        close(self.loop, self.raw)

    # --- time ----------------------------------------------------------------------------------------------------

    def bounded_by(self, bounds: ConnectionBounds) -> None:
        """Take new bounds."""
        self.state.bounded_by(bounds)
        self._watch_time()

    def _watch_time(self) -> None:
        """Have one timer that is due no later than the state; it looks again where there was something meanwhile."""
        due = self.state.due
        if due is None or (self.timer is not None and self.timer.when() <= due):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_at(due, self._on_time)

    def _on_time(self) -> None:
        self.timer = None
        if self.flow.read_paused:
            self.state.since = self.loop.time()  # it is not its client that keeps it waiting
        self._do(self.state.time(self.loop.time(), self._newest_begun()))
        self._watch_time()

    # --- what is told --------------------------------------------------------------------------------------------

    def owed(self) -> list[str]:
        """Tell the answers that are owed, or have not gone out whole yet."""
        waiting = self.raw.get_write_buffer_size() if self.raw is not None else 0
        told = [
            f"path={cycle.scope['path']} client={self.client} response=incomplete unsent_bytes={waiting}"
            for cycle in self.cycles
        ]
        if not told and waiting:
            path = self.cycle.scope["path"] if self.cycle is not None else "?"
            told.append(f"path={path} client={self.client} response=complete unsent_bytes={waiting}")
        return told
