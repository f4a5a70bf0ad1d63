"""Instances on loopback whose first answer to one request ends in a way that a test names; all others are sound."""

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
    """One request as an instance read it."""

    instance: str
    name: str
    reads: bool  # only the prompt is to be read
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
        """Have the kernel send a reset, so that what is on its way is lost."""
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


@dataclass
class Script:
    """What all instances of a play share: how the next answer ends, who ran what, which answers were given."""

    ending: Ending | None = None
    stage: str | None = None  # at which stage the ending comes
    name: str | None = None  # to which request
    struck: str | None = None  # the request that met the ending
    runs: Counter[str] = field(default_factory=Counter)
    arrivals: list[ReceivedCall] = field(default_factory=list)
    given: list[tuple[int, bytes]] = field(default_factory=list)
    connections: int = 0
    left: asyncio.Event = field(default_factory=asyncio.Event)  # a caller closed a connection with work on it

    def ran(self, asked: ReceivedCall) -> None:
        """An instance took the request up; a prompt that is only read is no run."""
        self.runs[asked.name] += not asked.reads

    def answer(self, asked: ReceivedCall, status: int = 200, more: bytes = b"", body: bytes | None = None) -> bytes:
        """Tell a whole answer's bytes."""
        whole = sound_body(asked) if body is None else body
        self.given.append((status, whole))
        kind = b"Content-Type: text/event-stream\r\n" if whole.startswith(b"id:") else b""
        return b"HTTP/1.1 %d X\r\nHophinge-Request-Id: %s\r\n%s%sContent-Length: %d\r\n\r\n%s" % (
            status,
            asked.name.encode(),
            kind,
            more,
            len(whole),
            whole,
        )


Ending = Callable[[Script, Connection, ReceivedCall], Coroutine[Any, Any, bool]]
STAMP = b"Hophinge-Server-Signature: sig\r\n"
NOT_EXECUTED = b"Hophinge-Not-Executed: 1\r\n"


def sound_body(asked: ReceivedCall) -> bytes:
    """Tell the body of a sound answer."""
    if asked.reads:
        return json.dumps({"prefill-handle": f"h-{asked.name}", "tokens": 9, "version": 1}).encode()
    if asked.name.startswith("stream"):
        return b"".join(b"id: %d\ndata: x\n\n" % number for number in range(asked.first_event, EVENTS + 1))
    return f"answer to {asked.name} of {len(asked.body)}".encode()


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
            while await self._one(connection):
                connection.served += 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the caller has closed it, or the play is over
        finally:
            writer.close()

    async def _one(self, connection: Connection) -> bool:
        head = await connection.reader.readuntil(b"\r\n\r\n")
        fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head.decode().split("\r\n")[1:])
        }
        if head.startswith(b"DELETE"):
            connection.say(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        reads = fields.get("hophinge-serving-stage") == "prefill"
        length, name = int(fields.get("content-length", 0)), fields["hophinge-request-id"]
        script = self.script
        due = script.ending is not None and script.struck is None
        struck = due and (script.stage, script.name) == (self.stage, name)
        if struck and getattr(script.ending, "before_body", False):
            asked = ReceivedCall(self.name, name, reads, 1, b"")
        else:
            body = await connection.reader.readexactly(length)
            asked = ReceivedCall(self.name, name, reads, int(fields.get("last-event-id", 0)) + 1, body)
        script.arrivals.append(asked)
        if struck:
            assert script.ending is not None
            script.struck = name
            return await script.ending(script, connection, asked)
        script.ran(asked)
        connection.say(script.answer(asked, more=STAMP))
        return True


async def left(script: Script, connection: Connection) -> bool:
    """Wait until the caller closes the connection, with work on it."""
    with contextlib.suppress(ConnectionError):
        await connection.reader.read(1)
    script.left.set()
    return False
