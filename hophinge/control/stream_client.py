"""A head's side of the stream, with I/O: carries out the follower's actions and passes it events."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import grpc
import grpc.aio

from hophinge.control import last_known_good, wire
from hophinge.control.follower import Follower
from hophinge.control.follower_actions import (
    Action,
    ApplyTable,
    CloseStream,
    LogMessage,
    OpenStream,
    PersistVersion,
    SendRequest,
)
from hophinge.control.messages import (
    HEARTBEAT_NONCE,
    MAX_MESSAGE_BYTES,
    METHOD,
    SERVICE,
    DiscoveryRequest,
    DiscoveryResponse,
    MalformedMessageError,
    ResourceType,
)
from hophinge.routing.routing_table import RoutingTable
from hophinge.state.files import DISK, Disk, StateFileError, remove_leftovers

CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.enable_retries", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
)
MIN_SLEEP_S = 0.005
MAX_REASON_CHARS = 200
AIO: Any = grpc.aio  # its published stubs are incomplete


class StreamClient:
    """Stream client of one head, connected to one endpoint at a time.

    Args:
        follower: State machine that returns the actions to carry out.
        token: Bearer token of heads.
        path: File of the last known good version; None if it is not persisted.
        apply_table: Called with the routing table of each version that is activated.
        now_us: Monotonic clock, in microseconds.
        log: Called with log lines for operators.
        collect_metrics: Returns the metrics that the head reports with its requests.
        disk: System calls that write the file.

    """

    def __init__(
        self,
        follower: Follower,
        token: str,
        path: Path | None,
        apply_table: Callable[[RoutingTable], None],
        now_us: Callable[[], int],
        log: Callable[[str], None],
        collect_metrics: Callable[[], Mapping[str, float]] = dict,
        disk: Disk = DISK,
    ) -> None:
        self.follower = follower
        self.token = token
        self.path = path
        self.apply_table = apply_table
        self.now_us = now_us
        self.log = log
        self.collect_metrics = collect_metrics
        self.disk = disk
        self.stream_task: asyncio.Task[None] | None = None
        self.outgoing: asyncio.Queue[DiscoveryRequest] = asyncio.Queue()
        self.persist_task: asyncio.Task[None] | None = None
        self.pending_snapshot: last_known_good.LastKnownGood | None = None
        self.wakeup = asyncio.Event()
        self.bytes_received = 0
        self.bytes_sent = 0
        # Hooks for the other users of the stream: accounts, maintenance and leases.
        self.initial_requests: Callable[[], list[DiscoveryRequest]] = list
        self.on_account_response: Callable[[DiscoveryResponse], None] = lambda response: None
        self.on_maintenance_response: Callable[[DiscoveryResponse], None] = lambda response: None
        self.followup_requests: Callable[[bool], list[DiscoveryRequest]] = lambda is_heartbeat: []
        self.lease_request_metrics: Callable[[], dict[str, float]] = dict  # empty if no lease is requested
        self.on_lease: Callable[[bytes], None] = lambda json: None

    def restore(self) -> None:
        """Load the last known good version from its file; to be called before the head serves."""
        if self.path is None:
            return
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            remove_leftovers(self.path)
            good = last_known_good.load(self.path)
        except (StateFileError, OSError) as error:
            self.log(f"no last known good version: {error}")
            return
        if good is None:
            return
        self._perform(self.follower.restore(good.version, good.records))
        age_s = max(0.0, time.time() - good.saved_ms / 1000)
        if age_s * 1e6 > self.follower.stale_after_us:
            self.follower.is_stale = True
            self.log(f"version {self.follower.active_name} was written {age_s:.0f} s ago: it is stale and stays active")

    async def run(self) -> None:
        """Follow the control service until cancelled."""
        self.follower.metrics = self.collect_metrics()  # the first request has metrics too
        self._perform(self.follower.start(self.now_us()))
        while True:
            self.wakeup.clear()
            wait_s = max(MIN_SLEEP_S, (self.follower.next_tick_us - self.now_us()) / 1e6)
            try:
                async with asyncio.timeout(wait_s):
                    await self.wakeup.wait()
            except TimeoutError:
                self._perform(self.follower.tick(self.now_us()))

    async def close(self) -> None:
        """Close the stream, and wait for a pending write of the last known good version."""
        if self.stream_task is not None:
            self.stream_task.cancel()
            await asyncio.gather(self.stream_task, return_exceptions=True)
        if self.persist_task is not None:
            await asyncio.gather(self.persist_task, return_exceptions=True)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case OpenStream():
                    self._open_stream(action)
                case SendRequest():
                    self.outgoing.put_nowait(action.request)
                case CloseStream():
                    if self.stream_task is not None:
                        self.stream_task.cancel()
                        self.stream_task = None
                case ApplyTable():
                    self.apply_table(action.table)
                case PersistVersion():
                    self._schedule_persist(action)
                case LogMessage():
                    self.log(action.text)
        self.wakeup.set()

    # --- the stream

    def _open_stream(self, action: OpenStream) -> None:
        self.outgoing = asyncio.Queue()
        for request in (*action.requests, *self.initial_requests()):
            self.outgoing.put_nowait(request)
        self.stream_task = asyncio.create_task(self._run_stream(action.endpoint, self.outgoing))

    async def _run_stream(self, endpoint: str, outgoing: asyncio.Queue[DiscoveryRequest]) -> None:
        try:
            reason = await self._exchange_messages(endpoint, outgoing)
        except (grpc.RpcError, MalformedMessageError, asyncio.InvalidStateError, OSError) as error:
            reason = error.details() or str(error.code()) if isinstance(error, AIO.AioRpcError) else str(error)
        except Exception as error:  # a bug: the active version stays in use, and operators see the traceback
            self.log(traceback.format_exc())
            reason = repr(error)
        self.stream_task = None
        one_line = " ".join(reason.split())
        self._perform(self.follower.on_stream_closed(self.now_us(), one_line[:MAX_REASON_CHARS]))

    async def _exchange_messages(self, endpoint: str, outgoing: asyncio.Queue[DiscoveryRequest]) -> str:
        """Send and receive until the service ends the stream; returns its reason."""
        async with AIO.insecure_channel(endpoint, options=CHANNEL_OPTIONS) as channel:
            call = channel.stream_stream(f"/{SERVICE}/{METHOD}")(metadata=(("authorization", f"Bearer {self.token}"),))
            sending = asyncio.create_task(self._send_requests(call, outgoing))
            try:
                while (data := await call.read()) is not AIO.EOF:
                    self._on_message(data, outgoing)
            finally:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)
            return await call.details() or "the service ended the stream"

    async def _send_requests(self, call: Any, outgoing: asyncio.Queue[DiscoveryRequest]) -> None:
        while True:
            data = wire.encode_request(await outgoing.get())
            self.bytes_sent += len(data)
            await call.write(data)

    def _on_message(self, data: bytes, outgoing: asyncio.Queue[DiscoveryRequest]) -> None:
        self.bytes_received += len(data)
        self.follower.metrics = self.collect_metrics()
        response = wire.decode_response(data)
        self._dispatch(response)
        is_heartbeat = response.nonce == HEARTBEAT_NONCE
        # The service sends heartbeats periodically, so this head sends its lease requests at their pace.
        if is_heartbeat and (metrics := self.lease_request_metrics()):
            outgoing.put_nowait(DiscoveryRequest(ResourceType.LEASE, head=self.follower.head, metrics=metrics))
        for request in self.followup_requests(is_heartbeat):
            outgoing.put_nowait(request)

    def _dispatch(self, response: DiscoveryResponse) -> None:
        match response.resource_type:
            case ResourceType.ACCOUNT | ResourceType.USAGE:
                self.on_account_response(response)
            case ResourceType.MAINTENANCE:
                self.on_maintenance_response(response)
            case ResourceType.LEASE:
                if response.resources:
                    self.on_lease(wire.decode_record(response.resources[0].body))
            case _:
                self._perform(self.follower.on_response(self.now_us(), response))

    # --- persistence

    def _schedule_persist(self, action: PersistVersion) -> None:
        """Write the active version in the background; of versions activated meanwhile only the newest is written."""
        if self.path is None:
            return
        # Copied now, as the replica may hold another version's records by the time it is written.
        self.pending_snapshot = last_known_good.from_records(
            action.version, self.follower.stored_records, int(time.time() * 1000)
        )
        if self.persist_task is None or self.persist_task.done():
            self.persist_task = asyncio.create_task(self._persist(self.path))

    async def _persist(self, path: Path) -> None:
        while self.pending_snapshot is not None:
            good = self.pending_snapshot
            self.pending_snapshot = None
            try:
                await asyncio.to_thread(last_known_good.save, path, good, self.disk)
                error = ""
            except Exception as failure:  # of any type: operators must see that a restart would not restore the version
                error = getattr(failure, "strerror", None) or repr(failure)
            self._perform(self.follower.on_persisted(good.version_id, error))
