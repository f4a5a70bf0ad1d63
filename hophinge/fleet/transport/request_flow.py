"""Flow control of a server's connection, for uvicorn's requests and responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http.flow_control import FlowControl


class RequestFlow(FlowControl):
    """The flow control of a connection, which parses what it has received before it reads more."""

    def __init__(self, transport: asyncio.Transport, on_resume: Callable[[], None]) -> None:
        super().__init__(transport)
        self._on_resume = on_resume

    def resume_reading(self) -> None:
        """Ask for more of the requests, as a response does."""
        self._on_resume()

    def update_reading(self, should_read: bool) -> None:
        """Resume or pause reading from the socket."""
        if should_read:
            super().resume_reading()
        else:
            self.pause_reading()
