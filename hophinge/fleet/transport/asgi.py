"""What both programs need of ASGI: reading a body within a bound, and answering."""

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
    """The body exceeds what is allowed."""


class NoRoomError(Exception):
    """The bodies of all requests together exceed what may be held."""


class BodyMemory:
    """The bytes of bodies that one process holds: clients that each keep within their bound could end it together."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0

    @contextlib.contextmanager
    def share(self) -> Iterator[BodyShare]:
        """Hold one request's part until its end."""
        share = BodyShare(self)
        try:
            yield share
        finally:
            self.held -= share.held


class BodyShare:
    """The part that one request holds."""

    def __init__(self, memory: BodyMemory) -> None:
        self.memory, self.held = memory, 0

    def take(self, count: int) -> None:
        """Hold so many bytes more; raises NoRoomError where there is no room for them."""
        if self.memory.held + count > self.memory.most:
            raise NoRoomError
        self.memory.held += count
        self.held += count


async def read_body(receive: Receive, most: int, share: BodyShare | None = None) -> bytes:
    """Read a whole body, within a share of what the process holds where one is given.

    Raises ClientGoneError, BodyTooLargeError and NoRoomError.
    """
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
        if share is not None:
            share.take(len(body))
        if body:
            parts.append(body)
        if not message.get("more_body", False):
            return b"".join(parts)


async def answer(send: Send, status: int, body: bytes = b"", headers: Headers = ()) -> None:
    """Answer with a whole body."""
    length = (b"content-length", str(len(body)).encode())
    await send({"type": "http.response.start", "status": status, "headers": [length, *headers]})
    await send({"type": "http.response.body", "body": body})
