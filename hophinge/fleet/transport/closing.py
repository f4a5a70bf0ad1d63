"""Closes connections so that the peer can still read what was written to them."""

from __future__ import annotations

import asyncio

LINGER_S = 1.0  # for a client that is still sending to read why it was rejected
FLUSH_CHECK_INTERVAL_S = 10.0  # between checks that a client still reads what was written before the close


def close(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
    """Close after flushing the write buffer; abort if the client stops reading it."""
    transport.close()
    _flush(loop, transport, -1)


def _flush(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport, previous_size: int) -> None:
    buffer_size = transport.get_write_buffer_size()
    if buffer_size == previous_size:
        transport.abort()
    elif buffer_size:
        loop.call_later(FLUSH_CHECK_INTERVAL_S, _flush, loop, transport, buffer_size)


def linger(loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
    """Half-close, and keep reading for LINGER_S: a close with unread bytes would reset the connection."""
    if transport.is_closing():
        return
    try:
        transport.write_eof()
    except OSError:  # the connection was reset, which the event loop has not reported yet
        close(loop, transport)
        return
    loop.call_later(LINGER_S, close, loop, transport)
