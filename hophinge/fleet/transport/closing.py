"""Closes connections so that what was written to them can still be read by the peer."""

from __future__ import annotations

import asyncio

LINGER_S = 1.0  # for a client to read why it was rejected, while it still sends
FLUSH_CHECK_INTERVAL_S = 10.0  # between checks that a client still reads what was written before the close


def close(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
    """Close after flushing the write buffer; a client that reads nothing of it is aborted."""
    transport.close()
    _flush(loop, transport, -1)


def _flush(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport, previous_size: int) -> None:
    buffer_size = transport.get_write_buffer_size()
    if buffer_size == previous_size:
        transport.abort()
    elif buffer_size:
        loop.call_later(FLUSH_CHECK_INTERVAL_S, _flush, loop, transport, buffer_size)


def linger(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
    """Half-close, and read on for LINGER_S: a close with unread bytes would reset the connection."""
    if transport.is_closing():
        return
    try:
        transport.write_eof()
    except OSError:  # it was reset, which has not been reported yet
        close(loop, transport)
        return
    loop.call_later(LINGER_S, close, loop, transport)
