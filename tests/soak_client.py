"""Clients of a soak: each keeps its open connection and uses it until the process behind it is gone."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from enum import Enum, auto
from random import Random

from tests.soak_manners import KINDS, LAST, OVERSIZED, SENT_AHEAD, TWOS, Manner, draw, send, written

BACKOFFS_S = (0.0, 0.0, 0.01, 0.05, 0.05, 0.05, 2.0)  # between turns; the last outlasts the shortest resting time
GIVE_UP_S = 12.0  # well behind the deadline: by then an answer of some kind has to be there
CONNECT_S = 2.0
OVERSIZED_FRACTION = 0.15  # of the requests that are sent ahead


class Outcome(Enum):
    """How a request ended for its client."""

    WHOLE = auto()  # a whole answer of an instance
    REFUSED = auto()  # 429 or 503: it has not run and never will
    FAILED = auto()  # another status of the head's own
    UNREAD = auto()  # the connection was closed before any byte of an answer
    CUT = auto()  # the connection was closed in the middle of an answer
    SILENT = auto()  # nothing came in time
    UNANSWERED = auto()  # a request behind another one, which was answered: the connection ended without its answer
    BEHIND = auto()  # nothing came, behind an answer that said close: its client takes it as unread
    ANSWERED_BEHIND = auto()  # an answer came behind one that said close
    LEFT = auto()  # the client left, or did not send it whole


@dataclass(frozen=True, slots=True)
class Done:
    """One request that is over."""

    name: str
    kind: str
    head: int
    first: bool  # on its connection
    outcome: Outcome
    status: int
    body: bytes
    sent_at: float
    over_at: float
    manner: str
    rested_s: float  # before it was sent, on its connection; 0 for the first one


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that is about to be sent."""

    name: str
    kind: str


@dataclass(frozen=True, slots=True)
class Answer:
    """What came."""

    status: int
    body: bytes
    whole: bool
    closes: bool


CLOSED = Answer(0, b"", False, True)  # in place of an answer behind the close


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
        self.rested_s = 0.0  # the connection in use, before the request under way

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
        loop = asyncio.get_running_loop()
        first = True
        self.rested_s = 0.0
        while not self.stopping and await self._turn(head, first, reader, writer):
            first = False
            answered_at = loop.time()
            await asyncio.sleep(self.random.choice(BACKOFFS_S))
            self.rested_s = loop.time() - answered_at

    async def _turn(self, head: int, first: bool, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Make requests in one manner; tells whether the connection may be used again."""
        manner = draw(self.random)
        asked = (
            self._ask_ahead() if manner is Manner.AHEAD else [self._ask() for _ in range(2 if manner in TWOS else 1)]
        )
        data = b"".join(written(one.name, one.kind, manner) for one in asked)
        sending = asyncio.create_task(send(writer, data, manner, self.random))
        try:
            return await self._read_all(head, first, reader, manner, asked)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)  # what failed in it shows as nothing to read

    async def _read_all(
        self, head: int, first: bool, reader: asyncio.StreamReader, manner: Manner, asked: list[SentRequest]
    ) -> bool:
        """Read an answer to each request, while they are being sent."""
        sent_at = asyncio.get_running_loop().time()
        if manner is Manner.HALF_A_HEADER:
            return await self._refused(head, first, asked[0], sent_at, reader)
        goes_on = True
        answer: Answer | None = None
        for place, one in enumerate(asked):
            if manner is Manner.LEAVE and self.random.random() < 0.7:
                await asyncio.sleep(self.random.random() * 0.2)
                self._note(head, first, one, Outcome.LEFT, None, sent_at, manner)
                return False
            closed = answer is not None and answer.closes
            outcome, answer = await self._read(reader)
            if closed:
                outcome = Outcome.BEHIND if outcome is Outcome.UNREAD else Outcome.ANSWERED_BEHIND
                self._note(head, False, one, outcome, answer, sent_at, manner)
                answer = CLOSED
                continue
            if manner is Manner.LEAVE and outcome is not Outcome.WHOLE:
                outcome = Outcome.LEFT
            if place and goes_on and manner is Manner.TWO and outcome is Outcome.UNREAD:
                outcome = Outcome.UNANSWERED  # it came with the one before it, which was answered
            self._note(head, first and not place, one, outcome, answer, sent_at, manner)
            goes_on = answer is not None and answer.whole
        return goes_on and manner not in LAST and answer is not None and not answer.closes

    def _ask_ahead(self) -> list[SentRequest]:
        """Make several requests, some of which the head rejects for their size, with the wish to close."""
        asked = [self._ask() for _ in range(SENT_AHEAD)]
        return [
            SentRequest(one.name + OVERSIZED, one.kind) if self.random.random() < OVERSIZED_FRACTION else one
            for one in asked
        ]

    def _ask(self) -> SentRequest:
        self.number += 1
        return SentRequest(f"{self.name}-{self.number}", self.random.choice(sorted(KINDS)))

    async def _read(self, reader: asyncio.StreamReader) -> tuple[Outcome, Answer | None]:
        try:
            async with asyncio.timeout(GIVE_UP_S):
                answer = await read_answer(reader)
        except TimeoutError:
            return Outcome.SILENT, None
        return _outcome(answer), answer

    async def _refused(
        self, head: int, first: bool, asked: SentRequest, sent_at: float, reader: asyncio.StreamReader
    ) -> bool:
        """Wait for the end of a connection on which half a header was sent: a refusal, or nothing at all."""
        outcome, answer = await self._read(reader)
        expected = outcome is Outcome.UNREAD or (answer is not None and answer.status == 408)
        self._note(head, first, asked, Outcome.LEFT if expected else outcome, answer, sent_at, Manner.HALF_A_HEADER)
        return False

    def _note(
        self,
        head: int,
        first: bool,
        asked: SentRequest,
        outcome: Outcome,
        answer: Answer | None,
        sent_at: float,
        manner: Manner,
    ) -> None:
        status, body = (answer.status, answer.body) if answer is not None else (0, b"")
        self.done.append(
            Done(
                asked.name,
                asked.kind,
                head,
                first,
                outcome,
                status,
                body,
                sent_at,
                asyncio.get_running_loop().time(),
                manner.name,
                self.rested_s,
            )
        )


def _outcome(answer: Answer | None) -> Outcome:
    if answer is None:
        return Outcome.UNREAD
    if not answer.whole:
        return Outcome.CUT
    if answer.status == 200:
        return Outcome.WHOLE
    return Outcome.REFUSED if answer.status in (429, 503) else Outcome.FAILED
