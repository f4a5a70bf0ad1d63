"""Seeded responses that end with their connection, and the model that determines what each client must get.

Instances send streams, other bodies and prefill responses without a length (RFC 9112, section 6.3), in chunks or with a
length, whole or cut anywhere: within the header, before the first event, within a line or an event, between two events.
A cut is a close, a reset, or the death of the instance, which stops listening too.
`python -m tests.close_delimited_responses FIRST COUNT` plays seeds by hand.
"""

from __future__ import annotations

import asyncio
import sys
from collections import defaultdict
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random

from tests.scripted_instance import Connection, ScriptedInstance
from tests.surplus_orders import OrderState, RepeatingInstance, Wire, own_body
from tests.test_failures_requests import ROUTES, Client, Play

REQUESTS = 12  # of a seed, one after the other
MAX_CUTS = 2  # of one request
MAX_ATTEMPTS = 2
MAX_PAUSE_S = 0.02  # between two writes
RESET_DELAY_S = 0.02  # for the bytes to be read before the reset drops them
RESTART_S = 0.1  # until an instance that was killed listens again
PARALLEL_SEEDS = 20
DEADLINE_S = 60.0  # far longer than any request takes, even on a busy machine
EVENT_END = b"\n\n"


class Framing(Enum):
    """How the end of a body is told."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclass(frozen=True)
class Ending:
    """How far one response of an instance got."""

    framing: Framing
    has_header: bool
    sent: bytes  # of the body
    is_cut: bool
    is_reset: bool
    is_killed: bool = False  # the instance is gone for a moment

    @property
    def events(self) -> bytes:
        """The whole events that were sent."""
        return self.sent[: self.sent.rfind(EVENT_END) + len(EVENT_END)] if EVENT_END in self.sent else b""

    def is_complete(self, is_stream: bool) -> bool:
        """Return whether the response counts as complete.

        A close is the end of a body without a length, so that a cut of it is seen only within an event or before one,
        or where the instance is gone too.
        """
        if not self.has_header:
            return False
        if self.framing is not Framing.CLOSE:
            return not self.is_cut
        is_between_events = self.events == self.sent and bool(self.sent)
        return not self.is_reset and not self.is_killed and (not is_stream or is_between_events)


@dataclass
class ResponseState(OrderState):
    """The state that the instances of one seed share."""

    endings: dict[str, list[Ending]] = field(default_factory=lambda: defaultdict(list))  # by request, without prefills
    prefill_cuts: set[str] = field(default_factory=set)  # requests whose prefill response was cut


def draw_length(body: bytes, is_stream: bool, random: Random) -> int:
    """Return how many bytes of a body are sent before a cut."""
    if not is_stream:
        return random.randrange(len(body))
    ends = [at + len(EVENT_END) for at in range(len(body)) if body.startswith(EVENT_END, at)]
    place = random.choice(("anywhere", "before the first", "between lines", "between events"))
    if place == "before the first" or not ends:
        return 0
    if place == "between lines":
        return body.index(b"\n", random.choice([0, *ends[:-1]])) + 1
    return random.choice(ends) if place == "between events" else random.randrange(len(body))


class CuttingInstance(RepeatingInstance):
    """An instance that cuts many of its responses."""

    state: ResponseState

    async def _respond(self, wire: Wire, head: bytes, fields: dict[str, str]) -> None:
        name = fields.get("hophinge-request-id", "")
        if not name:
            wire.writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
            return
        random = self.state.draw(name)
        is_prefill = fields.get("hophinge-serving-stage") == "prefill"
        is_stream = name.startswith("stream") and not is_prefill
        body = own_body(name, is_prefill, int(fields.get("last-event-id", 0)) + 1)
        ending = self._draw_ending(name, body, is_prefill, is_stream, random)
        if not is_prefill:
            self.state.endings[name].append(ending)
        kind = b"Content-Type: text/event-stream\r\n" if is_stream else b""
        header = b"HTTP/1.1 200 X\r\nHophinge-Request-Id: %s\r\nHophinge-Server-Signature: s\r\n%s" % (
            name.encode(),
            kind,
        )
        await self._send(wire, header, body, ending, random)
        if ending.framing is Framing.CLOSE or ending.is_cut:
            await self._end(wire, ending)

    def _draw_ending(self, name: str, body: bytes, is_prefill: bool, is_stream: bool, random: Random) -> Ending:
        framing = random.choice((Framing.LENGTH, Framing.CHUNKED, *[Framing.CLOSE] * 4))
        cuts = sum(ending.is_cut for ending in self.state.endings[name])
        may_cut = name not in self.state.prefill_cuts if is_prefill else cuts < MAX_CUTS
        if not may_cut or random.random() < 0.3:
            return Ending(framing, True, body, False, False)
        if is_prefill:
            self.state.prefill_cuts.add(name)
        has_header = random.random() < 0.9
        sent = body[: draw_length(body, is_stream, random)] if has_header else b""
        is_whole = framing is Framing.LENGTH and has_header and sent == body
        is_reset = random.random() < 0.4
        return Ending(
            framing, has_header, sent, not is_whole, is_reset, not (is_whole or is_reset) and random.random() < 0.5
        )

    async def _send(self, wire: Wire, header: bytes, body: bytes, ending: Ending, random: Random) -> None:
        if not ending.has_header:
            wire.writer.write(header)
            return
        more = {
            Framing.LENGTH: b"Content-Length: %d\r\n\r\n" % len(body),
            Framing.CHUNKED: b"Transfer-Encoding: chunked\r\n\r\n",
            Framing.CLOSE: b"Connection: close\r\n\r\n",
        }[ending.framing]
        wire.writer.write(header + more)
        cut = random.randrange(len(ending.sent) + 1)
        for part in (ending.sent[:cut], ending.sent[cut:]):
            await asyncio.sleep(random.choice((0.0, random.uniform(0.0, MAX_PAUSE_S))))
            if part:
                wire.writer.write(b"%x\r\n%s\r\n" % (len(part), part) if ending.framing is Framing.CHUNKED else part)
        if ending.framing is Framing.CHUNKED and not ending.is_cut:
            wire.writer.write(b"0\r\n\r\n")

    async def _end(self, wire: Wire, ending: Ending) -> None:
        """Close or reset the connection, and stop serving it."""
        await wire.writer.drain()
        if ending.is_killed:
            await self.close()
            task = asyncio.create_task(self._listen_again())
            self.state.tasks.add(task)
        if ending.is_reset:
            await asyncio.sleep(RESET_DELAY_S)
            await Connection(asyncio.StreamReader(), wire.writer).reset()
        else:
            wire.writer.close()
            await wire.writer.wait_closed()
        raise ConnectionAbortedError

    async def _listen_again(self) -> None:
        await asyncio.sleep(RESTART_S)
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port))


@dataclass(frozen=True)
class Result:
    """What one client got, and how the responses to its request ended."""

    kind: str
    name: str
    client: Client
    endings: list[Ending]

    @property
    def is_stream(self) -> bool:
        """Whether the route is of a streaming type."""
        return self.kind.startswith("stream")

    def faults(self) -> list[str]:
        """Return the deviations from the model."""
        complete = [ending.is_complete(self.is_stream) for ending in self.endings]
        attempts = MAX_ATTEMPTS if ROUTES[self.kind].is_idempotent else 1
        found = []
        if not self.endings or any(complete[:-1]) or (not complete[-1] and len(complete) != attempts):
            found.append(f"{len(complete)} runs, complete: {complete}")
        elif complete[-1]:
            parts = [ending.events if self.is_stream else b"" for ending in self.endings[:-1]]
            expected = b"".join([*parts, self.endings[-1].sent])
            if (self.client.status, self.client.whole, self.client.body) != (200, True, expected):
                found.append(f"whole={self.client.whole} {self.client.status} {self.client.body!r}, not {expected!r}")
        elif self.client.status == 200 and self.client.whole:
            found.append(f"a response that was cut looks complete: {self.client.body!r}")
        elif self.client.status == 200 and self.client.body != b"".join(ending.events for ending in self.endings):
            found.append(f"{self.client.body!r} before it was broken off")
        return [f"{self.kind} {self.name}: {text}; {self.endings}" for text in found]


async def play_seed(seed: int) -> list[str]:
    """Play the requests of one seed; return the deviations from the model."""
    random, state = Random(seed), ResponseState(seed)
    stages = ["prefill", "prefill", "decode", "decode"] if random.random() < 0.4 else ["", ""]
    instances: list[ScriptedInstance] = [CuttingInstance(f"i-{at}", stage, state) for at, stage in enumerate(stages)]
    for instance in instances:
        await instance.listen()
    play = Play(None, instances)  # type: ignore[arg-type]  # these instances have no script
    faults: list[str] = []
    for number in range(REQUESTS):
        kind = random.choice((*ROUTES, "stream", "stream-resumable"))
        name = f"{'stream' if kind.startswith('stream') else 'plain'}-{number}"
        client = await play.request(name, replace(ROUTES[kind], max_attempts=MAX_ATTEMPTS), left_s=DEADLINE_S)
        faults += Result(kind, name, client, state.endings[name]).faults()
    await asyncio.gather(
        *play.upstream.background, *state.tasks
    )  # handles that are being freed open connections of their own
    await play.upstream.close()
    for instance in instances:
        await instance.close()
    await asyncio.wait(state.connections)  # each ends when the head closes its end
    return [f"seed {seed}: {fault}" for fault in faults]


async def play_seeds(first: int, count: int) -> list[str]:
    """Play seeds, several at a time; return the deviations from the model."""
    semaphore = asyncio.Semaphore(PARALLEL_SEEDS)

    async def play(seed: int) -> list[str]:
        async with semaphore:
            return await play_seed(seed)

    return [fault for faults in await asyncio.gather(*map(play, range(first, first + count))) for fault in faults]


def main() -> int:
    """Play seeds by hand; the exit status is 1 if a result deviates from the model."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    faults = asyncio.run(play_seeds(first, count))
    print(*faults, sep="\n")
    print(f"{count} seeds from {first}, {count * REQUESTS} requests, {len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
