"""An instance that answers one kind of call with bytes that do not end, and all others normally.

What it sends is bounded in bytes and in time, so that a run ends also where its caller reads on.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from hophinge.fleet.emulation.instance_server import EmulatedInstance, ReceivedRequest
from hophinge.fleet.forwarding.headers import REQUEST_ID, SERVING_STAGE, find_field

KIB, MIB = 1 << 10, 1 << 20
MAX_SENT_BYTES = 1 << 30  # by one answer
MAX_SENDING_S = 20.0  # for one answer
LARGE_PIECE = b"x" * (64 * KIB)
LARGE_CHUNK = b"%x\r\n%s\r\n" % (len(LARGE_PIECE), LARGE_PIECE)
CHUNKS_OF_ONE_BYTE = b"1\r\nx\r\n" * 8_192
HEADER = b"HTTP/1.1 %d -\r\n%sHophinge-Server-Signature: s\r\n%s\r\n"


class CallKind(Enum):
    """The kinds of calls that an instance gets."""

    REQUEST = auto()
    PREFILL = auto()
    REPORT = auto()
    ORDER = auto()
    FREE = auto()

    @classmethod
    def of(cls, received: ReceivedRequest) -> CallKind:
        """Return the kind of a call."""
        if received.target == "/v1/report":
            return cls.REPORT
        if received.target == "/v1/order":
            return cls.ORDER
        if received.method == "DELETE":
            return cls.FREE
        return cls.PREFILL if find_field(received.fields, SERVING_STAGE) == "prefill" else cls.REQUEST


@dataclass(frozen=True, slots=True)
class Flood:
    """An answer without end: its beginning, and the piece that is sent again and again."""

    name: str
    piece: bytes
    fields: bytes = b""
    status: int = 200
    pause_s: float = 0.0  # between two pieces
    begin: bytes | None = None  # in place of a header

    def pieces(self, request_id: str) -> Iterator[bytes]:
        """Yield what is sent in answer to a request."""
        field = b"Hophinge-Request-Id: %s\r\n" % request_id.encode() if request_id else b""
        yield HEADER % (self.status, field, self.fields) if self.begin is None else self.begin
        yield from itertools.repeat(self.piece)


CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENTS = CHUNKED + b"Content-Type: text/event-stream\r\n"
BY_LENGTH = Flood("by length", LARGE_PIECE, b"Content-Length: 1000000000000\r\n")
BY_CHUNKS = Flood("by chunks", LARGE_CHUNK, CHUNKED)
BY_CLOSE = Flood("by close", LARGE_PIECE, b"Connection: close\r\n")
BY_SMALL_CHUNKS = Flood("by chunks of one byte", CHUNKS_OF_ONE_BYTE, CHUNKED)
BY_DRIP = Flood("by a byte at a time", b"1\r\nx\r\n", CHUNKED, pause_s=0.1)
BY_INTERIM = Flood("by interim responses", b"HTTP/1.1 103 -\r\n\r\n" * 2_000, begin=b"")
BY_INTERIM_DRIP = Flood("by interim responses at a time", b"HTTP/1.1 103 -\r\n\r\n", pause_s=0.1, begin=b"")
BY_HEADER = Flood("by header fields", b"a: b\r\n" * 8_192, begin=b"HTTP/1.1 200 -\r\n")
BY_HEADER_VALUE = Flood("by one header field", LARGE_PIECE, begin=b"HTTP/1.1 200 -\r\na: ")
BY_SWITCH = Flood(
    "by another protocol", LARGE_PIECE, begin=b"HTTP/1.1 101 -\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
)
BY_NOISE = Flood("by noise", bytes(range(256)) * 256, begin=b"")
BY_CHUNK_EXTENSION = Flood("by a chunk extension", LARGE_PIECE, CHUNKED + b"\r\n1;a=")
BY_TRAILERS = Flood("by trailers", b"a: b\r\n" * 8_192, CHUNKED + b"\r\n0\r\n")
BY_ONE_EVENT = Flood("by one event", LARGE_CHUNK, EVENTS)
BY_LINES_OF_ONE_EVENT = Flood("by lines of one event", b"400\r\ndata: %s\n\r\n" % (b"x" * 1_017) * 64, EVENTS)
BY_COMMENTS = Flood("by comments", b"4\r\n: x\n\r\n" * 8_192, EVENTS)
BY_EVENTS = Flood("by events", b"9\r\ndata: x\n\n\r\n" * 4_096, EVENTS)
REFUSALS = tuple(
    Flood(f"by length with {status}", LARGE_PIECE, fields + BY_LENGTH.fields, status)
    for status, fields in ((500, b""), (421, b""), (503, b""), (503, b"Hophinge-Not-Executed: 1\r\n"))
)


@dataclass(slots=True)
class FloodResult:
    """What an instance has sent without end."""

    calls: int = 0
    cut_off: int = 0  # calls whose caller closed the connection before the bounds of the test were reached
    open: int = 0
    sent_bytes: int = 0
    longest_s: float = 0.0  # of a call that was cut off
    kinds: set[CallKind] = field(default_factory=set)


class EndlessInstance(EmulatedInstance):
    """An emulated instance with a flood for one kind of call."""

    flood: Flood | None = None
    kind = CallKind.REQUEST

    def flood_calls(self, kind: CallKind, flood: Flood | None) -> FloodResult:
        """Answer calls of a kind with a flood from now on."""
        self.flood, self.kind = flood, kind
        self.result = FloodResult()
        return self.result

    async def _serve_request(
        self, received: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if self.flood is None or CallKind.of(received) is not self.kind:
            return await super()._serve_request(received, reader, writer)
        await self._send_flood(self.flood, find_field(received.fields, REQUEST_ID) or "", reader, writer)
        return False

    async def _send_flood(
        self, flood: Flood, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        result, loop = self.result, asyncio.get_running_loop()
        result.calls += 1
        result.open += 1
        result.kinds.add(self.kind)
        began_at, sent_bytes = loop.time(), 0
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_SENDING_S):
                    for piece in flood.pieces(request_id):
                        if sent_bytes > MAX_SENT_BYTES:
                            return
                        writer.write(piece)
                        await writer.drain()
                        await asyncio.sleep(flood.pause_s)
                        sent_bytes += len(piece)
                        result.sent_bytes += len(piece)
                        if reader.at_eof():
                            raise ConnectionResetError("the caller has closed the connection")
        except ConnectionError:
            result.cut_off += 1
            result.longest_s = max(result.longest_s, loop.time() - began_at)
        finally:
            result.open -= 1
