"""Server-sent events in transit: only complete events are forwarded, and the latest id allows a resumption."""

from __future__ import annotations

END = b"\n\n"
ID_FIELD = b"id:"


class EventReader:
    """Splits a byte stream into complete events and the incomplete rest."""

    def __init__(self) -> None:
        self.buffer = b""
        self.latest_id: str | None = None
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return those up to the end of the last complete event."""
        buffered = self.buffer + data
        end = buffered.rfind(END)
        if end < 0:
            self.buffer = buffered
            return b""
        complete = buffered[: end + len(END)]
        self.buffer = buffered[end + len(END) :]
        self._record(complete)
        return complete

    def _record(self, complete: bytes) -> None:
        self.events += complete.count(END)
        for line in reversed(complete.splitlines()):
            if line.startswith(ID_FIELD):
                self.latest_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
