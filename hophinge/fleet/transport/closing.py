"""How connections are closed, so that what was written to them can still be read."""

from __future__ import annotations

import asyncio

LINGER_S = 1.0  # for a client to read why it was refused, while it still sends
FLUSH_S = 10.0  # between looks whether a client reads on what was written before the close


def close(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
    """Close behind what was written; a client that reads nothing of it is given up."""
    transport.close()
    _flush(loop, transport, -1)


def _flush(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport, before: int) -> None:
    waiting = transport.get_write_buffer_size()
    if waiting == before:
        transport.abort()
    elif waiting:
        loop.call_later(FLUSH_S, _flush, loop, transport, waiting)


def linger(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
    """Close for writing, and read on for a moment: a close with bytes unread would take the answer away."""
    if transport.is_closing():
        return
    try:
        transport.write_eof()
    except OSError:  # it was reset, and nobody has noticed yet
        close(loop, transport)
        return
    loop.call_later(LINGER_S, close, loop, transport)
