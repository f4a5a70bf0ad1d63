"""Emulated instances on loopback: a plain HTTP server, and heartbeats to the control members."""

from __future__ import annotations

from hophinge.fleet.transport import unused_imports  # isort: skip  # noqa: F401 - before the HTTP libraries

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httpcore

from hophinge.fleet.emulation.engine import EngineResponse, EmulatedEngine
from hophinge.fleet.forwarding.headers import REQUEST_ID, SIGNATURE, Fields, find_field

HEARTBEAT_INTERVAL_S = 0.4
CALL_TIMEOUT_S = 1.0
STAGE_SWITCH_S = 0.8
MAX_HEAD = 65_536
EVENT_END = b"\n\n"
FAILURES = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as received."""

    method: str
    target: str
    fields: Fields
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    """Read one request with a Content-Length; None where the connection ends, also within a request."""
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
    return ReceivedRequest(method.decode(), target.decode(), fields, body)


def encode_response(response: EngineResponse) -> bytes:
    """Encode a response; the Content-Length of a truncated one exceeds its body."""
    length = len(response.body) + (9 if response.is_truncated else 0)
    lines = [f"HTTP/1.1 {response.status} -".encode(), b"Content-Length: %d" % length]
    lines += [name + b": " + value for name, value in response.fields]
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body


class EmulatedInstance:
    """One emulated instance with its server and its heartbeats."""

    def __init__(
        self, engine: EmulatedEngine, service: str, ip: str, zone: str, engines_by_address: dict[str, EmulatedEngine]
    ) -> None:
        self.engine = engine
        self.service = service
        self.ip = ip
        self.zone = zone
        self.engines_by_address = engines_by_address
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.before_event: Callable[[], Awaitable[object]] | None = (
            None  # awaited before each event of a stream but the first
        )
        self.before_response: Callable[[], Awaitable[object]] | None = (
            None  # awaited before each response to an executed request
        )
        self.in_flight: set[str] = set()  # requests whose responses are not sent yet
        self.heartbeats_stopped = asyncio.Event()  # `run_heartbeats` ends
        self.order_controls: Callable[[list[str]], list[str]] = list  # orders the control members for its calls
        self.received_requests: set[str] = set()
        self.abandoned_requests: set[str] = set()  # whose client closed the connection before the end of the response

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, self.ip, 0, limit=MAX_HEAD)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self.engines_by_address[self.address] = self.engine

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (taken := await read_request(reader)) is not None and await self._serve_request(
                taken, reader, writer
            ):
                pass
        except (ConnectionError, asyncio.CancelledError):
            pass  # the client has disconnected, or the test is over
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, received: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request, and return whether its connection stays open."""
        request = find_field(received.fields, REQUEST_ID) or ""
        self.received_requests.add(request)
        response = self._respond(received)
        self.in_flight.add(request)
        try:
            if not response.status or not await self._send(response, request, reader, writer):
                return False
        finally:
            self.in_flight.discard(request)
        return not response.is_truncated and (b"Connection", b"close") not in response.fields

    async def _send(
        self, response: EngineResponse, request: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a response event by event, and return whether the client stayed connected to its end."""
        data = encode_response(response)
        streams = (b"Content-Type", b"text/event-stream") in response.fields
        pieces = (
            [piece + EVENT_END for piece in data.split(EVENT_END)[:-1]]
            if streams and not response.is_truncated
            else [data]
        )
        is_run = find_field(response.fields, SIGNATURE) is not None
        for number, piece in enumerate(pieces):
            wait = self.before_response if number == 0 and is_run else self.before_event if number else None
            if wait is not None:
                await wait()
            if reader.at_eof() or writer.is_closing():
                self.abandoned_requests.add(request)
                return False
            writer.write(piece)
            try:
                await writer.drain()
            except ConnectionError:
                self.abandoned_requests.add(request)
                raise
        return True

    def _respond(self, received: ReceivedRequest) -> EngineResponse:
        if received.target == "/v1/report":
            return EngineResponse(200, [], self.engine.report_body())
        if received.target == "/v1/order":
            return self._order(received.body)
        if received.method == "DELETE":
            self.engine.free_handle(received.target.rsplit("/", 1)[1])
            return EngineResponse(200)
        return self.engine.serve(received.target, received.fields, received.body, self.engines_by_address)

    def _order(self, body: bytes) -> EngineResponse:
        answer = self.engine.accept_order(body)
        if answer.status == 202:
            asyncio.get_running_loop().call_later(STAGE_SWITCH_S, self.engine.complete_switch)
        return answer

    async def send_heartbeat(self, controls: list[str]) -> bool:
        """Send a heartbeat to the first control member that answers, and return whether one acknowledged it."""
        body = self.engine.heartbeat_body(self.service, self.address, self.zone)
        return await call_any(self.order_controls(controls), "PUT", f"/v1/instances/{self.engine.identity}", body)

    async def run_heartbeats(self, controls: list[str]) -> None:
        """Send heartbeats until they are stopped, or until cancelled."""
        while not self.heartbeats_stopped.is_set():
            await self.send_heartbeat(controls)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self.heartbeats_stopped.wait()

    async def unregister(self, controls: list[str]) -> bool:
        """Unregister at the control members and continue to serve; return whether one acknowledged it."""
        return await call_any(controls, "DELETE", f"/v1/instances/{self.engine.identity}", b"")

    def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    def close(self) -> None:
        """Stop listening and close all connections, as the end of a process does."""
        self.stop()
        for writer in list(self.writers):
            writer.close()


async def call_any(addresses: list[str], method: str, target: str, body: bytes) -> bool:
    """Call addresses one after another until one answers with status 200; return whether one did."""
    timeout = {"connect": CALL_TIMEOUT_S, "read": CALL_TIMEOUT_S, "write": CALL_TIMEOUT_S, "pool": CALL_TIMEOUT_S}
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
