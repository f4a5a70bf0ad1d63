"""Instances on loopback that end one attempt in the way a test injects, and answer all others normally."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

EVENTS = 4
EXTRA = (
    b"HTTP/1.1 200 OK\r\nHophinge-Request-Id: other\r\nHophinge-Server-Signature: s\r\nContent-Length: 5\r\n\r\nother"
)


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """One request as an instance received it."""

    instance: str
    name: str
    reads: bool  # it asks for the prefill only
    first_event: int
    body: bytes


@dataclass
class Connection:
    """One connection at an instance."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    served: int = 0

    def say(self, data: bytes) -> None:
        self.writer.write(data)

    async def reset(self) -> None:
        """Have the kernel send a reset, so that data in transit is lost."""
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


@dataclass
class Script:
    """The state that all instances of a test share: the injected ending, runs, arrivals and responses."""

    ending: Ending | None = None
    stage: str | None = None  # of the instance that applies the ending
    name: str | None = None  # the id of the request whose attempt gets the ending
    struck: str | None = None  # the request whose attempt got the ending, once applied
    runs: Counter[str] = field(default_factory=Counter)
    arrivals: list[ReceivedCall] = field(default_factory=list)
    given: list[tuple[int, bytes]] = field(default_factory=list)
    connections: int = 0
    left: asyncio.Event = field(default_factory=asyncio.Event)  # a caller closed a connection with a request in flight

    def ran(self, call: ReceivedCall) -> None:
        """Record that an instance ran the request; a prefill does not count as a run."""
        self.runs[call.name] += not call.reads

    def answer(self, call: ReceivedCall, status: int = 200, more: bytes = b"", body: bytes | None = None) -> bytes:
        """Encode and record a complete response."""
        response_body = sound_body(call) if body is None else body
        self.given.append((status, response_body))
        kind = b"Content-Type: text/event-stream\r\n" if response_body.startswith(b"id:") else b""
        return b"HTTP/1.1 %d X\r\nHophinge-Request-Id: %s\r\n%s%sContent-Length: %d\r\n\r\n%s" % (
            status,
            call.name.encode(),
            kind,
            more,
            len(response_body),
            response_body,
        )


Ending = Callable[[Script, Connection, ReceivedCall], Coroutine[Any, Any, bool]]
STAMP = b"Hophinge-Server-Signature: sig\r\n"
NOT_EXECUTED = b"Hophinge-Not-Executed: 1\r\n"


def sound_body(call: ReceivedCall) -> bytes:
    """Return the body of a normal response."""
    if call.reads:
        return json.dumps({"prefill-handle": f"h-{call.name}", "tokens": 9, "version": 1}).encode()
    if call.name.startswith("stream"):
        return b"".join(b"id: %d\ndata: x\n\n" % number for number in range(call.first_event, EVENTS + 1))
    return f"answer to {call.name} of {len(call.body)}".encode()


class ScriptedInstance:
    """One instance; `stage` is empty for a service without prefill and decode."""

    def __init__(self, name: str, stage: str, script: Script) -> None:
        self.name, self.stage, self.script = name, stage, script
        self.server: asyncio.Server | None = None
        self.address = ""

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        assert self.server is not None
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.script.connections += 1
        try:
            while await self._serve_request(connection):
                connection.served += 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the caller has closed the connection, or the test is over
        finally:
            writer.close()

    async def _serve_request(self, connection: Connection) -> bool:
        head = await connection.reader.readuntil(b"\r\n\r\n")
        fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head.decode().split("\r\n")[1:])
        }
        if head.startswith(b"DELETE"):
            connection.say(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        is_prefill = fields.get("hophinge-serving-stage") == "prefill"
        length, name = int(fields.get("content-length", 0)), fields["hophinge-request-id"]
        script = self.script
        is_pending = script.ending is not None and script.struck is None
        applies_ending = is_pending and (script.stage, script.name) == (self.stage, name)
        if applies_ending and getattr(script.ending, "before_body", False):
            call = ReceivedCall(self.name, name, is_prefill, 1, b"")
        else:
            body = await connection.reader.readexactly(length)
            call = ReceivedCall(self.name, name, is_prefill, int(fields.get("last-event-id", 0)) + 1, body)
        script.arrivals.append(call)
        if applies_ending:
            assert script.ending is not None
            script.struck = name
            return await script.ending(script, connection, call)
        script.ran(call)
        connection.say(script.answer(call, more=STAMP))
        return True


async def left(script: Script, connection: Connection) -> bool:
    """Wait until the caller closes the connection with its request in flight."""
    with contextlib.suppress(ConnectionError):
        await connection.reader.read(1)
    script.left.set()
    return False
