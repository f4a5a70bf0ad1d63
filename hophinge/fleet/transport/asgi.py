"""What both programs need of ASGI: reading a body within a bound, and answering."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

Scope = dict[str, Any]
Receive = Callable[[], Coroutine[Any, Any, dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Headers = Iterable[tuple[bytes, bytes]]


class ClientGoneError(Exception):
    """The client closed its connection."""


class BodyTooLargeError(Exception):
    """The body exceeds what is allowed."""


async def read_body(receive: Receive, most: int) -> bytes:
    """Read a whole body."""
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientGoneError
        body = message.get("body", b"")
        size += len(body)
        if size > most:
            raise BodyTooLargeError
        if body:
            parts.append(body)
        if not message.get("more_body", False):
            return b"".join(parts)


async def answer(send: Send, status: int, body: bytes = b"", headers: Headers = ()) -> None:
    """Answer with a whole body."""
    length = (b"content-length", str(len(body)).encode())
    await send({"type": "http.response.start", "status": status, "headers": [length, *headers]})
    await send({"type": "http.response.body", "body": body})
