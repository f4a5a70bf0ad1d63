"""Seeded orders of responses with surplus ones between them, and the model that determines what each client must get.

Instances refuse some attempts, run others, and repeat many responses: late, split anywhere, before, during and after
the next request on the connection. Every own response is complete and in time, so each request is served, once.
`python -m tests.surplus_orders FIRST COUNT` runs orders by hand.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random

from hophinge.fleet.dataplane.upstream import Upstream
from hophinge.fleet.forwarding.headers import find_field
from tests.scripted_instance import EVENTS, ScriptedInstance
from tests.test_failures_requests import ROUTES, Client, Play

REQUESTS = 12  # in an order
LANES = 3  # sequences of requests that run in parallel
MAX_REFUSALS = 2  # of one request, so that it is served in the end
MAX_DELAY_S = 0.2  # before a response
MAX_LATENESS_S = 0.4  # of a surplus response, after the own one
MAX_PAUSE_S = 0.06  # between two requests, and between the parts of a split response
PARALLEL_ORDERS = 40
DEADLINE_S = 60.0  # far longer than any order takes, even on a busy machine
NOT_EXECUTED = b"Hophinge-Not-Executed: 1\r\n"


@dataclass
class OrderState:
    """The state that the instances of one order share."""

    seed: int
    arrivals: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    runs: Counter[str] = field(default_factory=Counter)
    surplus: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    connections: set[asyncio.Task[None]] = field(default_factory=set)  # each serves one connection

    def draw(self, name: str) -> Random:
        """Return the generator of random numbers for an arrival, independent of concurrent events."""
        self.arrivals[name] += 1
        return Random(f"{self.seed} {name} {self.arrivals[name]}")


@dataclass
class Wire:
    """A connection at an instance; responses are written in sequence."""

    writer: asyncio.StreamWriter
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def write(self, data: bytes, random: Random) -> None:
        """Write a response, sometimes in two parts."""
        cut = random.randrange(len(data)) if random.random() < 0.5 else 0
        async with self.lock:
            self.writer.write(data[:cut])
            if cut:
                await asyncio.sleep(random.uniform(0.0, MAX_PAUSE_S))
            self.writer.write(data[cut:])


def encode(status: int, more: bytes, body: bytes, random: Random) -> bytes:
    """Encode a response, with a length or in chunks, sometimes after an interim response."""
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" if random.random() < 0.1 else b""
    head = b"%sHTTP/1.1 %d X\r\n%s" % (interim, status, more)
    if body and random.random() < 0.4:
        half = len(body) // 2
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:half], body[half:]) if part)
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def own_body(name: str, is_prefill: bool, first_event: int) -> bytes:
    """Return the body of a request's own response."""
    if is_prefill:
        return json.dumps({"prefill-handle": f"h-{name}", "tokens": 9, "version": 1}).encode()
    if name.startswith("stream"):
        return b"".join(b"id: %d\ndata: %s\n\n" % (at, name.encode()) for at in range(first_event, EVENTS + 1))
    return f"response to {name}".encode()


class RepeatingInstance(ScriptedInstance):
    """An instance that sends many of its responses a second time."""

    def __init__(self, name: str, stage: str, state: OrderState) -> None:
        super().__init__(name, stage, None)  # type: ignore[arg-type]  # no script: this instance behaves randomly
        self.state = state

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wire = Wire(writer)
        task = asyncio.current_task()
        assert task is not None
        self.state.connections.add(task)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = (line.partition(":") for line in head.decode().split("\r\n")[1:])
                fields = {name.strip().lower(): value.strip() for name, _, value in lines}
                await reader.readexactly(int(fields.get("content-length", 0)))
                await self._respond(wire, head, fields)
        writer.transport.abort()

    async def _respond(self, wire: Wire, head: bytes, fields: dict[str, str]) -> None:
        name = fields.get("hophinge-request-id", "")
        random = self.state.draw(name or head.split(b" ")[1].decode())
        response = encode(200, b"", b"", random) if not name else self._decide(name, fields, random)
        await asyncio.sleep(random.uniform(0.0, MAX_DELAY_S))
        await wire.write(response, random)
        if random.random() < 0.5:
            task = asyncio.create_task(self._repeat(wire, response, random))
            self.state.tasks.add(task)
            task.add_done_callback(self.state.tasks.discard)

    def _decide(self, name: str, fields: dict[str, str], random: Random) -> bytes:
        identity = b"Hophinge-Request-Id: %s\r\n" % name.encode()
        if self.state.refusals[name] < MAX_REFUSALS and random.random() < 0.3:
            self.state.refusals[name] += 1
            return encode(503, identity + NOT_EXECUTED, b"", random)
        is_prefill = fields.get("hophinge-serving-stage") == "prefill"
        self.state.runs[name] += not is_prefill
        kind = b"Content-Type: text/event-stream\r\n" if name.startswith("stream") and not is_prefill else b""
        body = own_body(name, is_prefill, int(fields.get("last-event-id", 0)) + 1)
        return encode(200, identity + kind + b"Hophinge-Server-Signature: s\r\n", body, random)

    async def _repeat(self, wire: Wire, response: bytes, random: Random) -> None:
        await asyncio.sleep(random.choice((0.0, random.uniform(0.0, MAX_LATENESS_S))))
        if not wire.writer.is_closing():
            self.state.surplus += 1
            with contextlib.suppress(ConnectionError):
                await wire.write(response, random)


