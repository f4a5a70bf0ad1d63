"""Calls of the object front on the core: each body on a brick is one request there, with class, units and plan."""

from __future__ import annotations

import asyncio
import math
import secrets
import zlib
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Iterable
from typing import Any, Protocol

from msgspec import structs

from hophinge.core import interface as api
from hophinge.core.exchange import Answer, Exchange, AnswerStream, Verdict, answer_callback
from hophinge.core.request_metrics import FAULTED, FULFILLED, THROTTLED
from hophinge.net.payload import MAX_SHORT_BODY, Payload, idempotency_header
from hophinge.objects.config import ObjectConfig
from hophinge.objects.records import Piece, Run, piece_id
from hophinge.objects.tenants import Volume

# An absent object is an answer: its node did the work.
OUTCOMES = {Verdict.SERVED: FULFILLED, Verdict.ABSENT: FULFILLED, Verdict.REFUSED: THROTTLED, Verdict.FAILED: FAULTED}
BEFOREHAND = "beforehand"  # the volume that fetches beforehand count on: no tenant's use, reserve or limit is touched
MIN_WAIT_US = 50_000  # before a piece that was refused without advice is asked for again


class RefusedError(Exception):
    """The core refused a request; it is harmless to come again."""

    def __init__(self, retry_after_us: int) -> None:
        super().__init__("refused")
        self.retry_after_us = retry_after_us


class CoreFailedError(Exception):
    """The core could not serve a request."""


class Budget:
    """The time that an object request's client gives it; None: each piece has its class's time alone."""

    def __init__(self, now_us: int, remaining_ms: int | None) -> None:
        self.until = None if remaining_ms is None else now_us + remaining_ms * 1000

    def left_us(self, now_us: int) -> int | None:
        """Tell what is left."""
        return None if self.until is None else max(0, self.until - now_us)


class Kept(Protocol):
    """Pieces kept at this head."""

    def get(self, volume: str, run: Run, at: int) -> bytes | None:
        """Tell a piece that is kept."""

    def put(self, volume: str, run: Run, at: int, body: bytes, beforehand: bool = False) -> bool:
        """Keep a piece that was read; tells whether it is kept."""


