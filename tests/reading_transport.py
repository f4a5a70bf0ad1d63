"""A transport that reads prepared bytes as uvloop reads a socket: again and again until they end or reading pauses."""

from __future__ import annotations

import asyncio
import time
from typing import Any

READS_PER_ITERATION = 32  # as libuv


async def iteration_s() -> float:
    """Return the processor time of what the event loop does before it comes back to the caller, in seconds.

    On a busy machine the time on the clock also has what other processes take.
    """
    began_at = time.thread_time()
    await asyncio.sleep(0.001)
    return time.thread_time() - began_at


class ReadingTransport(asyncio.Transport):
    """A transport over bytes that have arrived, for a protocol that offers buffers."""

    def __init__(self, received: bytes) -> None:
        super().__init__({"peername": ("127.0.0.1", 1), "socket": None})
        self.loop = asyncio.get_running_loop()
        self.received = memoryview(received)
        self.protocol: Any = None
        self.is_paused = False
        self.is_closed = False
        self.written = bytearray()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Receive for another protocol, as soon as the loop goes on."""
        self.protocol = protocol
        self.loop.call_soon(self._read)

    def _read(self) -> None:
        for _ in range(READS_PER_ITERATION):
            if self.is_paused or self.is_closed or not self.received:
                return
            buffer = self.protocol.get_buffer(-1)
            count = min(len(buffer), len(self.received))
            buffer[:count] = self.received[:count]
            self.received = self.received[count:]
            self.protocol.buffer_updated(count)
        self.loop.call_soon(self._read)

    def pause_reading(self) -> None:
        """Read no more until `resume_reading`."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Read on in the next iteration."""
        if self.is_paused:
            self.is_paused = False
            self.loop.call_soon(self._read)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Record what is sent."""
        self.written += data

    def can_write_eof(self) -> bool:
        """Return False: a half-closed connection is not what it stands for."""
        return False

    def get_write_buffer_size(self) -> int:
        """Return 0: everything is sent at once."""
        return 0

    def is_closing(self) -> bool:
        """Return whether it is closed."""
        return self.is_closed

    def close(self) -> None:
        """Close it."""
        self.is_closed = True

    def abort(self) -> None:
        """Close it."""
        self.is_closed = True
