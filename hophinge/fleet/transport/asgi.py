"""ASGI helpers of both programs: read a body within limits, and send a response."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

from hophinge.fleet.transport.client_memory import MemoryReservation

Scope = dict[str, Any]
Receive = Callable[[], Coroutine[Any, Any, dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Headers = Iterable[tuple[bytes, bytes]]

BODY_FOLLOWS = "hophinge.body_follows"  # key of a response's start: its whole body is the next message
CLOSE = (b"connection", b"close")  # an application's wish; the connection decides which response says so


class ClientGoneError(Exception):
    """The client closed its connection."""


class BodyTooLargeError(Exception):
    """The body exceeds its limit."""


def counted(receive: Receive, reservation: MemoryReservation) -> Receive:
    """Return a channel whose bodies are reserved as they arrive; BodyMemoryFullError where they do not fit."""

    async def receive_counted() -> dict[str, Any]:
        message = await receive()
        if message["type"] == "http.request":
            reservation.extend(len(message.get("body", b"")))
        return message

    return receive_counted


async def read_body(receive: Receive, max_bytes: int) -> bytes:
    """Read a complete body.

    Raises:
        ClientGoneError: The client disconnected before the body was complete.
        BodyTooLargeError: The body exceeds `max_bytes`.
        BodyMemoryFullError: All clients together would hold too much; only where `receive` is `counted`.

    """
    received = bytearray()  # not a list of chunks: each of many short ones would take more memory than its bytes
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientGoneError
        received += message.get("body", b"")
        if len(received) > max_bytes:
            raise BodyTooLargeError
        if not message.get("more_body", False):
            return bytes(received)


async def answer(send: Send, status: int, body: bytes = b"", headers: Headers = ()) -> None:
    """Send a response with a complete body."""
    length = (b"content-length", str(len(body)).encode())
    start = {"type": "http.response.start", "status": status, "headers": [length, *headers], BODY_FOLLOWS: True}
    await send(start)
    await send({"type": "http.response.body", "body": body})
