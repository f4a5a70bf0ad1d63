"""Server-sent events as they pass: only whole events go on, and the newest id is known for a resumption."""

from __future__ import annotations

END = b"\n\n"
ID_FIELD = b"id:"


class EventReader:
    """Cuts a stream of bytes behind whole events."""

    def __init__(self) -> None:
        self.rest = b""
        self.last_id: str | None = None
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes and tell those up to the end of the last whole event."""
        held = self.rest + data
        end = held.rfind(END)
        if end < 0:
            self.rest = held
            return b""
        whole, self.rest = held[: end + len(END)], held[end + len(END) :]
        self._note(whole)
        return whole

    def _note(self, whole: bytes) -> None:
        self.events += whole.count(END)
        for line in reversed(whole.splitlines()):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
