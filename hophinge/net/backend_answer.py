"""Reads a backend's answer: its body, complete or in chunks, and the metrics in its headers."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

import aiohttp
from aiohttp import StreamReader
from aiohttp.http_exceptions import HttpProcessingError
from multidict import CIMultiDictProxy

from hophinge.core.counters import Counters
from hophinge.core.exchange import AttemptResult
from hophinge.core.interface import Result
from hophinge.net.backend_connection import BackendConnection, BackendProtocolError
from hophinge.net.payload import MAX_BUFFERED_ANSWER, MAX_LONG_BODY

BUFFER_TIMEOUT_S = 0.02  # time for which an answer of unknown length is buffered before it is forwarded
MAX_METRIC = 1e9  # largest plausible value of a usage, unit or load metric; larger ones are ignored


@dataclass(slots=True)
class BackendAnswer:
    """A backend's answer: complete, or its first bytes with a reader for the remainder."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes
    rest: AnswerRemainder | None = None


class AnswerRemainder:
    """The remainder of a long answer. It is read once; the result of that decides whether the connection is reused."""

    def __init__(self, protocol: BackendConnection, stream: StreamReader, bytes_read: int, length: int | None) -> None:
        self.protocol = protocol
        self.stream = stream
        self.bytes_read = bytes_read
        self.length = length
        self.done: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        protocol.allow_slow_stream()

    async def read(self) -> bytes:
        """Return the next chunk, empty at the end; raises ConnectionResetError if the answer is truncated."""
        try:
            chunk = await self.stream.readany()
            self.protocol.update_flow_control()
            self.bytes_read += len(chunk)
            if self.bytes_read > MAX_LONG_BODY:
                raise BackendProtocolError("the answer body is too long")  # chunked, without an end
        except (aiohttp.ClientError, HttpProcessingError, OSError) as error:
            self.end(Result.RESET)
            raise ConnectionResetError("the backend's answer was truncated") from error
        if not chunk:
            self.end(Result.OK)
        return chunk

    def close(self) -> None:
        """Stop reading."""
        self.end(Result.CANCELLED)

    def end(self, result: Result) -> None:
        """Record the result, once; unless it is OK, a reader that is still waiting gets an error."""
        if not self.done.done():
            self.done.set_result(result)
            if result is not Result.OK:
                self.stream.set_exception(BackendProtocolError("reading of the answer was stopped"))


async def read_body_start(stream: StreamReader, protocol: BackendConnection, length: int | None) -> tuple[bytes, bool]:
    """Read a body up to the buffering limits; returns the bytes and whether they are the complete body.

    A backend may take seconds to send a long body, while the client waits for its first bytes. A body of unknown
    length that is still arriving after `BUFFER_TIMEOUT_S` is taken as sound: a broken one stalls or ends before that.
    """
    loop = asyncio.get_running_loop()
    body, started_at = b"", loop.time()
    buffer_s = BUFFER_TIMEOUT_S if length is None else math.inf if length <= MAX_BUFFERED_ANSWER else 0.0
    while True:
        chunk = await stream.readany()
        protocol.update_flow_control()
        if not chunk:
            return body, True
        body += chunk
        if len(body) > MAX_BUFFERED_ANSWER or loop.time() - started_at >= buffer_s:
            return body, stream.at_eof()


def _parse_metric(text: str | None) -> float | None:
    """Parse a non-negative metric; None if it is malformed or out of range, which leaves the answer itself valid."""
    try:
        value = float(text) if text and len(text) < 32 else math.nan
    except ValueError:
        return None
    return value if 0.0 <= value <= MAX_METRIC else None  # excludes inf and nan, which float() accepts


def parse_load_report(text: str | None) -> dict[str, float]:
    """Parse a load report such as `TEXT inflight=7, queue=2`; malformed items are skipped."""
    kind, _, rest = (text or "").strip().partition(" ")
    metrics: dict[str, float] = {}
    for item in rest.split(",") if kind == "TEXT" else ():
        name, _, value = item.strip().partition("=")
        metric = _parse_metric(value)
        if metric is not None:
            metrics[name] = metric
    return metrics


def attempt_outcome(
    answer: BackendAnswer, has_load_report: bool, counters: Counters, names_shard: bool = False
) -> AttemptResult:
    """Return the outcome of the attempt that got an answer.

    Args:
        answer: the backend's answer.
        has_load_report: whether answers carry a load report.
        counters: counts answers with an unexpected status.
        names_shard: whether the request named the shard of its data.

    """
    status, headers = answer.status, answer.headers
    result = Result.ERROR
    if status in (200, 404):
        result = Result.OK  # 404: the backend holds no such object
    elif status in (503, 504) and headers.get("X-Turned-Away") == "1":
        # 503: the backend has no capacity. 504: it still accepts other requests, but this one has expired or its data
        # lies elsewhere, so that no other attempt at the shard named in the request would succeed.
        result = Result.MISPLACED if status == 504 and names_shard else Result.FULL
    elif status != 500:
        counters.add("bricks_answered_oddly")
    used = _parse_metric(headers.get("X-Iops-Used"))
    return AttemptResult(
        result,
        answer.body if status == 200 else b"",
        0 if used is None else 1 + int(used),
        _parse_metric(headers.get("X-Rho")) or 0.0,
        parse_load_report(headers.get("X-Pressure")) if has_load_report else {},
        absent=status == 404,
    )
