"""A connection of the HTTP server: uvicorn parses and frames, `ConnectionState` orders responses and decides closes."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import httptools
from uvicorn.protocols.http.flow_control import service_unavailable
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol, RequestResponseCycle

from hophinge.fleet.transport.closing import close, linger
from hophinge.fleet.transport.connection_context import CONNECTION, ResponseTransport, ConnectionContext
from hophinge.fleet.transport.connection_state import (
    BAD_REQUEST,
    Action,
    ConnectionBounds,
    ConnectionState,
    CloseReason,
    ReadState,
)
from hophinge.fleet.transport.upgrade import without_upgrade

MAX_PIPELINED = 8  # requests waiting behind the one being answered, at which reading pauses
CLOSED_BY_CLIENT = (CloseReason.CLIENT_CLOSED, CloseReason.CLIENT_RESET)


class ServerConnection(HttpToolsProtocol):
    """A connection that a client opened.

    uvicorn tracks only the latest request of a connection, and closes, rejects or drops by that one alone. This class
    keeps every request that was read until its response is complete, and never mixes the bytes of responses.
    """

    def __init__(self, context: ConnectionContext, **params: Any) -> None:
        super().__init__(**params)
        self.context = context
        self.raw_transport: asyncio.Transport | None = None
        self.cycles: deque[RequestResponseCycle] = deque()  # outstanding, in the order of requests
        self.timer: asyncio.TimerHandle | None = None
        self.state = ConnectionState(context.bounds, self.loop.time())

    # --- the connection ------------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin the connection; close an idle one if there are too many."""
        super().connection_made(transport)
        self.raw_transport = transport
        self.transport = ResponseTransport(  # type: ignore[assignment]
            transport, self.request_close, self._disconnect_all
        )
        self._schedule_deadline()
        if len(self.connections) > self.context.max_connections:
            self._enforce_capacity()

    def _enforce_capacity(self) -> None:
        """Close the connection that has been idle longest, or this one if none is idle."""
        idle = [
            connection
            for connection in self.connections
            if isinstance(connection, ServerConnection) and connection.state.is_idle
        ]
        longest_idle = min(idle, key=lambda connection: connection.state.waiting_since, default=self)
        longest_idle._perform(longest_idle.state.yield_to_another())

    def data_received(self, data: bytes) -> None:
        """Read requests; ignore data that arrives once the connection accepts nothing new."""
        if not self.state.is_accepting:
            return
        try:
            self._feed_parser(data)
        except httptools.HttpParserError:
            self._perform(
                self.state.reject(CloseReason.INVALID_REQUEST, BAD_REQUEST, self._is_newest_response_started())
            )
        else:
            self._perform(self.state.receive_bytes(self.loop.time(), len(data)))
        self._schedule_deadline()

    def _feed_parser(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self.parser.get_method() == b"CONNECT":
                raise httptools.HttpParserError("CONNECT is not served") from upgrade
            self._feed_parser(self._without_upgrade() + data[upgrade.args[0] :])

    def _without_upgrade(self) -> bytes:
        """Return the latest header without its upgrade, and create a new parser to read it."""
        head = without_upgrade(self.parser.get_method(), self.url, self.parser.get_http_version(), self.headers)
        self.parser = httptools.HttpRequestParser(self)
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return head

    def eof_received(self) -> None:
        """Cancel the requests in flight: a client that closes its side counts as disconnected."""
        self.state.abandon(CloseReason.CLIENT_CLOSED)
        self._disconnect_all()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in flight, and count the reason of an unclean close.

        A close is clean if no request was incomplete and the client, a request or a response asked for it.
        """
        self.state.abandon(CloseReason.CLIENT_RESET if exc is not None else CloseReason.CLIENT_CLOSED)
        if self.timer is not None:
            self.timer.cancel()
        reason = self.state.close_reason
        is_left_open = self.state.outstanding or self.state.read_state is not ReadState.NOTHING
        if reason is not None and (is_left_open or reason not in (*CLOSED_BY_CLIENT, CloseReason.CLOSE_REQUESTED)):
            self.context.close_reasons[reason.value] += 1
        self._disconnect_all()
        super().connection_lost(exc)

    def _disconnect_all(self) -> None:
        """Notify the requests that their client has disconnected; those that wait are not started."""
        self.pipeline.clear()
        for cycle in self.cycles:
            self._disconnect(cycle)

    @staticmethod
    def _disconnect(cycle: RequestResponseCycle) -> None:
        cycle.disconnected = True
        cycle.message_event.set()

    # --- requests ------------------------------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Handle the first byte of a request."""
        super().on_message_begin()
        self.scope["state"][CONNECTION] = self.state
        self.state.begin_header(self.loop.time())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header field; drop a trailer field, which arrives after the body (RFC 9110, section 6.5.1)."""
        if self.state.read_state is not ReadState.BODY:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Handle a complete header: its response is outstanding from now on."""
        if self.parser.should_upgrade():
            return  # the header is parsed again without its upgrade
        super().on_headers_complete()
        self.cycles.append(self.cycle)
        is_served = self.state.complete_header(self.cycle.keep_alive)
        if self.pipeline and self.pipeline[0][0] is self.cycle:
            if not is_served:
                self.pipeline[0] = (self.cycle, service_unavailable)
            if len(self.pipeline) < MAX_PIPELINED:
                self.flow.resume_reading()  # to detect a disconnect of the client

    def on_message_complete(self) -> None:
        """Handle a request's last byte."""
        if self.parser.should_upgrade():
            return
        super().on_message_complete()
        self.state.complete_request(self.loop.time())

    def on_response_complete(self) -> None:
        """Start the next response, or close if the connection is to close."""
        self.server_state.total_requests += 1
        self.cycles.popleft()
        self.flow.resume_reading()
        self._perform(self.state.complete_response(self.loop.time()))
        self._schedule_deadline()

    def request_close(self) -> None:
        """Close after the last outstanding response; at once if a started response cannot be completed."""
        first = self.cycles[0] if self.cycles else None
        if first is not None and first.response_started and not first.response_complete:
            self.state.abandon(CloseReason.RESPONSE_ABORTED)
            self._close()
        else:
            self._perform(self.state.request_close())

    def shutdown(self) -> None:
        """Accept nothing new, as the process shuts down; the last response, if not started yet, announces the close."""
        self._perform(self.state.shut_down())
        if self.cycles:
            self.cycles[-1].keep_alive = False

    # --- actions -------------------------------------------------------------------------------------------------

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if action is Action.BEGIN_NEXT_RESPONSE:
                cycle, app = self.pipeline.pop()
                self._start_asgi_task(cycle, app)
            elif action is Action.ABANDON_NEWEST:
                self._abandon_newest()
            elif action is Action.REJECT:
                self._reject(self.state.rejection_status)
            elif self.state.read_state is ReadState.BODY:
                self._linger()
            else:
                self._close()

    def _is_newest_response_started(self) -> bool:
        """Return whether the response to the latest request has started."""
        return bool(self.cycles) and self.cycles[-1].response_started

    def _abandon_newest(self) -> None:
        cycle = self.cycles.pop()
        if self.pipeline and self.pipeline[0][0] is cycle:
            self.pipeline.popleft()
        self._disconnect(cycle)

    def _reject(self, status: int) -> None:
        assert self.raw_transport is not None
        self.raw_transport.write(STATUS_LINE[status] + b"content-length: 0\r\nconnection: close\r\n\r\n")
        self._linger()

    def _linger(self) -> None:
        """Half-close, and keep reading for LINGER_S."""
        assert self.raw_transport is not None
        self.flow.resume_reading()
        linger(self.loop, self.raw_transport)

    def _close(self) -> None:
        assert self.raw_transport is not None
        close(self.loop, self.raw_transport)

    # --- deadlines -----------------------------------------------------------------------------------------------

    def update_bounds(self, bounds: ConnectionBounds) -> None:
        """Apply new bounds."""
        self.state.update_bounds(bounds)
        self._schedule_deadline()

    def _schedule_deadline(self) -> None:
        """Keep one timer, no later than the state's deadline; a timer that fires early schedules the next one."""
        deadline = self.state.deadline
        if deadline is None or (self.timer is not None and self.timer.when() <= deadline):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_at(deadline, self._on_deadline)

    def _on_deadline(self) -> None:
        self.timer = None
        if self.flow.read_paused:
            self.state.waiting_since = self.loop.time()  # the server itself has paused reading
        self._perform(self.state.check_deadline(self.loop.time(), self._is_newest_response_started()))
        self._schedule_deadline()

    # --- descriptions --------------------------------------------------------------------------------------------

    def outstanding_responses(self) -> list[str]:
        """Return a description of each response that is outstanding or not sent completely, for the log."""
        unsent_bytes = self.raw_transport.get_write_buffer_size() if self.raw_transport is not None else 0
        descriptions = [
            f"path={cycle.scope['path']} client={self.client} response=incomplete unsent_bytes={unsent_bytes}"
            for cycle in self.cycles
        ]
        if not descriptions and unsent_bytes:
            path = self.cycle.scope["path"] if self.cycle is not None else "?"
            descriptions.append(f"path={path} client={self.client} response=complete unsent_bytes={unsent_bytes}")
        return descriptions