class Core:
    """Requests of the object front to the exchange; what is in flight is bounded over all of them."""

    def __init__(self, exchange: Exchange, config: ObjectConfig) -> None:
        self.exchange, self.config = exchange, config
        settings = exchange.settings
        classes = {klass.name: at for at, klass in enumerate(settings.classes)}
        self.plans = {plan.name: at for at, plan in enumerate(settings.plans)}
        for name in (config.read_class, config.write_class):
            if name not in classes:
                raise ValueError(f"the object front's class {name!r} is not among the settings' classes")
        if settings.shards < 1:
            raise ValueError("the settings state no number of shards")
        self.read_class, self.write_class = classes[config.read_class], classes[config.write_class]
        # Fetches beforehand: the plan and the class of least worth, of classes that read.
        reads = [
            at
            for at, klass in enumerate(settings.classes)
            if at == self.read_class
            or (at != self.write_class and klass.effect is api.Effect.SAFE and not klass.in_order and not klass.stream)
        ]
        self.least_class = min(reads, key=lambda at: settings.classes[at].value * settings.classes[at].late_value)
        self.least_plan = min(
            self.plans.values(),
            key=lambda at: (settings.plans[at].price, settings.plans[at].reserve, settings.plans[at].weight),
        )
        self.cache: Kept | None = None
        self.shards = settings.shards
        self.in_flight = asyncio.Semaphore(config.pieces_in_flight)
        self.used: Callable[[str, float], None] = lambda volume, units: None  # told of what was served

    def units(self, size: int) -> float:
        """Tell what a body counts: a brick's largest request is a full body."""
        most = self.exchange.settings.max_units
        return min(most, max(1.0, math.ceil(size / MAX_SHORT_BODY * most)))

    async def call(
        self,
        volume: Volume,
        key: str,
        shard: int,
        body: bytes | None,
        size: int,
        budget: Budget,
        beforehand: bool = False,
    ) -> Answer:
        """Run one request on the core; raise what is neither served nor absent.

        One `beforehand` is nobody's: it comes as the least worth, as if its client had waited past the aim already.
        """
        async with self.in_flight:
            settings, loop = self.exchange.settings, asyncio.get_running_loop()
            klass = self.least_class if beforehand else self.read_class if body is None else self.write_class
            method = "GET" if body is None else "PUT"
            left = budget.left_us(self.exchange.now_us())
            deadline = settings.classes[klass].deadline_us
            if left == 0:
                raise CoreFailedError
            if beforehand:
                aim = settings.classes[klass].target_latency_us
                left = min(deadline, max(aim + 1, deadline - aim))
            txn = secrets.token_hex(8)
            ask = api.Arrival(
                request=txn,
                units=self.units(size),
                volume=BEFOREHAND if beforehand else volume.id,
                klass=klass,
                shard=shard,
                gateways=settings.gateways,
                key=key,
                time_left_us=deadline if left is None else min(deadline, left),
                write=body is not None,
                plan=self.least_plan if beforehand else self.plans[volume.plan],
                is_background=beforehand,
            )
            target = f"/{settings.classes[klass].name}/{volume.id}/{key}"
            ticket = None if beforehand else self.exchange.metrics.open_request(settings.classes[klass].name)
            done: asyncio.Future[Answer] = loop.create_future()
            # A keyed class's repeats are dropped by this call's own id.
            keyed = settings.classes[klass].effect is api.Effect.KEYED
            payload = Payload(method, target, txn, body or b"", idempotency_header(txn.encode()) if keyed else b"")
            self.exchange.arrive(ask, payload, answer_callback(done))
            try:
                answer = await done
            except asyncio.CancelledError:
                self.exchange.depart(txn)
                if ticket is not None:
                    ticket.end(None)
                raise
        if ticket is not None:
            ticket.end(OUTCOMES[answer.verdict])
        if answer.stream is not None:
            answer = structs.replace(answer, body=await self._whole(answer.body, answer.stream), rest=None)
        if answer.verdict in (Verdict.SERVED, Verdict.ABSENT) and not beforehand:
            self.used(volume.id, ask.units)
        if answer.verdict is Verdict.REFUSED:
            raise RefusedError(answer.retry_after_us)
        if answer.verdict is Verdict.FAILED:
            raise CoreFailedError
        return answer

    async def _whole(self, body: bytes, rest: AnswerStream) -> bytes:
        """Read on in an answer whose length its brick did not say."""
        try:
            while len(body) <= MAX_SHORT_BODY and (chunk := await rest.read()):
                body += chunk
        except ConnectionError as error:
            raise CoreFailedError from error
        finally:
            rest.close()
        if len(body) > MAX_SHORT_BODY:
            raise CoreFailedError  # longer than any piece
        return body

    # --- runs of pieces

    async def write_run(self, volume: Volume, chunks: AsyncIterator[bytes], budget: Budget) -> Run:
        """Write a body as pieces, at most a window of them at once."""
        token = secrets.token_bytes(8)
        pieces: list[asyncio.Task[Piece]] = []
        window = asyncio.Semaphore(self.config.window)

        async def write(at: int, chunk: bytes) -> Piece:
            try:
                answer = await self.call(volume, piece_id(token, at), -1, chunk, len(chunk), budget)
                if answer.shard < 0 or answer.verdict is not Verdict.SERVED:
                    raise CoreFailedError
                return Piece(answer.shard, len(chunk), zlib.crc32(chunk))
            finally:
                window.release()

        try:
            async for chunk in chunks:
                await window.acquire()
                failed = next((task for task in pieces if task.done() and task.exception()), None)
                if failed is not None:
                    failed.result()
                pieces.append(asyncio.create_task(write(len(pieces), chunk)))
            return Run(token, list(await asyncio.gather(*pieces)))
        finally:
            await end(pieces)

    async def read_piece(self, volume: Volume, run: Run, at: int, budget: Budget, beforehand: bool = False) -> bytes:
        """Read one piece, from this head's own if it is kept, and check that it is what was written."""
        piece = run.pieces[at]
        if self.cache is not None and not beforehand and (kept := self.cache.get(volume.id, run, at)) is not None:
            return kept
        answer = await self.call(volume, piece_id(run.token, at), piece.shard, None, piece.size, budget, beforehand)
        if len(answer.body) != piece.size or zlib.crc32(answer.body) != piece.crc:
            raise CoreFailedError
        if self.cache is not None:
            self.cache.put(volume.id, run, at, answer.body, beforehand)
        return answer.body

    async def read_range(
        self, volume: Volume, runs: list[Run], first: int, last: int, budget: Budget
    ) -> AsyncGenerator[bytes, None]:
        """Read bytes first to last in order, a window of pieces ahead.

        Before the first byte a refusal is raised: it can still be answered. After it nothing but the end of the
        body can be told, so a refused piece is asked for again when the core says to come back.
        """
        wanted: list[tuple[Run, int, int]] = []  # the run, the piece's place and where it begins in the object
        begin = 0
        for run in runs:
            for at, piece in enumerate(run.pieces):
                if begin <= last and begin + piece.size > first:
                    wanted.append((run, at, begin))
                begin += piece.size
        patience = 2 * self.exchange.settings.classes[self.read_class].deadline_us

        async def read(place: int) -> bytes:
            run, at, _ = wanted[place]
            until = self.exchange.now_us() + patience
            while True:
                try:
                    return await self.read_piece(volume, run, at, budget)
                except RefusedError as refused:
                    now = self.exchange.now_us()
                    wait = max(refused.retry_after_us, MIN_WAIT_US)
                    left = budget.left_us(now)
                    if not place or now + wait > until or (left is not None and left <= wait):
                        raise
                    await asyncio.sleep(wait / 1e6)

        ahead: deque[asyncio.Task[bytes]] = deque()
        started = 0
        try:
            for _, _, begin in wanted:
                while started < len(wanted) and len(ahead) < self.config.window:
                    ahead.append(asyncio.create_task(read(started)))
                    started += 1
                body = await ahead[0]
                ahead.popleft()
                yield body[max(0, first - begin) : last + 1 - begin]
        finally:
            await end(ahead)


async def end(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """End what is still running; its requests depart from the core."""
    tasks = list(tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
