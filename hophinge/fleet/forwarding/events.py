"""Server-sent events in transit: only complete events are forwarded, and the latest id allows a resumption."""

from __future__ import annotations

# An event ends with an empty line; a line ends with LF, CRLF or CR (HTML Standard, "Server-sent events").
EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
MAX_EVENT_END_BYTES = max(map(len, EVENT_ENDS))
LINE_ENDS = b"\r\n"
ID_FIELD = b"id:"
COMMENT = b":"
MAX_EVENT_BYTES = 256 << 10  # of an event that is not complete, which is held until it is


def _end_of_last_event(data: bytearray, begin: int) -> int:
    """Return the index behind the last complete event that ends behind `begin`; 0 where there is none."""
    found = [(data.rfind(end, begin), len(end)) for end in EVENT_ENDS]
    return max(index + length if index >= 0 else 0 for index, length in found)


class EventReader:
    """Splits a byte stream into complete events and the incomplete rest."""

    def __init__(self) -> None:
        self._rest = bytearray()  # of an event that is not complete
        self.latest_id: str | None = None
        self.has_event = False  # comments, which keep a connection alive, do not count

    @property
    def buffer(self) -> bytes:
        """The rest that is no complete event."""
        return bytes(self._rest)

    @property
    def is_event_too_long(self) -> bool:
        """Whether the rest is longer than an event may be: its reader is to give the stream up."""
        return len(self._rest) > MAX_EVENT_BYTES

    @property
    def is_between_events(self) -> bool:
        """Whether the stream may end here: after at least one event, and within none."""
        return self.has_event and not self._rest.strip(LINE_ENDS)

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return those up to the end of the last complete event."""
        searched = max(0, len(self._rest) - MAX_EVENT_END_BYTES + 1)
        self._rest += data
        end = _end_of_last_event(self._rest, searched)
        complete = bytes(self._rest[:end])
        del self._rest[:end]
        self._record(complete)
        return complete

    def _record(self, complete: bytes) -> None:
        for line in reversed(complete.splitlines()):
            self.has_event = self.has_event or bool(line and not line.startswith(COMMENT))
            if line.startswith(ID_FIELD):
                self.latest_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
