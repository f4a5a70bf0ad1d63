"""The state of a server's connection, without I/O: what was read, which responses are outstanding, when it closes.

A request is outstanding from when its header was read until its response is complete; responses are sent in the order
of the requests (RFC 9112, 9.3.2). After an invalid request, a timeout, the shutdown of the process or
`Connection: close`, nothing new is served, and the connection closes after the last outstanding response. A client
that closes its side counts as disconnected, even if it could still read: an instance would work for a response that may
never be read.

A client takes requests behind a response that says `Connection: close` as unread, and may send them again elsewhere. So
only a response with no request behind it says so, and whatever arrives after that is ignored (RFC 9112, 9.6).

Each input returns the actions to perform, in order. Times are seconds of one clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

BAD_REQUEST, REQUEST_TIMEOUT, HEADER_FIELDS_TOO_LARGE, SERVICE_UNAVAILABLE = 400, 408, 431, 503


class CloseReason(Enum):
    """Why a connection accepts nothing new. The values are keys of the status."""

    CLIENT_CLOSED = "closed by the client"
    CLIENT_RESET = "reset"
    IDLE = "at rest for too long"
    HEADER_TIMEOUT = "a header that did not come in time"
    BODY_TIMEOUT = "a body that did not come in time"
    INVALID_REQUEST = "bytes that are no request"
    HEADER_TOO_LARGE = "a header that is too large"
    CLOSE_REQUESTED = "a request or an answer that said so"
    RESPONSE_ABORTED = "an answer that could not be brought to its end"
    SHUTDOWN = "the end of the process"
    AT_CAPACITY = "more connections than there is room for"
    OUT_OF_MEMORY = "more held for clients than there is memory for"
    RESPONSE_UNREAD = "an answer that the client did not read"


class ReadState(Enum):
    """What is being read."""

    NOTHING = "nothing"
    HEAD = "head"
    BODY = "body"


class Action(Enum):
    """An action for the connection to perform."""

    BEGIN_NEXT_RESPONSE = "start the response to the next request"
    ABANDON_NEWEST = "cancel the latest request: it will not be completed"
    REJECT = "send the state's `rejection_status`, then close"
    CLOSE = "close after flushing what was written"


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """Limits on what a client may leave open."""

    idle_s: float = 60.0  # without a request, and between chunks of a body
    header_s: float = 10.0  # from the first byte of a header to its last
    header_bytes: int = 65_536


class ConnectionState:
    """One connection."""

    def __init__(self, bounds: ConnectionBounds, now: float) -> None:
        self.bounds = bounds
        self.idle_s = bounds.idle_s  # the limit on the present idle time
        self.read_state = ReadState.NOTHING
        self.header_bytes = 0  # of the header being read
        self.is_header_new = False  # the header began with the latest bytes
        self.completed_requests = 0  # by the latest bytes
        self.outstanding = 0  # requests; the first of them is being answered
        self.is_accepting = True
        self.close_reason: CloseReason | None = None
        self.rejection_status = 0  # to send after the last outstanding response; 0 for none
        self.waiting_since = now  # since when the server waits for the client
        self.has_unparsed_bytes = False  # received, and not parsed yet
        self.is_last_request_read = False  # the header of a request behind which the client wants the close
        self.has_announced_close = False  # the response that says so has started
        self.is_closed = False  # or closing

    # --- requests ------------------------------------------------------------------------------------------------

    def begin_header(self, now: float) -> None:
        """Record the first byte of a request."""
        self.read_state = ReadState.HEAD
        self.is_header_new = True
        self.waiting_since = now

    @property
    def serves_requests(self) -> bool:
        """Whether new requests are served; those that arrive once the connection is to close are rejected in turn."""
        return self.close_reason is None

    def complete_header(self, keeps_alive: bool) -> None:
        """Record a complete header.

        Args:
            keeps_alive: Whether the client keeps the connection after this request.

        """
        self.read_state = ReadState.BODY
        self.outstanding += 1
        if not keeps_alive:
            self.is_last_request_read = True
            self._set_close_reason(CloseReason.CLOSE_REQUESTED)

    def complete_request(self, now: float) -> None:
        """Record a request's last byte; what follows the last request is ignored."""
        self.read_state = ReadState.NOTHING
        self.waiting_since = now
        self.completed_requests += 1
        if self.is_last_request_read or self.has_announced_close:
            self.is_accepting = False

    def receive_bytes(self, now: float, count: int) -> list[Action]:
        """Record the arrival of bytes, after the events that they completed."""
        if self.read_state is ReadState.BODY:
            self.waiting_since = now
        elif self.read_state is ReadState.HEAD:
            previous_bytes = 0 if self.is_header_new else self.header_bytes
            # Some of these bytes belong to another request.
            is_shared = self.is_header_new and self.completed_requests > 0
            self.header_bytes = previous_bytes + (0 if is_shared else count)
        self.is_header_new = False
        self.completed_requests = 0
        if self.read_state is ReadState.HEAD and self.header_bytes > self.bounds.header_bytes:
            return self.reject(CloseReason.HEADER_TOO_LARGE, HEADER_FIELDS_TOO_LARGE)
        return []

    def reject(self, reason: CloseReason, status: int, is_response_started: bool = False) -> list[Action]:
        """Accept nothing new after an invalid or late request; `status` is sent after the last outstanding response.

        A request whose response started before the request was complete gets that response, and no rejection.
        """
        if not self.is_accepting:
            return []
        self.is_accepting = False
        self._set_close_reason(reason)
        abandons = self.read_state is ReadState.BODY and self.outstanding > 0 and not is_response_started
        if abandons or self.read_state is not ReadState.BODY:  # else the request's response has started already
            self.rejection_status = status
        self.outstanding -= abandons
        return [Action.ABANDON_NEWEST] * abandons + self._close_when_answered()

    # --- responses -----------------------------------------------------------------------------------------------

    def begin_response(self, asks_close: bool) -> bool:
        """Record that the first outstanding response starts.

        Args:
            asks_close: Whether the application wants the connection to close.

        Returns:
            Whether the response says `Connection: close`. Then it is the last one, and no further request is accepted.

        """
        if asks_close:
            self._set_close_reason(CloseReason.CLOSE_REQUESTED)
        is_last = self.outstanding == 1 and not self.rejection_status and not self._has_requests_to_parse
        self.has_announced_close = is_last and self.close_reason is not None
        if self.has_announced_close and self.read_state is not ReadState.BODY:
            self.is_accepting = False
        return self.has_announced_close

    def complete_response(self, now: float) -> list[Action]:
        """Record that the first outstanding response is complete."""
        self.outstanding -= 1
        self.waiting_since = now
        self.idle_s = self.bounds.idle_s
        if self.is_closed:
            return []  # the connection was lost with the last bytes of the response
        return [Action.BEGIN_NEXT_RESPONSE] if self.outstanding else self._close_when_answered()

    def request_close(self) -> list[Action]:
        """Close after the last outstanding response, as a response requested."""
        self._set_close_reason(CloseReason.CLOSE_REQUESTED)
        return self._close_when_answered()

    # --- closing -------------------------------------------------------------------------------------------------

    def shut_down(self) -> list[Action]:
        """Close after the last outstanding response; requests read until then are rejected."""
        self._set_close_reason(CloseReason.SHUTDOWN)
        return self._close_when_answered()

    def yield_to_others(self, reason: CloseReason) -> list[Action]:
        """Close once nothing is outstanding, to make room for other clients; requests read until then are rejected."""
        self._set_close_reason(reason)
        return self._close_when_answered()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is outstanding, and nothing is being read."""
        is_at_rest = self.outstanding == 0 and self.read_state is ReadState.NOTHING
        return is_at_rest and not self.has_unparsed_bytes and not self.is_closed

    def abandon(self, reason: CloseReason) -> None:
        """Record that the client has disconnected or the connection was closed."""
        self._set_close_reason(reason)
        self.is_accepting = False
        self.is_closed = True

    def _set_close_reason(self, reason: CloseReason) -> None:
        if self.close_reason is None:
            self.close_reason = reason

    def record_unparsed(self, has_unparsed_bytes: bool) -> list[Action]:
        """Record whether received bytes are still to be parsed: they may hold requests, which are answered first."""
        had_unparsed_bytes, self.has_unparsed_bytes = self.has_unparsed_bytes, has_unparsed_bytes
        return self._close_when_answered() if had_unparsed_bytes and not has_unparsed_bytes else []

    def _close_when_answered(self) -> list[Action]:
        if self.outstanding or self.close_reason is None or self.is_closed:
            return []
        if self._has_requests_to_parse:
            return []
        self.is_accepting = False
        self.is_closed = True
        return [Action.REJECT if self.rejection_status else Action.CLOSE]

    @property
    def _has_requests_to_parse(self) -> bool:
        """Whether bytes that are still to be parsed may hold requests."""
        return self.has_unparsed_bytes and self.is_accepting

    # --- deadlines -----------------------------------------------------------------------------------------------

    @property
    def deadline(self) -> float | None:
        """Until when the server waits for the client; None while the client waits for the server."""
        if not self.is_accepting or self.has_unparsed_bytes:
            return None
        if self.outstanding > (self.read_state is ReadState.BODY):
            return None
        return self.waiting_since + (self.bounds.header_s if self.read_state is ReadState.HEAD else self.idle_s)

    def check_deadline(self, now: float, is_response_started: bool = False) -> list[Action]:
        """Reject an incomplete request, or close an idle connection, past the deadline; for the flag see `reject`."""
        deadline = self.deadline
        if deadline is None or now < deadline:
            return []
        if self.read_state is ReadState.HEAD:
            return self.reject(CloseReason.HEADER_TIMEOUT, REQUEST_TIMEOUT)
        if self.read_state is ReadState.BODY:
            return self.reject(CloseReason.BODY_TIMEOUT, REQUEST_TIMEOUT, is_response_started)
        self._set_close_reason(CloseReason.IDLE)
        return self._close_when_answered()

    def update_bounds(self, bounds: ConnectionBounds) -> None:
        """Apply new bounds; the present idle time may only be extended, as the client relies on the earlier limit."""
        self.bounds = bounds
        self.idle_s = max(self.idle_s, bounds.idle_s)
