"""Heads' streams: who may open one, what each request on it leads to, what is written, and the end."""

from __future__ import annotations

import asyncio
import hmac
import re
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any

import grpc

from hophinge.control import wire
from hophinge.control.publisher import Acked, Parts, Publisher, Subscribed, TurnedDown, name_of
from hophinge.control.tokens import bearer
from hophinge.control.wire import Kind, Response
from hophinge.state.ledger import LedgerError
from hophinge.tenancy.account_replication import CHUNK_ROWS, AccountSender

if TYPE_CHECKING:
    from hophinge.control.service import ControlService

BEAT_S = 2.0  # an empty response to a head that got nothing else; heads take longer silence for an end
MAX_STREAMS = 2000
HEAD = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:-]{0,127}", re.ASCII)
BEAT = wire.encode_response(Response(Kind.RECORD, wire.BEAT))


class Stream:
    """One head's stream: what is to be written, in order."""

    def __init__(self, parts: Parts) -> None:
        self.publisher = Publisher(parts)
        self.feed: AccountSender | None = None  # of accounts, where its head asked for them
        self.speaks = False  # of permits; a head that has not said so is never told of them
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue()

    def send(self, frames: list[bytes]) -> None:
        """Queue responses; one version is on its way at a time, which bounds what is queued."""
        for frame in frames:
            self.queue.put_nowait(frame)


class Streams:
    """The streams of one control service."""

    def __init__(self, service: ControlService) -> None:
        self.service = service

    async def stream(self, requests: AsyncIterator[bytes], context: Any) -> None:
        """Serve one head's stream until it ends."""
        token = bearer(context)
        if not any(hmac.compare_digest(token, one) for one in self.service.head_tokens):
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "the token is not one of heads")
        if len(self.service.streams) >= MAX_STREAMS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, f"more than {MAX_STREAMS} heads")
        stream = Stream(self.service.parts)
        writing = asyncio.create_task(self._write(stream, context))
        reading = asyncio.create_task(self._read(stream, requests))
        try:
            await asyncio.wait((writing, reading), return_when=asyncio.FIRST_COMPLETED)
            if reading.done() and (error := reading.exception()) is not None:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        finally:
            for task in (writing, reading):
                task.cancel()
            await asyncio.gather(writing, reading, return_exceptions=True)
            name = stream.publisher.head
            if name and self.service.streams.get(name) is stream:
                del self.service.streams[name]
                self.service.rollout.gone(name, self.service.now_us())
                self.service.shares.allotment.demand.forget(name)
                self.service.upkeep.gone(name)

    async def _read(self, stream: Stream, requests: AsyncIterator[bytes]) -> None:
        async for data in requests:
            request = wire.decode_request(data)
            if request.kind in (Kind.ACCOUNT, Kind.USAGE):
                self._account(stream, request)
                continue
            if request.kind is Kind.MAINTENANCE:
                self.service.upkeep.heard(stream, request)
                continue
            if request.kind is Kind.LEASE:
                stream.send(self.service.shares.leased(stream.publisher.head, request.figures))
                continue
            if request.subscribe and request.kind is Kind.RECORD and not HEAD.fullmatch(request.head):
                raise wire.WireError(f"{request.head!r} is no name of a head")
            events, frames = stream.publisher.heard(request)
            for event in events:
                self._happened(stream, event)
            name = stream.publisher.head
            if name in self.service.streams and request.figures:
                taken, failed = (stream.publisher.figures.get(one, 0.0) for one in ("taken", "failed"))
                self.service.rollout.counted(name, taken, failed, self.service.now_us())
            stream.send(frames)
        raise wire.WireError("the head ended its stream")

    def _account(self, stream: Stream, request: wire.Request) -> None:
        """Take what a head says of its accounts: that it wants them, what it has, what they used."""
        ledger = self.service.ledger
        if ledger is None:
            return
        if request.kind is Kind.USAGE:
            totals = {}
            for place, total in request.figures.items():
                file, tenant, volume, field = place.split("/")
                totals[tenant, volume, field] = total
                reporter = f"{stream.publisher.head}/{file}"
            try:
                if totals:
                    ledger.merge_usage_totals(reporter, totals)
            except LedgerError as error:
                self.service.log(f"a report of usage is not stored: {error}")  # it comes again on the next stream
                return
            stream.send([wire.encode_response(Response(Kind.USAGE, request.nonce))])
        elif request.subscribe:
            figures = request.figures
            stream.feed = AccountSender(
                ledger.epoch,
                ledger.seq,
                ledger.tombstone_floor(),
                int(figures.get("epoch", 0)),
                int(figures.get("seq", 0)),
            )
            self.feed(stream)
        elif stream.feed is not None and request.nonce.count(".") == 1:
            stream.feed.acknowledge(wire.order_of(request.nonce)[1])
            self.feed(stream)

    def feed(self, stream: Stream) -> None:
        """Send a head what it lacks of the accounts."""
        feed, ledger = stream.feed, self.service.ledger
        if feed is not None and ledger is not None and feed.needs_chunk(ledger.seq, ledger.tombstone_floor()):
            rows = ledger.page(feed.seq, CHUNK_ROWS, feed.removed_after_seq)
            stream.send([wire.account_part(feed.next_chunk(rows, ledger.seq))])

    def _happened(self, stream: Stream, event: Subscribed | Acked | TurnedDown) -> None:
        name, now = stream.publisher.head, self.service.now_us()
        match event:
            case Subscribed(runs=runs):
                before = self.service.streams.get(name)
                if before is not None:
                    before.queue.put_nowait(None)  # a head has one stream: the newest
                self.service.streams[name] = stream
                if name not in self.service.rollout.heads:
                    self.service.log(f"{name} is new")
                self.service.store.saw(name, self.service.now_ms())
                self.service.shares.sized(name, int(stream.publisher.figures.get("heads", 0)))
                self.service.rollout.connected(name, runs, now)
                self.service._decided(self.service.rollout.tick(now))
                stream.send([BEAT])  # at once, so that a head without a version knows that it is heard
                stream.send(stream.publisher.aim(self.service.store.snapshots.get(self.service.rollout.aim(name))))
                self.service.upkeep.connected(stream)
            case Acked(order=order):
                self.service.rollout.acked(name, order, now)
            case TurnedDown(order=order, reason=reason):
                self.service.log(f"{name} turns {name_of(order)} down: {reason}")
                self.service._decided(self.service.rollout.turned_down(name, order, reason, now))

    async def _write(self, stream: Stream, context: Any) -> None:
        while True:
            try:
                async with asyncio.timeout(BEAT_S):
                    frame = await stream.queue.get()
            except TimeoutError:
                frame = BEAT
            if frame is None:
                return
            await context.write(frame)
