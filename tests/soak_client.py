"""Clients of a soak: each keeps its open connection and uses it until the process behind it is gone."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from enum import Enum, auto
from random import Random

from hophinge.fleet.emulation.fleet import HOST
from tests.fleet_requests import PROMPT

DEADLINE_MS = 8_000
GIVE_UP_S = 12.0            # well behind the deadline: by then an answer of some kind has to be there
CONNECT_S = 2.0


class Outcome(Enum):
    """How a request ended for its client."""

    WHOLE = auto()          # a whole answer of an instance
    REFUSED = auto()        # 429 or 503: it has not run and never will
    FAILED = auto()         # another status of the head's own
    UNREAD = auto()         # the connection was closed before any byte of an answer
    CUT = auto()            # the connection was closed in the middle of an answer
    SILENT = auto()         # nothing came in time


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request."""

    path: str
    streams: bool = False
    idempotent: bool = False        # it may run more than once
    may_be_unknown: bool = False    # its route comes and goes


KINDS = {
    "stream": Kind("/m/", streams=True), "resumable": Kind("/r/", streams=True, idempotent=True),
    "unsafe": Kind("/p/"), "safe": Kind("/s/", idempotent=True), "passing": Kind("/o/", may_be_unknown=True)}


@dataclass(frozen=True, slots=True)
class Done:
    """One request that is over."""

    name: str
    kind: str
    head: int
    first: bool             # on its connection
    outcome: Outcome
    status: int
    body: bytes
    sent_at: float
    over_at: float


@dataclass(frozen=True, slots=True)
class Answer:
    """What came."""

    status: int
    body: bytes
    whole: bool
    closes: bool


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """Read one answer; None where the connection ended before its head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        begun = isinstance(error, asyncio.IncompleteReadError) and bool(error.partial)
        return Answer(0, b"", False, True) if begun else None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    fields = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    status, closes = int(first.split()[1]), fields.get("connection", "").lower() == "close"
    body = bytearray()
    try:
        if fields.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n"))[:-2], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            body += await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, bytes(body), False, True)
    return Answer(status, bytes(body), True, closes)


class SoakClient:
    """One client of one head after the other."""

    def __init__(self, name: str, seed: int, heads: dict[int, str], done: list[Done]) -> None:
        self.name, self.random, self.heads, self.done = name, Random(seed), heads, done
        self.stopping = False
        self.number = 0

    async def run(self) -> None:
        """Make requests, one behind the other, until told to stop. `heads` names those that get new connections."""
        while not self.stopping:
            if not self.heads:
                await asyncio.sleep(0.05)
                continue
            head = self.random.choice(sorted(self.heads))
            host, port = self.heads[head].rsplit(":", 1)
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            try:
                await self._use(head, reader, writer)
            finally:
                writer.close()
                with contextlib.suppress(ConnectionError):
                    await writer.wait_closed()

    async def _use(self, head: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first = True
        while not self.stopping and await self._request(head, first, reader, writer):
            first = False
            await asyncio.sleep(self.random.choice((0.0, 0.0, 0.01, 0.05)))

    async def _request(self, head: int, first: bool, reader: asyncio.StreamReader,
                       writer: asyncio.StreamWriter) -> bool:
        """Make one request; tells whether its connection may be used again."""
        kind = self.random.choice(sorted(KINDS))
        self.number += 1
        name, loop = f"{self.name}-{self.number}", asyncio.get_running_loop()
        sent_at = loop.time()
        fields = [(b"Host", HOST.encode()), (b"Hophinge-Request-Id", name.encode()),
                  (b"Hophinge-Deadline-Ms", b"%d" % DEADLINE_MS), (b"Content-Length", b"1"),
                  *(PROMPT if KINDS[kind].streams else ())]
        head_lines = b"".join(field + b": " + value + b"\r\n" for field, value in fields)
        answer: Answer | None = None
        silent = False
        try:
            writer.write(b"POST %sq HTTP/1.1\r\n%s\r\nx" % (KINDS[kind].path.encode(), head_lines))
            async with asyncio.timeout(GIVE_UP_S):
                await writer.drain()
                answer = await read_answer(reader)
        except TimeoutError:
            silent = True
        except ConnectionError:
            pass
        status, body = (answer.status, answer.body) if answer is not None else (0, b"")
        outcome = Outcome.SILENT if silent else _outcome(answer)
        self.done.append(Done(name, kind, head, first, outcome, status, body, sent_at, loop.time()))
        return answer is not None and answer.whole and not answer.closes


def _outcome(answer: Answer | None) -> Outcome:
    if answer is None:
        return Outcome.UNREAD
    if not answer.whole:
        return Outcome.CUT
    if answer.status == 200:
        return Outcome.WHOLE
    return Outcome.REFUSED if answer.status in (429, 503) else Outcome.FAILED
