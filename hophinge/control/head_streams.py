"""Server side of the heads' streams: authentication, processing of requests, and writing of responses."""

from __future__ import annotations

import asyncio
import hmac
import re
from collections.abc import AsyncIterator, Callable, Collection
from typing import Any

import grpc

from hophinge.control import wire
from hophinge.control.account_wire import encode_account_chunk
from hophinge.control.clock import now_ms, now_us
from hophinge.control.connections import Connections, HeadStream
from hophinge.control.delta_cache import DeltaCache
from hophinge.control.maintenance_channel import MaintenanceChannel
from hophinge.control.messages import (
    HEARTBEAT_NONCE,
    DiscoveryRequest,
    DiscoveryResponse,
    MalformedMessageError,
    ResourceType,
    VersionId,
    parse_version_text,
    version_name,
)
from hophinge.control.publisher import Event, HeadSubscribed, VersionAcknowledged, VersionRejected
from hophinge.control.quota_shares import QuotaShares
from hophinge.control.rollout_runner import RolloutRunner
from hophinge.control.tokens import bearer_token
from hophinge.state.ledger import Ledger, LedgerError
from hophinge.state.rows import UsageKey
from hophinge.tenancy.account_replication import CHUNK_ROWS, AccountSender

HEARTBEAT_INTERVAL_S = 2.0  # after the last response to a head; shorter than the idle timeout of heads
MAX_STREAMS = 2000
HEAD_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:-]{0,127}", re.ASCII)
HEARTBEAT_FRAME = wire.encode_response(DiscoveryResponse(ResourceType.RECORD, HEARTBEAT_NONCE))


