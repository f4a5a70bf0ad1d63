"""Sockets for emulated instances: a plain HTTP server on loopback, and heartbeats to the control members."""

from __future__ import annotations

from hophinge.fleet.transport import lean  # isort: skip  # noqa: F401 - before the HTTP libraries

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httpcore

from hophinge.fleet.emulation.engine import Answered, Engine
from hophinge.fleet.forwarding.headers import REQUEST_ID, SIGNATURE, Fields, find

HEARTBEAT_S = 0.4
CALL_S = 1.0
CHANGE_S = 0.8  # that a change of stage takes
MAX_HEAD = 65_536
EVENT_END = b"\n\n"
FAILURES = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@dataclass(frozen=True, slots=True)
class Taken:
    """A request that was read from a socket."""

    method: str
    target: str
    fields: Fields
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Taken | None:
    """Read one request with a measured body; None at the end of the connection, be it in the middle of a request."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].split(b"\r\n")
    method, target, _ = first.split(b" ", 2)
    fields = [(name, value.strip()) for name, _, value in (line.partition(b":") for line in lines)]
    length = next((int(value) for name, value in fields if name.lower() == b"content-length"), 0)
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Taken(method.decode(), target.decode(), fields, body)


def write_answer(answer: Answered) -> bytes:
    """Encode an answer; one that is cut promises more than it has."""
    length = len(answer.body) + (9 if answer.cut else 0)
    lines = [f"HTTP/1.1 {answer.status} -".encode(), b"Content-Length: %d" % length]
    lines += [name + b": " + value for name, value in answer.fields]
    return b"\r\n".join(lines) + b"\r\n\r\n" + answer.body


class StandIn:
    """One emulated instance with its socket and its heartbeats."""

    def __init__(self, engine: Engine, service: str, ip: str, zone: str, holders: dict[str, Engine]) -> None:
        self.engine, self.service, self.ip, self.zone, self.holders = engine, service, ip, zone, holders
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.pause: Callable[[], Awaitable[object]] | None = None  # before each event of a stream but the first
        self.delay: Callable[[], Awaitable[object]] | None = None  # before the head of each answer of a run
        self.under_way: set[str] = set()  # requests whose answers are not out yet
        self.leaves = asyncio.Event()  # it sends no heartbeats by itself any more
        self.ranked: Callable[[list[str]], list[str]] = list  # control members, in the order in which it calls them
        self.arrived: set[str] = set()  # all requests that were read here
        self.left: set[str] = set()  # requests whose caller closed the connection before the answer's end

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, self.ip, 0, limit=MAX_HEAD)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self.holders[self.address] = self.engine

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (taken := await read_request(reader)) is not None and await self._one(taken, reader, writer):
                pass
        except (ConnectionError, asyncio.CancelledError):
            pass  # the caller is gone, or the play is over
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _one(self, taken: Taken, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one request; tells whether its connection goes on."""
        request = find(taken.fields, REQUEST_ID) or ""
        self.arrived.add(request)
        answer = self._answer(taken)
        self.under_way.add(request)
        try:
            if not answer.status or not await self._send(answer, request, reader, writer):
                return False
        finally:
            self.under_way.discard(request)
        return not answer.cut and (b"Connection", b"close") not in answer.fields

    async def _send(
        self, answer: Answered, request: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send an answer in pieces, with pauses between them; tells whether its caller was there to the end."""
        data = write_answer(answer)
        streams = (b"Content-Type", b"text/event-stream") in answer.fields
        pieces = [piece + EVENT_END for piece in data.split(EVENT_END)[:-1]] if streams and not answer.cut else [data]
        is_run = find(answer.fields, SIGNATURE) is not None
        for number, piece in enumerate(pieces):
            wait = self.delay if number == 0 and is_run else self.pause if number else None
            if wait is not None:
                await wait()
            if reader.at_eof() or writer.is_closing():
                self.left.add(request)
                return False
            writer.write(piece)
            try:
                await writer.drain()
            except ConnectionError:
                self.left.add(request)
                raise
        return True

    def _answer(self, taken: Taken) -> Answered:
        if taken.target == "/v1/report":
            return Answered(200, [], self.engine.report())
        if taken.target == "/v1/order":
            return self._order(taken.body)
        if taken.method == "DELETE":
            self.engine.free(taken.target.rsplit("/", 1)[1])
            return Answered(200)
        return self.engine.serve(taken.target, taken.fields, taken.body, self.holders)

    def _order(self, body: bytes) -> Answered:
        answer = self.engine.order(body)
        if answer.status == 202:
            asyncio.get_running_loop().call_later(CHANGE_S, self.engine.change)
        return answer

    async def beat(self, controls: list[str]) -> bool:
        """Send a heartbeat to the first control member that answers; tells whether one acknowledged it."""
        body = self.engine.registration(self.service, self.address, self.zone)
        return await call_any(self.ranked(controls), "PUT", f"/v1/instances/{self.engine.identity}", body)

    async def beat_on(self, controls: list[str]) -> None:
        """Send heartbeats until it leaves, or until cancelled."""
        while not self.leaves.is_set():
            await self.beat(controls)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_S):
                    await self.leaves.wait()

    async def unregister(self, controls: list[str]) -> bool:
        """Tell the control members that it has ended, and serve on; tells whether one acknowledged it."""
        return await call_any(controls, "DELETE", f"/v1/instances/{self.engine.identity}", b"")

    def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    def end(self) -> None:
        """End as a process does: nobody listens, and all connections are closed."""
        self.stop()
        for writer in list(self.writers):
            writer.close()


async def call_any(addresses: list[str], method: str, target: str, body: bytes) -> bool:
    """Call members one after the other until one answers with success."""
    timeout = {"connect": CALL_S, "read": CALL_S, "write": CALL_S, "pool": CALL_S}
    async with httpcore.AsyncConnectionPool() as pool:
        for address in addresses:
            try:
                response = await pool.request(
                    method,
                    f"http://{address}{target}",
                    content=body,
                    headers=[(b"content-type", b"application/json")],
                    extensions={"timeout": timeout},
                )
            except FAILURES:
                continue
            if response.status == 200:
                return True
    return False
