"""Server-sent events in transit: only complete events are forwarded, and the latest id allows a resumption."""

from __future__ import annotations

# An event ends with an empty line; a line ends with LF, CRLF or CR (HTML Standard, "Server-sent events").
EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
LINE_ENDS = b"\r\n"
ID_FIELD = b"id:"
COMMENT = b":"


def _end_of_last_event(data: bytes) -> int:
    """Return the index behind the last complete event; 0 where there is none."""
    return max(data.rfind(end) + len(end) if end in data else 0 for end in EVENT_ENDS)


class EventReader:
    """Splits a byte stream into complete events and the incomplete rest."""

    def __init__(self) -> None:
        self.buffer = b""
        self.latest_id: str | None = None
        self.has_event = False  # comments, which keep a connection alive, do not count

    @property
    def is_between_events(self) -> bool:
        """Whether the stream may end here: after at least one event, and within none."""
        return self.has_event and not self.buffer.strip(LINE_ENDS)

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return those up to the end of the last complete event."""
        buffered = self.buffer + data
        end = _end_of_last_event(buffered)
        complete = buffered[:end]
        self.buffer = buffered[end:]
        self._record(complete)
        return complete

    def _record(self, complete: bytes) -> None:
        for line in reversed(complete.splitlines()):
            self.has_event = self.has_event or bool(line and not line.startswith(COMMENT))
            if line.startswith(ID_FIELD):
                self.latest_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