class HeadStreamHandler:
    """Serves all streams of one control service."""

    def __init__(
        self,
        head_tokens: Collection[str],
        connections: Connections,
        runner: RolloutRunner,
        shares: QuotaShares,
        maintenance: MaintenanceChannel,
        ledger: Ledger | None,
        log: Callable[[str], None],
    ) -> None:
        """Create a handler; `ledger` has the tenants' accounts, None if this service does not own them."""
        self.head_tokens = head_tokens
        self.connections = connections
        self.runner = runner
        self.rollout = runner.rollout
        self.store = runner.store
        self.shares = shares
        self.maintenance = maintenance
        self.ledger = ledger
        self.log = log
        self.deltas = DeltaCache()

    # `context` is a grpc.aio.ServicerContext, whose published type stubs are incomplete.
    async def serve(self, requests: AsyncIterator[bytes], context: Any) -> None:
        """Serve one head's stream until either side ends it."""
        token = bearer_token(context)
        if not any(hmac.compare_digest(token, head_token) for head_token in self.head_tokens):
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "the token is not a known head token")
        if len(self.connections) >= MAX_STREAMS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, f"the limit of {MAX_STREAMS} streams is reached")
        stream = HeadStream(self.deltas)
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
            self._on_stream_ended(stream)

    def _on_stream_ended(self, stream: HeadStream) -> None:
        name = stream.head
        if not name or self.connections.get(name) is not stream:
            return  # it never subscribed, or a newer stream of the head has replaced it
        del self.connections[name]
        self.rollout.on_head_disconnected(name, now_us())
        self.shares.allocator.demand.forget(name)
        self.maintenance.on_head_disconnected(name)

    async def _write(self, stream: HeadStream, context: Any) -> None:
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    frame = await stream.queue.get()
            except TimeoutError:
                frame = HEARTBEAT_FRAME
            if frame is None:
                return
            await context.write(frame)

    async def _read(self, stream: HeadStream, requests: AsyncIterator[bytes]) -> None:
        async for data in requests:
            self._on_request(stream, wire.decode_request(data))
        raise MalformedMessageError("the head ended its stream")

    # --- requests

    def _on_request(self, stream: HeadStream, request: DiscoveryRequest) -> None:
        match request.resource_type:
            case ResourceType.ACCOUNT:
                self._on_account_request(stream, request)
            case ResourceType.USAGE:
                self._on_usage_report(stream, request)
            case ResourceType.MAINTENANCE:
                self.maintenance.on_report(stream, request)
            case ResourceType.LEASE:
                stream.send(self.shares.lease_responses(stream.head, request.metrics))
            case _:
                self._on_config_request(stream, request)

    def _on_config_request(self, stream: HeadStream, request: DiscoveryRequest) -> None:
        is_first = request.subscribe and request.resource_type is ResourceType.RECORD
        if is_first and not HEAD_NAME.fullmatch(request.head):
            raise MalformedMessageError(f"{request.head!r} is not a valid head name")
        step = stream.publisher.on_request(request)
        for event in step.events:
            self._on_event(stream, event)
        name = stream.head
        if name in self.connections and request.metrics:
            requests, failed = (stream.publisher.metrics.get(metric, 0.0) for metric in ("taken", "failed"))
            self.rollout.on_request_counts(name, requests, failed, now_us())
        stream.send(step.frames)

    def _on_event(self, stream: HeadStream, event: Event) -> None:
        name = stream.head
        match event:
            case HeadSubscribed(running=running):
                self._on_subscribed(stream, running)
            case VersionAcknowledged(version_id=version_id):
                self.rollout.on_acknowledged(name, version_id, now_us())
            case VersionRejected(version_id=version_id, reason=reason):
                self.log(f"head {name} rejected version {version_name(version_id)}: {reason}")
                self.runner.carry_out(self.rollout.on_rejected(name, version_id, reason, now_us()))

    def _on_subscribed(self, stream: HeadStream, running: VersionId) -> None:
        name = stream.head
        now = now_us()
        previous = self.connections.get(name)
        if previous is not None:
            previous.close()  # only the newest stream of a head is served
        self.connections[name] = stream
        if name not in self.rollout.heads:
            self.log(f"head {name} is connected for the first time")
        self.store.record_head(name, now_ms())
        self.shares.on_head_count(name, int(stream.publisher.metrics.get("heads", 0)))
        self.rollout.on_head_connected(name, running, now)
        self.runner.carry_out(self.rollout.tick(now))
        stream.send([HEARTBEAT_FRAME])  # at once, so that a head without a target version learns that it is connected
        stream.send(stream.publisher.set_target(self.store.snapshots.get(self.rollout.target_for(name))))
        self.maintenance.on_head_connected(stream)

    # --- accounts

    def _on_account_request(self, stream: HeadStream, request: DiscoveryRequest) -> None:
        """Start or continue sending the accounts to a head."""
        ledger = self.ledger
        if ledger is None:
            return
        if request.subscribe:
            stream.account_sender = AccountSender(
                ledger.epoch,
                ledger.seq,
                ledger.tombstone_floor(),
                int(request.metrics.get("epoch", 0)),
                int(request.metrics.get("seq", 0)),
            )
            self._send_accounts(stream)
        elif stream.account_sender is not None and request.nonce.count(".") == 1:
            stream.account_sender.acknowledge(parse_version_text(request.nonce)[1])
            self._send_accounts(stream)

    def _send_accounts(self, stream: HeadStream) -> None:
        sender = stream.account_sender
        ledger = self.ledger
        if sender is not None and ledger is not None and sender.needs_chunk(ledger.seq, ledger.tombstone_floor()):
            rows = ledger.page(sender.seq, CHUNK_ROWS, sender.removed_after_seq)
            stream.send([encode_account_chunk(sender.next_chunk(rows, ledger.seq))])

    def on_accounts_changed(self) -> None:
        """Send the changes of the accounts to all heads that subscribed to them."""
        for stream in self.connections.values():
            self._send_accounts(stream)

    def _on_usage_report(self, stream: HeadStream, request: DiscoveryRequest) -> None:
        """Merge a head's usage totals, which are metrics named `file/tenant/volume/field`."""
        if self.ledger is None:
            return
        totals: dict[UsageKey, float] = {}
        reporter = ""
        for name, total in request.metrics.items():
            file, tenant, volume, field = name.split("/")
            totals[tenant, volume, field] = total
            reporter = f"{stream.head}/{file}"
        try:
            if totals:
                self.ledger.merge_usage_totals(reporter, totals)
        except LedgerError as error:
            self.log(f"a usage report could not be stored: {error}")  # the head repeats it on its next stream
            return
        stream.send([wire.encode_response(DiscoveryResponse(ResourceType.USAGE, request.nonce))])
