"""A connection of the HTTP server: uvicorn parses and frames, `ConnectionState` orders responses and decides closes."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, cast

import httptools
from loguru import logger
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol, RequestResponseCycle

from hophinge.fleet.forwarding.completed_requests import CompletedRequest, client_name
from hophinge.fleet.transport.asgi import BODY_FOLLOWS, CLOSE, Receive, Scope, Send, answer
from hophinge.fleet.transport.closing import close, linger
from hophinge.fleet.transport.client_memory import BodyMemoryFullError
from hophinge.fleet.transport.connection_context import CONNECTION, MEMORY, ResponseTransport, ConnectionContext
from hophinge.fleet.transport.connection_state import (
    BAD_REQUEST,
    SERVICE_UNAVAILABLE,
    Action,
    ConnectionBounds,
    ConnectionState,
    CloseReason,
    ReadState,
)
from hophinge.fleet.transport.message_boundaries import MessageBoundaries
from hophinge.fleet.transport.request_flow import RequestFlow
from hophinge.fleet.transport.upgrade import without_upgrade

MAX_PIPELINED = 8  # requests waiting behind the one being answered, at which reading pauses
MAX_PIPELINED_BYTES = 64 << 10  # that these requests may hold
MAX_PIECES_PER_TURN = 64  # parsed for one connection before others have their turn
MAX_BYTES_PER_TURN = 8 << 10  # of these; a single piece may have more, where it is part of a body of stated length
REQUEST_BYTES = 4_096  # held for a request besides its header fields and its body
FIELD_BYTES = 400  # held for a header field besides its name and value
STALL_S = 5.0  # in which less than MIN_PROGRESS_BYTES of a request arrive, after which its client counts as stalled
MIN_PROGRESS_BYTES = 64 << 10
CAPACITY_STALL_S = 1.0  # of waiting for a client, after which its connection may be closed for a new one
LINGERING_FRACTION = 1 / 8  # of the limit on connections, that may linger beyond it
INTERNAL_SERVER_ERROR = 500
WHITE_SPACE = b" \t"
CLOSED_BY_CLIENT = (CloseReason.CLIENT_CLOSED, CloseReason.CLIENT_RESET)


async def reject_in_turn(scope: Scope, receive: Receive, send: Send) -> None:
    """Reject a request that was read once its connection was to close: it is not executed."""
    await answer(send, SERVICE_UNAVAILABLE, b"", [CLOSE])
    reason = "read once the connection was to close"
    rejected = CompletedRequest.without_attempts(scope["headers"], scope["client"], SERVICE_UNAVAILABLE, reason)
    logger.info("{}", rejected.event())


class ServerConnection(HttpToolsProtocol):
    """A connection that a client opened.

    uvicorn tracks only the latest request of a connection, and closes, rejects or drops by that one alone. This class
    keeps every request that was read until its response is complete, and never mixes the bytes of responses. It parses
    only as many requests ahead as may wait, and accounts for what it holds.
    """

    flow: RequestFlow
    response_transport: ResponseTransport

    def __init__(self, context: ConnectionContext, **params: Any) -> None:
        super().__init__(**params)
        self.context = context
        self.raw_transport: asyncio.Transport | None = None
        self.port = 0  # to which the client connected
        self.cycles: deque[RequestResponseCycle] = deque()  # outstanding, in the order of requests
        self.request_bytes: deque[int] = deque()  # held for each of them, besides its body
        self.boundaries = MessageBoundaries()
        self.received = b""  # of which the bytes from `parsed_to` are not parsed yet
        self.parsed_to = 0
        self.is_parsing = False
        self.is_aborted = False  # closed at once: what it holds is released within a few iterations of the event loop
        self.reserved_bytes = 0  # for the bodies of requests, and for responses that are not sent yet
        self.abandoned_bytes = 0  # of these, of a request that was rejected and will release them soon
        self.began_at = 0.0  # the beginning of the latest request
        self.progress_since = 0.0  # the beginning of the latest MIN_PROGRESS_BYTES of a request
        self.progress_bytes = 0
        self.timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None
        self.write_paused_since: float | None = None
        self.state = ConnectionState(context.bounds, self.loop.time())

    # --- the connection ------------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin the connection; close an idle one if there are too many."""
        super().connection_made(transport)
        self.raw_transport = transport
        self.response_transport = ResponseTransport(
            transport, self.request_close, self._abandon_lost, self._update_memory
        )
        self.transport = self.response_transport  # type: ignore[assignment]
        self.flow = RequestFlow(transport, self._parse_more)
        self.port = self.server[1] or 0 if self.server is not None else 0
        self.context.open_connections[self.port] += 1
        self._schedule_deadline()
        if self.context.open_connections[self.port] > self.context.connection_limit(self.port):
            self._enforce_capacity()

    def _enforce_capacity(self) -> None:
        """Close the connection that can be spared most: one that lingers, the longest idle, one that waits, or this."""
        others = [
            connection
            for connection in self.connections
            if isinstance(connection, ServerConnection) and connection.port == self.port
        ]
        spared = (
            [connection for connection in others if connection.state.is_closed and not connection.is_aborted]
            or [connection for connection in others if connection.state.is_idle]
            or [connection for connection in others if connection.is_waiting_for_client()]
        )
        longest = min(spared, key=lambda connection: connection.waiting_since, default=self)
        longest._yield_to_another()

    @property
    def waiting_since(self) -> float:
        """Since when the server waits for the client."""
        return self.write_paused_since if self.write_paused_since is not None else self.state.waiting_since

    def is_waiting_for_client(self) -> bool:
        """Return whether the client has not sent the rest of a request, or not read a response, for a while."""
        is_incomplete = self.state.read_state is not ReadState.NOTHING and not self.flow.read_paused
        is_waiting = (is_incomplete or self.write_paused_since is not None) and not self.state.is_closed
        return is_waiting and self.loop.time() - self.waiting_since >= CAPACITY_STALL_S

    def _yield_to_another(self) -> None:
        """Make room for another connection; linger only as long as not too many connections do."""
        limit = self.context.connection_limit(self.port)
        if self.write_paused_since is not None or self.state.is_closed:
            self._abort(CloseReason.AT_CAPACITY)
        elif self.state.read_state is ReadState.NOTHING:
            self._perform(self.state.yield_to_others(CloseReason.AT_CAPACITY))
        else:
            self._reject_incomplete(CloseReason.AT_CAPACITY)
        if self.context.open_connections[self.port] > limit * (1 + LINGERING_FRACTION):
            self._abort(CloseReason.AT_CAPACITY)

    def _abort(self, reason: CloseReason) -> None:
        """Close at once, with what is outstanding."""
        assert self.raw_transport is not None
        self.is_aborted = True
        self.state.abandon(reason)
        self._discard_unparsed()
        self._disconnect_all()
        self.raw_transport.abort()

    def _reject_incomplete(self, reason: CloseReason) -> None:
        """Answer 503 to the request that is being read, and accept nothing new; it was not executed."""
        was_reading_header = self.state.read_state is ReadState.HEAD
        self._perform(self.state.reject(reason, SERVICE_UNAVAILABLE, self._is_newest_response_started()))
        self._discard_unparsed()
        if was_reading_header:
            self.headers.clear()

    def pause_writing(self) -> None:
        """Begin to wait for the client to read."""
        super().pause_writing()
        self.write_paused_since = self.loop.time()
        self._watch_reader(self.unsent_bytes)

    def resume_writing(self) -> None:
        """End the wait for the client."""
        super().resume_writing()
        self.write_paused_since = None
        if self.write_timer is not None:
            self.write_timer.cancel()
            self.write_timer = None

    def _watch_reader(self, unsent_bytes: int) -> None:
        self.write_timer = self.loop.call_later(self.context.bounds.idle_s, self._check_reader, unsent_bytes)

    def _check_reader(self, previous_unsent_bytes: int) -> None:
        """Close a connection whose client has read nothing for as long as it may be idle."""
        self.write_timer = None
        unsent_bytes = self.unsent_bytes
        if unsent_bytes >= previous_unsent_bytes:
            self._abort(CloseReason.RESPONSE_UNREAD)
        else:
            self.write_paused_since = self.loop.time()
            self._watch_reader(unsent_bytes)

    # --- reading -------------------------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Read requests; ignore data that arrives once the connection accepts nothing new."""
        if not self.state.is_accepting:
            return
        self.received = self.received[self.parsed_to :] + data if self.received else data
        self.parsed_to = 0
        self._parse()

    @property
    def _has_unparsed(self) -> bool:
        return self.parsed_to < len(self.received)

    def _discard_unparsed(self) -> None:
        self.received, self.parsed_to = b"", 0
        self.context.parse_scheduler.discard(self)

    def _parse_more(self) -> None:
        """Parse and read on, if a response asks for more of its request or is complete."""
        if self.is_parsing:
            return
        if self._has_unparsed and self.state.is_accepting:
            self.context.parse_scheduler.add(self.loop, self)
        elif not self.state.is_accepting:
            self._parse()
        elif self.flow.read_paused and self._may_parse():
            self.flow.update_reading(True)

    def _parse(self) -> None:
        """Parse what was received, as far as the requests that are outstanding permit."""
        self.is_parsing = True
        try:
            self._parse_pieces()
        finally:
            self.is_parsing = False
        if not self.state.is_accepting or not self._has_unparsed:
            self._discard_unparsed()
        if self._has_unparsed or self.state.has_unparsed_bytes:
            self._perform(self.state.record_unparsed(self._has_unparsed))
        if self.raw_transport is not None and not self.raw_transport.is_closing():
            self.flow.update_reading(not self._has_unparsed and (self._may_parse() or not self.state.is_accepting))
            self._require_memory()
        self._schedule_deadline()

    def _require_memory(self) -> None:
        """Account for what was read, and accept nothing more of this client where that is too much."""
        try:
            self.context.memory.require(self)
        except BodyMemoryFullError:
            if self.state.read_state is not ReadState.NOTHING:
                self._reject_incomplete(CloseReason.OUT_OF_MEMORY)
                self._update_memory()
            elif self.pipeline:
                self._perform(self.state.yield_to_others(CloseReason.OUT_OF_MEMORY))

    def _parse_pieces(self) -> None:
        end = self.parsed_to + MAX_BYTES_PER_TURN
        for _ in range(MAX_PIECES_PER_TURN):
            if not (self._has_unparsed and self.state.is_accepting and self._may_parse()):
                return
            self._parse_piece()
            if self.parsed_to >= end:
                break
        if self._has_unparsed:
            self.context.parse_scheduler.add(self.loop, self)

    @property
    def waits_for_turn(self) -> bool:
        """Whether it has bytes to parse, and is to parse them in its turn."""
        return self.context.parse_scheduler.is_waiting(self)

    def parse_on(self) -> None:
        """Parse a part of what was received, in this connection's turn."""
        self._parse()

    def _may_parse(self) -> bool:
        """Return whether the outstanding requests leave room for more."""
        if self.state.read_state is ReadState.BODY:
            return self.cycle.response_complete or len(self.cycle.body) <= HIGH_WATER_LIMIT
        if not self.pipeline:
            return True
        waiting_bytes = sum(self.request_bytes) + sum(len(cycle.body) for cycle, _ in self.pipeline)
        return len(self.pipeline) < MAX_PIPELINED and waiting_bytes - self.request_bytes[0] <= MAX_PIPELINED_BYTES

    def _parse_piece(self) -> None:
        size = self.boundaries.next_size(self.received, self.parsed_to, self.state.bounds.header_bytes)
        piece = self.received[self.parsed_to : self.parsed_to + size]
        self.parsed_to += size
        try:
            self._feed_parser(piece)
        except httptools.HttpParserError:
            self._perform(
                self.state.reject(CloseReason.INVALID_REQUEST, BAD_REQUEST, self._is_newest_response_started())
            )
        else:
            self._perform(self.state.receive_bytes(self.loop.time(), size))

    def _feed_parser(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if not self.state.is_accepting:
                return
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
        self._discard_unparsed()
        self._disconnect_all()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in flight, and count the reason of an unclean close.

        A close is clean if no request was incomplete and the client, a request or a response asked for it.
        """
        self.state.abandon(CloseReason.CLIENT_RESET if exc is not None else CloseReason.CLIENT_CLOSED)
        self._discard_unparsed()
        for timer in (self.timer, self.write_timer):
            if timer is not None:
                timer.cancel()
        self.context.open_connections[self.port] -= 1
        self.context.memory.forget(self)
        reason = self.state.close_reason
        is_left_open = self.state.outstanding or self.state.read_state is not ReadState.NOTHING
        if reason is not None and (is_left_open or reason not in (*CLOSED_BY_CLIENT, CloseReason.CLOSE_REQUESTED)):
            self.context.close_reasons[reason.value] += 1
        self._disconnect_all()
        super().connection_lost(exc)

    # --- memory --------------------------------------------------------------------------------------------------

    def measure_memory(self) -> int:
        """Return the bytes that this connection makes the process hold."""
        if self.is_aborted:
            return 0
        held = self.unsent_bytes + len(self.received) + self.reserved_bytes - self.abandoned_bytes
        if self.state.read_state is ReadState.HEAD:
            held += (self.state.header_bytes if self.state.is_accepting else 0) + FIELD_BYTES * len(self.headers)
        for cycle in self.cycles:
            held += len(cycle.body)
        return held + sum(self.request_bytes)

    @property
    def unsent_bytes(self) -> int:
        """The bytes of responses that the client has not read."""
        return self.raw_transport.get_write_buffer_size() if self.raw_transport is not None else 0

    def is_incomplete(self) -> bool:
        """Return whether the latest request is still being read."""
        return self.state.read_state is not ReadState.NOTHING and self.state.is_accepting

    def is_stalled(self) -> bool:
        """Return whether the server waits for the rest of a request, and nearly nothing of it arrives."""
        return self.is_incomplete() and self.loop.time() - self.progress_since > STALL_S

    def release_memory(self) -> None:
        """Reject the request that is being read, or close the connection if its client does not read responses."""
        if self.unsent_bytes:
            self._abort(CloseReason.OUT_OF_MEMORY)
        else:
            self.abandoned_bytes = self.reserved_bytes
            self._reject_incomplete(CloseReason.OUT_OF_MEMORY)

    def reserve(self, count: int) -> None:
        """Reserve memory for a request.

        Raises:
            BodyMemoryFullError: All clients together would hold too much.

        """
        self.reserved_bytes += count
        if not self.state.is_closed:
            self.context.memory.require(self)

    def hold(self, count: int) -> None:
        """Account for memory that a request takes in any case."""
        self.reserved_bytes += count
        if not self.state.is_closed:
            self._update_memory()

    def release(self, count: int) -> None:
        """Release reserved memory."""
        self.reserved_bytes -= count
        self.abandoned_bytes = max(0, self.abandoned_bytes - count)
        if not self.state.is_closed:
            self._update_memory()

    def _update_memory(self) -> None:
        self.context.memory.update(self)

    def _record_progress(self, count: int) -> None:
        self.progress_bytes += count
        if self.progress_bytes >= MIN_PROGRESS_BYTES:
            self.progress_since, self.progress_bytes = self.loop.time(), 0

    # --- the end of the client -----------------------------------------------------------------------------------

    def _abandon_lost(self) -> None:
        """Cancel the requests in flight: a write has found the connection lost."""
        self.state.abandon(CloseReason.CLIENT_RESET)
        self._discard_unparsed()
        self._disconnect_all()

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
        if not self.state.is_accepting:
            return  # the parser reads on to the end of the bytes that it was given
        super().on_message_begin()
        self.scope["state"][CONNECTION] = self.state
        self.scope["state"][MEMORY] = self
        self.began_at = self.progress_since = self.loop.time()
        self.progress_bytes = 0
        self.state.begin_header(self.loop.time())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header field; drop a trailer field, which arrives after the body (RFC 9110, section 6.5.1).

        White space behind a value is no part of it (section 5.5), but the parser leaves it there.
        """
        if self.state.is_accepting and self.state.read_state is not ReadState.BODY:
            super().on_header(name, value.rstrip(WHITE_SPACE))

    def on_headers_complete(self) -> None:
        """Handle a complete header: its response is outstanding from now on."""
        if self.parser.should_upgrade() or not self.state.is_accepting:
            return  # a header with an upgrade is parsed again without it
        self.app = self.config.loaded_app if self.state.serves_requests else reject_in_turn
        super().on_headers_complete()
        self.cycles.append(self.cycle)
        field_bytes = sum(len(name) + len(value) + FIELD_BYTES for name, value in self.headers)
        self.request_bytes.append(REQUEST_BYTES + len(self.url) + field_bytes)
        self.boundaries.begin_body(self.headers)
        self.state.complete_header(self.cycle.keep_alive)

    def on_body(self, body: bytes) -> None:
        """Handle a part of a request's body."""
        if not self.state.is_accepting:
            return
        super().on_body(body)
        self.boundaries.consume_body(len(body))
        self._record_progress(len(body))

    def on_message_complete(self) -> None:
        """Handle a request's last byte."""
        if self.parser.should_upgrade() or not self.state.is_accepting:
            return
        super().on_message_complete()
        self.state.complete_request(self.loop.time())

    def on_response_complete(self) -> None:
        """Start the next response, or close if the connection is to close."""
        self.server_state.total_requests += 1
        self.cycles.popleft()
        self.request_bytes.popleft()
        self._perform(self.state.complete_response(self.loop.time()))
        self._parse_more()
        self._schedule_deadline()
        if not self.cycles and not self.state.is_closed:
            self._update_memory()

    def request_close(self) -> None:
        """Close after the last outstanding response; at once if a started response cannot be completed."""
        first = self.cycles[0] if self.cycles else None
        if first is not None and first.response_started and not first.response_complete:
            self.state.abandon(CloseReason.RESPONSE_ABORTED)
            self._close()
        else:
            self._perform(self.state.request_close())

    def shutdown(self) -> None:
        """Serve nothing new, as the process shuts down; the last response, if not started yet, announces the close."""
        self._perform(self.state.shut_down())

    def reject_waiting(self) -> None:
        """Have the requests that wait for their turn rejected in it; none of them has begun."""
        self.pipeline = deque((cycle, cast(Any, reject_in_turn)) for cycle, _ in self.pipeline)

    def stop(self) -> None:
        """Start no further request, as the process is about to exit."""
        self.state.abandon(CloseReason.SHUTDOWN)
        self._discard_unparsed()
        self.pipeline.clear()

    # --- responses -----------------------------------------------------------------------------------------------

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        """Start the response to a request; the state decides whether it announces the close."""

        async def respond(scope: Scope, receive: Receive, send: Send) -> None:
            async def send_decided(message: dict[str, Any]) -> None:
                if BODY_FOLLOWS in message and scope["method"] != "HEAD":
                    self.response_transport.hold_header()
                await send(self._decide_close(cycle, message))

            try:
                await app(scope, receive, send_decided)
            except Exception:  # broad: any failure is logged, and the client gets a response
                logger.exception("request handling failed")
                if cycle.response_started or cycle.disconnected:
                    raise
                await answer(send_decided, INTERNAL_SERVER_ERROR, b"", [CLOSE])

        super()._start_asgi_task(cycle, cast(Any, respond))

    def _decide_close(self, cycle: RequestResponseCycle, message: dict[str, Any]) -> dict[str, Any]:
        """Replace what the application says of the close by what the state decides; uvicorn writes the field."""
        if message["type"] != "http.response.start":
            return message
        fields = list(message.get("headers", []))
        kept = [field for field in fields if field != CLOSE]
        cycle.keep_alive = not self.state.begin_response(asks_close=len(kept) < len(fields))
        return {**message, "headers": kept}

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
            elif self.state.has_announced_close or self.state.read_state is ReadState.BODY:
                self._linger()
            else:
                self._close()

    def _is_newest_response_started(self) -> bool:
        """Return whether the response to the latest request has started."""
        return bool(self.cycles) and self.cycles[-1].response_started

    def _abandon_newest(self) -> None:
        cycle = self.cycles.pop()
        self.request_bytes.pop()
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
        self.flow.update_reading(True)
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
        unsent_bytes = self.unsent_bytes
        client = client_name(self.client)
        descriptions = [
            f"path={cycle.scope['path']} client={client} response=incomplete unsent_bytes={unsent_bytes}"
            for cycle in self.cycles
        ]
        if not descriptions and unsent_bytes:
            path = self.cycle.scope["path"] if self.cycle is not None else "?"
            descriptions.append(f"path={path} client={client} response=complete unsent_bytes={unsent_bytes}")
        return descriptions
