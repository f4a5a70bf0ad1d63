"""The state of a connection that somebody opened, without sockets: what was read, what is owed, and when it closes.

A request is a claim from when its head was read until it is answered; claims are answered in their order. Bytes that
are no request, a time that runs out, the process's own end and a `Connection: close` take nothing new: the connection
closes behind the last claim. A client that closes its side has left, also where it could still read: an instance would
work for an answer that may never be read.

Each input returns what is to be done, in order. Times are seconds of one clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

BAD_REQUEST, REQUEST_TIMEOUT, LARGE_HEADER = 400, 408, 431


class Ending(Enum):
    """Why a connection takes nothing new."""

    CLIENT_CLOSED = "closed by the client"
    CLIENT_RESET = "reset"
    REST = "at rest for too long"
    HEADER_TIME = "a header that did not come in time"
    BODY_TIME = "a body that did not come in time"
    BAD_BYTES = "bytes that are no request"
    LARGE_HEADER = "a header that is too large"
    SAID_CLOSE = "a request or an answer that said so"
    BROKEN_ANSWER = "an answer that could not be brought to its end"
    PROCESS = "the end of the process"
    NO_ROOM = "more connections than there is room for"


class Reading(Enum):
    """What is being read."""

    NOTHING = "nothing"
    HEAD = "head"
    BODY = "body"


class Action(Enum):
    """What is to be done."""

    BEGIN = "begin the answer to the next request that waits"
    ABANDON = "give up the newest request: it will not come whole"
    REFUSE = "answer with the state's `refusal`, then close"
    CLOSE = "close behind what was written"


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """What a client may leave open, and for how long."""

    rest_s: float = 60.0  # without a request, and between pieces of a body
    header_s: float = 10.0  # from the first byte of a header to its last
    header_bytes: int = 65_536


class ConnectionState:
    """One connection."""

    def __init__(self, bounds: ConnectionBounds, now: float) -> None:
        self.bounds = bounds
        self.rest_s = bounds.rest_s  # that holds for the present rest
        self.reading = Reading.NOTHING
        self.header_bytes = 0  # of the header that is being read
        self.header_is_new = False  # it has begun with the newest bytes
        self.completed = 0  # requests that came whole with the newest bytes
        self.owed = 0  # claims; the first of them is being answered
        self.taking = True
        self.ending: Ending | None = None
        self.refusal = 0  # status that is owed behind the last claim; 0 for none
        self.since = now  # from when on the client is waited for
        self.over = False  # the close was asked for, or the connection is gone

    # --- what is read --------------------------------------------------------------------------------------------

    def header_begun(self, now: float) -> None:
        """Note the first byte of a request."""
        self.reading, self.header_is_new, self.since = Reading.HEAD, True, now

    def header_read(self, keeps: bool) -> bool:
        """Note a whole header, and whether the client keeps the connection behind this request.

        Tells whether the request is to be served. One that comes behind the connection's end is refused in its turn.
        """
        self.reading = Reading.BODY
        self.owed += 1
        served = self.ending is None
        if not keeps:
            self._end(Ending.SAID_CLOSE)
        return served

    def request_read(self, now: float) -> None:
        """Note a request's last byte."""
        self.reading, self.since = Reading.NOTHING, now
        self.completed += 1

    def bytes_read(self, now: float, count: int) -> list[Action]:
        """Note that bytes came, behind what they made whole."""
        if self.reading is Reading.BODY:
            self.since = now
        elif self.reading is Reading.HEAD:
            before = 0 if self.header_is_new else self.header_bytes
            mixed = self.header_is_new and self.completed > 0  # some of these bytes are of another request
            self.header_bytes = before + (0 if mixed else count)
        self.header_is_new, self.completed = False, 0
        if self.reading is Reading.HEAD and self.header_bytes > self.bounds.header_bytes:
            return self.unfit(Ending.LARGE_HEADER, LARGE_HEADER)
        return []

    def unfit(self, ending: Ending, status: int, begun: bool = False) -> list[Action]:
        """Take nothing new, as what comes is no request or does not come: refused behind the last claim.

        A request whose answer has `begun` before it came whole has that answer, and no refusal.
        """
        if not self.taking:
            return []
        self.taking = False
        self._end(ending)
        abandons = self.reading is Reading.BODY and self.owed > 0 and not begun
        if abandons or self.reading is not Reading.BODY:  # else it is answered, or was, before it had come whole
            self.refusal = status
        self.owed -= abandons
        return [Action.ABANDON] * abandons + self._behind_the_last()

    # --- what is answered ----------------------------------------------------------------------------------------

    def answered(self, now: float) -> list[Action]:
        """Note that the first claim has its whole answer."""
        self.owed -= 1
        self.since, self.rest_s = now, self.bounds.rest_s
        return [Action.BEGIN] if self.owed else self._behind_the_last()

    def close_asked(self) -> list[Action]:
        """Close behind the last claim, as an answer said."""
        self._end(Ending.SAID_CLOSE)
        return self._behind_the_last()

    # --- ends ----------------------------------------------------------------------------------------------------

    def process_ends(self) -> list[Action]:
        """Close behind the last claim. Requests that come until then are refused, as somebody has read them."""
        self._end(Ending.PROCESS)
        return self._behind_the_last()

    def yield_place(self) -> list[Action]:
        """Close where nothing is owed, as another connection needs the place."""
        self._end(Ending.NO_ROOM)
        return self._behind_the_last()

    @property
    def rests(self) -> bool:
        """Tell whether nothing is owed, and nothing is being read."""
        return self.owed == 0 and self.reading is Reading.NOTHING and not self.over

    def lost(self, ending: Ending) -> None:
        """Forget all: the client is gone, or the connection was ended."""
        self._end(ending)
        self.taking, self.over = False, True

    def _end(self, ending: Ending) -> None:
        if self.ending is None:
            self.ending = ending

    def _behind_the_last(self) -> list[Action]:
        if self.owed or self.ending is None or self.over:
            return []
        self.taking, self.over = False, True
        return [Action.REFUSE if self.refusal else Action.CLOSE]

    # --- time ----------------------------------------------------------------------------------------------------

    @property
    def due(self) -> float | None:
        """Tell until when the client is waited for; None while it is not its turn."""
        if not self.taking or self.owed > (self.reading is Reading.BODY):
            return None
        return self.since + (self.bounds.header_s if self.reading is Reading.HEAD else self.rest_s)

    def time(self, now: float, begun: bool = False) -> list[Action]:
        """End what the client has left open for too long; `begun` as for `unfit`."""
        due = self.due
        if due is None or now < due:
            return []
        if self.reading is Reading.HEAD:
            return self.unfit(Ending.HEADER_TIME, REQUEST_TIMEOUT)
        if self.reading is Reading.BODY:
            return self.unfit(Ending.BODY_TIME, REQUEST_TIMEOUT, begun)
        self._end(Ending.REST)
        return self._behind_the_last()

    def bounded_by(self, bounds: ConnectionBounds) -> None:
        """Take new bounds. A rest that has begun may become longer by them: its client counts on that from now on."""
        self.bounds = bounds
        self.rest_s = max(self.rest_s, bounds.rest_s)
