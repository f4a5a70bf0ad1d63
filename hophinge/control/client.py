"""The sockets of a head's side of the stream: carries `Follower`'s actions out and tells it what happens."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import grpc
import grpc.aio

from hophinge.control import lastgood, wire
from hophinge.control.follower import Action, Apply, Close, Connect, Follower, Keep, Log, Tell
from hophinge.routing.table import Table
from hophinge.state.files import DISK, Disk, StateFileError, remove_leftovers

OPTIONS = (
    ("grpc.max_receive_message_length", wire.MAX_MESSAGE),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.enable_retries", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
)
MIN_SLEEP_S = 0.005
AIO: Any = grpc.aio  # its published stubs lack a part of it


class Client:
    """One head's stream."""

    def __init__(
        self,
        follower: Follower,
        token: str,
        path: Path | None,
        apply: Callable[[Table], None],
        now_us: Callable[[], int],
        log: Callable[[str], None],
        figures: Callable[[], Mapping[str, float]] = dict,
        disk: Disk = DISK,
    ) -> None:
        self.follower, self.token, self.path, self.apply = follower, token, path, apply
        self.now_us, self.log, self.figures, self.disk = now_us, log, figures, disk
        self.stream: asyncio.Task[None] | None = None
        self.outgoing: asyncio.Queue[wire.Request] = asyncio.Queue()
        self.keeping: asyncio.Task[None] | None = None
        self.to_keep: lastgood.LastGood | None = None
        self.news = asyncio.Event()
        self.bytes_in = self.bytes_out = 0
        # Of the accounts: what a stream begins with, what came, and what is to be said after any response.
        self.greet: Callable[[], list[wire.Request]] = list
        self.take_other: Callable[[wire.Response], None] = lambda response: None
        self.take_word: Callable[[wire.Response], None] = lambda response: None  # on maintenance
        self.others: Callable[[bool], list[wire.Request]] = lambda beat: []
        self.ask_lease: Callable[[], dict[str, float]] = dict  # figures of an ask; none: no ask
        self.take_lease: Callable[[bytes], None] = lambda json: None

    def restore(self) -> None:
        """Take the last good version from its file, before a head serves."""
        if self.path is None:
            return
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            remove_leftovers(self.path)
            good = lastgood.load(self.path)
        except (StateFileError, OSError) as error:
            self.log(f"no last good version: {error}")
            return
        if good is not None:
            self._do(self.follower.restore(good.version, good.rows, self.now_us()))
            age_s = max(0.0, time.time() - good.kept_ms / 1000)
            if age_s * 1e6 > self.follower.stale_us:
                self.follower.stale_told = True
                self.log(f"version {self.follower.running} was kept {age_s:.0f} s ago: it is stale and goes on")

    async def run(self) -> None:
        """Follow until cancelled."""
        self.follower.figures = self.figures()  # the first request tells them too
        self._do(self.follower.start(self.now_us()))
        while True:
            self.news.clear()
            wait_s = max(MIN_SLEEP_S, (self.follower.due_us - self.now_us()) / 1e6)
            try:
                async with asyncio.timeout(wait_s):
                    await self.news.wait()
            except TimeoutError:
                self._do(self.follower.tick(self.now_us()))

    async def close(self) -> None:
        """End the stream; what is being kept is waited for."""
        if self.stream is not None:
            self.stream.cancel()
            await asyncio.gather(self.stream, return_exceptions=True)
        if self.keeping is not None:
            await asyncio.gather(self.keeping, return_exceptions=True)

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Connect():
                    self.outgoing = asyncio.Queue()
                    for request in (*action.requests, *self.greet()):
                        self.outgoing.put_nowait(request)
                    self.stream = asyncio.create_task(self._stream(action.endpoint, self.outgoing))
                case Tell():
                    self.outgoing.put_nowait(action.request)
                case Close():
                    if self.stream is not None:
                        self.stream.cancel()
                        self.stream = None
                case Apply():
                    self.apply(action.table)
                case Keep():
                    self._keep(action)
                case Log():
                    self.log(action.text)
        self.news.set()

    async def _stream(self, endpoint: str, outgoing: asyncio.Queue[wire.Request]) -> None:
        reason = "the service ended it"
        try:
            async with AIO.insecure_channel(endpoint, options=OPTIONS) as channel:
                call = channel.stream_stream(f"/{wire.SERVICE}/{wire.METHOD}")(
                    metadata=(("authorization", f"Bearer {self.token}"),)
                )
                writing = asyncio.create_task(self._write(call, outgoing))
                try:
                    while (data := await call.read()) is not AIO.EOF:
                        self.bytes_in += len(data)
                        self.follower.figures = self.figures()
                        response = wire.decode_response(data)
                        if response.kind in (wire.Kind.ACCOUNT, wire.Kind.USAGE):
                            self.take_other(response)
                        elif response.kind is wire.Kind.MAINTENANCE:
                            self.take_word(response)
                        elif response.kind is not wire.Kind.LEASE:
                            self._do(self.follower.received(self.now_us(), response))
                        elif response.resources:
                            self.take_lease(wire.record_json(response.resources[0].body))
                        # The service beats: each beat is a time to ask for shares, if this head has any to ask for.
                        if response.nonce == wire.BEAT and (asks := self.ask_lease()):
                            outgoing.put_nowait(wire.Request(wire.Kind.LEASE, head=self.follower.head, figures=asks))
                        for request in self.others(response.nonce == wire.BEAT):
                            outgoing.put_nowait(request)
                finally:
                    writing.cancel()
                    await asyncio.gather(writing, return_exceptions=True)
                reason = await call.details() or reason
        except asyncio.CancelledError:
            raise
        except (grpc.RpcError, wire.WireError, asyncio.InvalidStateError, OSError) as error:
            reason = error.details() or str(error.code()) if isinstance(error, AIO.AioRpcError) else str(error)
        except Exception as error:  # a fault of ours: what is in force goes on, and staff hear of it
            self.log(traceback.format_exc())
            reason = repr(error)
        self.stream = None
        self._do(self.follower.closed(self.now_us(), " ".join(reason.split())[:200]))

    async def _write(self, call: Any, outgoing: asyncio.Queue[wire.Request]) -> None:
        while True:
            data = wire.encode_request(await outgoing.get())
            self.bytes_out += len(data)
            await call.write(data)

    def _keep(self, action: Keep) -> None:
        """Have the version in force written beside the serving; of several that come meanwhile only the newest."""
        if self.path is None:
            return
        # Taken now: what is held may be another version's when the disk is ready.
        self.to_keep = lastgood.made(action.version, self.follower.held, int(time.time() * 1000))
        if self.keeping is None or self.keeping.done():
            self.keeping = asyncio.create_task(self._write_kept(self.path))

    async def _write_kept(self, path: Path) -> None:
        while self.to_keep is not None:
            good, self.to_keep = self.to_keep, None
            try:
                await asyncio.to_thread(lastgood.save, path, good, self.disk)
                error = ""
            except Exception as failed:  # whatever it is, staff must hear that a restart would not find it
                error = getattr(failed, "strerror", None) or repr(failed)
            self._do(self.follower.keep_done(good.order, error))


async def call(address: str, token: str, method: str, body: bytes, timeout_s: float = 10.0) -> bytes:
    """Make one call of staff; raises ConnectionError with what the service, or the way to it, said."""
    async with AIO.insecure_channel(address, options=OPTIONS) as channel:
        try:
            return bytes(
                await channel.unary_unary(f"/{wire.ADMIN}/{method}")(
                    body, metadata=(("authorization", f"Bearer {token}"),), timeout=timeout_s
                )
            )
        except AIO.AioRpcError as error:
            raise ConnectionError(f"{address}: {error.details() or error.code()}") from error
