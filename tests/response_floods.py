"""Seeded orders of bytes that an instance sends: a header, a body and what stands behind it, one of them without end.

`python -m tests.response_floods FIRST COUNT` plays orders by hand.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
from random import Random

from loguru import logger

from hophinge.fleet.dataplane.response_buffers import ResponseBuffers
from tests.scripted_instance import Script, ScriptedInstance
from tests.test_failures_requests import ROUTES, Client, Play

MIB = 1 << 20
MAX_RESPONSE_BYTES = 1 * MIB  # of the head that is played
BUFFER_BYTES = 8 * MIB
MAX_TAKEN_BYTES = 32 * MIB  # from one instance, with what the kernel's buffers hold
SENT_BYTES = 256 * MIB  # of one flood, at most
DEADLINE_S = 30.0  # far longer than a bounded response is read, even on a busy machine
PARALLEL_ORDERS = 8
PIECE_BYTES = 64 << 10
SIGNED = b"Hophinge-Server-Signature: s\r\n"
STATUSES = (200, 200, 200, 404, 500, 503)
FRAMINGS = ("length", "chunks", "close")
PLACES = ("interim", "fields", "value", "line", "body", "body", "body", "noise", "answers", "zeros")
BEHIND = ("noise", "answers", "zeros")  # a complete response: the client has it
KINDS = {"plain": "unsafe", "safe": "safe", "stream": "stream", "prefill": "unsafe"}


@dataclass(frozen=True, slots=True)
class Order:
    """What one instance sends to one request."""

    seed: int
    kind: str  # of the call that the flood answers
    place: str  # of what does not end
    framing: str
    status: int
    is_refused: bool  # the header says that the request did not run
    chunk_bytes: int
    interims: int  # before the header
    fields: int  # of the header

    @classmethod
    def draw(cls, seed: int) -> Order:
        """Return the order of a seed."""
        random = Random(seed)
        status = random.choice(STATUSES)
        place, framing = random.choice(PLACES), random.choice(FRAMINGS)
        if place in BEHIND and framing == "close":
            place = "body"  # nothing stands behind a body that ends with its connection
        return cls(
            seed,
            random.choice(sorted(KINDS)),
            place,
            framing,
            status,
            status == 503 and random.random() < 0.5,
            random.choice((1, 1, 2, 8, 100, 5_000, 60_000)),
            random.choice((0, 0, 1, 8)),
            random.choice((0, 3, 100)),
        )

    @property
    def is_complete(self) -> bool:
        """Whether the response itself has an end."""
        return self.place in BEHIND

    def pieces(self, name: str) -> Iterator[bytes]:
        """Yield what is sent in response to a request."""
        yield b"HTTP/1.1 103 -\r\n\r\n" * self.interims
        if self.place == "interim":
            yield from itertools.repeat(b"HTTP/1.1 103 -\r\na: b\r\n\r\n" * 2_000)
        if self.place == "line":
            yield b"HTTP/1.1 200 "
            yield from itertools.repeat(b"x" * PIECE_BYTES)
        yield self._header_start(name)
        if self.place == "fields":
            yield from itertools.repeat(b"a: b\r\n" * 8_000)
        if self.place == "value":
            yield b"a: "
            yield from itertools.repeat(b"x" * PIECE_BYTES)
        yield from self._body(name)

    def _header_start(self, name: str) -> bytes:
        refusal = b"Hophinge-Not-Executed: 1\r\n" if self.is_refused else b""
        kind = b"Content-Type: text/event-stream\r\n" if self.kind == "stream" else b""
        padding = b"".join(b"p-%d: q\r\n" % number for number in range(self.fields))
        own = b"HTTP/1.1 %d -\r\nHophinge-Request-Id: %s\r\n" % (self.status, name.encode())
        return own + SIGNED + refusal + kind + padding

    def _body(self, name: str) -> Iterator[bytes]:
        endless = self.place == "body"
        if self.framing == "length":
            yield b"Content-Length: %d\r\n\r\n" % (10**12 if endless else 5)
        elif self.framing == "chunks":
            yield b"Transfer-Encoding: chunked\r\n\r\n"
        else:
            yield b"Connection: close\r\n\r\n"
        if endless:
            yield from itertools.repeat(self._body_piece())
        yield b"5\r\n12345\r\n0\r\n\r\n" if self.framing == "chunks" else b"12345"
        yield from itertools.repeat(self._behind())

    def _body_piece(self) -> bytes:
        if self.framing != "chunks":
            return b"x" * PIECE_BYTES
        chunk = b"%x\r\n%s\r\n" % (self.chunk_bytes, b"x" * self.chunk_bytes)
        return chunk * max(1, PIECE_BYTES // len(chunk))

    def _behind(self) -> bytes:
        if self.place == "answers":
            return (b"HTTP/1.1 200 -\r\nHophinge-Request-Id: other\r\n%sContent-Length: 1\r\n\r\nx" % SIGNED) * 700
        return b"\0" * PIECE_BYTES if self.place == "zeros" else bytes(range(256)) * 256


class FloodInstance(ScriptedInstance):
    """An instance that answers its first request by an order, and all others normally."""

    def __init__(self, name: str, stage: str, script: Script, order: Order) -> None:
        super().__init__(name, stage, script)
        self.order = order
        self.floods = 0
        self.open = 0
        self.sent_bytes = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.floods:
            await super()._serve(reader, writer)
            return
        self.floods += 1
        self.open += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
            await reader.readexactly(int(fields[b"content-length"]))
            for piece in self.order.pieces(fields[b"hophinge-request-id"].decode()):
                writer.write(piece)
                await writer.drain()
                self.sent_bytes += len(piece)
                await asyncio.sleep(0)
                if self.sent_bytes > SENT_BYTES:
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller has closed the connection, or the test is over
        finally:
            self.open -= 1
            writer.close()


@dataclass
class Tally:
    """What the orders have shown."""

    faults: list[str] = field(default_factory=list)
    cut_off: int = 0  # orders whose instance the log names
    limits: set[str] = field(default_factory=set)


def _instances(order: Order, script: Script) -> list[ScriptedInstance]:
    if order.kind == "prefill":
        stages = ["decode", "decode"]
        return [
            FloodInstance("flood", "prefill", script, order),
            *(ScriptedInstance(f"i-{number}", stage, script) for number, stage in enumerate(stages)),
        ]
    return [FloodInstance("flood", "", script, order)]


@contextlib.asynccontextmanager
async def _playing(order: Order) -> AsyncIterator[tuple[Play, FloodInstance]]:
    script = Script()
    instances = _instances(order, script)
    for instance in instances:
        await instance.listen()
    play = Play(script, instances)
    play.upstream.response_buffers = ResponseBuffers(BUFFER_BYTES, MAX_RESPONSE_BYTES)
    flood = instances[0]
    assert isinstance(flood, FloodInstance)
    try:
        yield play, flood
    finally:
        await play.upstream.close()
        for instance in instances:
            await instance.close()


def _check(order: Order, client: Client, flood: FloodInstance, play: Play) -> list[str]:
    """Return what was wrong with the request that met the flood, and what it left behind."""
    faults = []
    if not flood.floods:
        return ["no call has met the flood"]
    if client.status == 504:
        faults.append("the request ended by its own deadline")
    if not (client.whole or client.broken):
        faults.append("the response has no end")
    is_forwarded = order.is_complete and order.kind in ("plain", "safe") and order.status in (200, 404, 500)
    if is_forwarded and (client.status, client.body) != (order.status, b"12345"):
        faults.append(f"a complete response became {client.status} {client.body[:20]!r}")
    if order.is_refused and order.place in ("body", *BEHIND) and client.status in (502, 504):
        faults.append(f"a request that did not run got {client.status}")
    if play.upstream.response_buffers.used:
        faults.append("bytes of a response are held after its end")
    if flood.sent_bytes > MAX_TAKEN_BYTES:
        faults.append(f"{flood.sent_bytes} bytes were taken")
    return faults


async def _play_order(seed: int, tally: Tally, turns: asyncio.Semaphore) -> None:
    order = Order.draw(seed)
    async with turns, _playing(order) as (play, flood):
        route = ROUTES[KINDS[order.kind]]
        client = await play.request(f"{order.kind}-{seed}", route, left_s=DEADLINE_S)
        faults = _check(order, client, flood, play)
        after = await play.request(f"plain-after-{seed}", ROUTES["unsafe"], left_s=DEADLINE_S)
        if after.status != 200:
            faults.append(f"the request after it got {after.status}")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DEADLINE_S):
                while flood.open:
                    await asyncio.sleep(0.01)
        if flood.open:
            faults.append("the connection of the flood stays open")
        tally.faults += [f"seed {seed}: {fault}; {order}" for fault in faults]


async def play_orders(first: int, count: int) -> Tally:
    """Play the orders of `count` seeds."""
    tally, lines = Tally(), list[str]()
    sink = logger.add(lambda message: lines.append(str(message)), level="INFO", format="{message}")
    turns = asyncio.Semaphore(PARALLEL_ORDERS)
    try:
        await asyncio.gather(*(_play_order(seed, tally, turns) for seed in range(first, first + count)))
    finally:
        logger.remove(sink)
    for seed in range(first, first + count):
        order = Order.draw(seed)
        named = [line for line in lines if f"instance=flood call={order.kind}".replace("plain", "request") in line]
        own = [line for line in lines if "instance=flood " in line and f"request={order.kind}-{seed} " in line]
        tally.cut_off += bool(own)
        tally.limits |= {word for line in named + own for word in line.split() if word.startswith("limit=")}
        if not own and not order.is_complete:
            tally.faults.append(f"seed {seed}: the log does not name who was cut off; {order}")
    return tally


def main() -> None:
    """Play what the command line asks for."""
    first, count = map(int, sys.argv[1:])
    tally = asyncio.run(play_orders(first, count))
    print(*tally.faults, sep="\n")
    print(f"{count} orders, {tally.cut_off} cut off, {sorted(tally.limits)}, {len(tally.faults)} faults")
    sys.exit(1 if tally.faults else 0)


if __name__ == "__main__":
    main()
