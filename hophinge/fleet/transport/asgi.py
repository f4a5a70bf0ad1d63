"""ASGI helpers of both programs: read a body within limits, and send a response."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Iterator
from typing import Any

Scope = dict[str, Any]
Receive = Callable[[], Coroutine[Any, Any, dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Headers = Iterable[tuple[bytes, bytes]]


class ClientGoneError(Exception):
    """The client closed its connection."""


class BodyTooLargeError(Exception):
    """The body exceeds its limit."""


class BodyMemoryFullError(Exception):
    """The bodies of all requests together would exceed the limit."""


class BodyMemory:
    """The memory for bodies in one process: clients could exhaust it together though each keeps its own limit."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.reserved = 0

    @contextlib.contextmanager
    def reserve(self) -> Iterator[BodyReservation]:
        """Open a reservation for one request; the end of the context releases its memory."""
        reservation = BodyReservation(self)
        try:
            yield reservation
        finally:
            self.reserved -= reservation.reserved


class BodyReservation:
    """The memory reserved for one request."""

    def __init__(self, memory: BodyMemory) -> None:
        self.memory = memory
        self.reserved = 0

    def extend(self, count: int) -> None:
        """Reserve more bytes.

        Raises:
            BodyMemoryFullError: The limit of the process would be exceeded.

        """
        if self.memory.reserved + count > self.memory.max_bytes:
            raise BodyMemoryFullError
        self.memory.reserved += count
        self.reserved += count


async def read_body(receive: Receive, max_bytes: int, reservation: BodyReservation | None = None) -> bytes:
    """Read a complete body, and count its bytes in a reservation if one is given.

    Raises:
        ClientGoneError: The client disconnected before the body was complete.
        BodyTooLargeError: The body exceeds `max_bytes`.
        BodyMemoryFullError: The bodies of all requests exceed the limit of the process.

    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientGoneError
        body = message.get("body", b"")
        size += len(body)
        if size > max_bytes:
            raise BodyTooLargeError
        if reservation is not None:
            reservation.extend(len(body))
        if body:
            chunks.append(body)
        if not message.get("more_body", False):
            return b"".join(chunks)


async def answer(send: Send, status: int, body: bytes = b"", headers: Headers = ()) -> None:
    """Send a response with a complete body."""
    length = (b"content-length", str(len(body)).encode())
    await send({"type": "http.response.start", "status": status, "headers": [length, *headers]})
    await send({"type": "http.response.body", "body": body})