@dataclass(frozen=True)
class Result:
    """The result of one request."""

    kind: str
    name: str
    client: Client
    runs: int

    def faults(self) -> list[str]:
        """Return the deviations from the model: each request is served by its own response, and runs once."""
        found = [] if self.runs == 1 else [f"ran {self.runs} times"]
        if (self.client.status, self.client.whole) != (200, True):
            found.append(f"got {self.client.status} though its own response arrived complete and in time")
        elif find_field(self.client.fields, b"hophinge-request-id") != self.name:
            found.append("got a response with another id")
        elif self.client.body != own_body(self.name, False, 1):
            found.append(f"got {self.client.body[:80]!r}")
        return [f"{self.kind} {self.name}: {text}" for text in found]


@dataclass
class Tally:
    """The results of many orders."""

    requests: int = 0
    surplus: int = 0  # responses that were sent a second time
    skipped: int = 0  # surplus responses
    faults: list[str] = field(default_factory=list)


async def play_order(seed: int, tally: Tally) -> None:
    """Run one order, and add its results to the tally."""
    random = Random(seed)
    state = OrderState(seed)
    stages = ["prefill", "prefill", "decode", "decode"] if random.random() < 0.4 else ["", ""]
    instances: list[ScriptedInstance] = [RepeatingInstance(f"i-{at}", stage, state) for at, stage in enumerate(stages)]
    for instance in instances:
        await instance.listen()
    play = Play(None, instances)  # type: ignore[arg-type]  # these instances have no script
    lanes = [_play_lane(play, state, Random(f"{seed} lane {lane}"), lane) for lane in range(LANES)]
    results = [result for lane in await asyncio.gather(*lanes) for result in lane]
    tally.requests += len(results)
    tally.surplus += state.surplus
    tally.skipped += skipped_responses(play.upstream, instances)
    tally.faults += [f"seed {seed}: {fault}" for result in results for fault in result.faults()]
    for task in list(state.tasks):
        task.cancel()
    await asyncio.gather(*play.upstream.background)  # handles that are being freed open connections of their own
    await play.upstream.close()
    for instance in instances:
        await instance.close()
    await asyncio.wait(state.connections)  # each ends when the head closes its end


def skipped_responses(upstream: Upstream, instances: list[ScriptedInstance]) -> int:
    """Return how many surplus responses a head has skipped."""
    return sum(upstream.surplus_responses(instance.name) for instance in instances)


async def _play_lane(play: Play, state: OrderState, random: Random, lane: int) -> list[Result]:
    results = []
    for number in range(REQUESTS // LANES):
        kind = random.choice(tuple(ROUTES))
        name = f"{'stream' if kind.startswith('stream') else 'plain'}-{lane}-{number}"
        client = await play.request(name, replace(ROUTES[kind], max_attempts=2), left_s=DEADLINE_S)
        results.append(Result(kind, name, client, state.runs[name]))
        await asyncio.sleep(random.choice((0.0, random.uniform(0.0, MAX_PAUSE_S))))
    return results


async def play_orders(first: int, count: int) -> Tally:
    """Run orders, several at a time."""
    tally = Tally()
    semaphore = asyncio.Semaphore(PARALLEL_ORDERS)

    async def play(seed: int) -> None:
        async with semaphore:
            await play_order(seed, tally)

    await asyncio.gather(*(play(seed) for seed in range(first, first + count)))
    return tally


def main() -> int:
    """Run orders by hand; the exit status is 1 if a result deviates from the model."""
    tally = asyncio.run(play_orders(int(sys.argv[1]), int(sys.argv[2])))
    print(*tally.faults, sep="\n")
    print(f"{tally.requests} requests, {tally.surplus} surplus responses, {tally.skipped} skipped")
    print(f"{len(tally.faults)} faults")
    return 1 if tally.faults else 0


if __name__ == "__main__":
    sys.exit(main())
