"""Prometheus remote write 1.0: counters as a snappy-compressed protobuf, pushed beside the serving.

Samples are taken at a steady pace into a bounded queue; sending has a task of its own, so that a receiver that is
slow or down costs old samples, never a request.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

import aiohttp
import cramjam
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

from hophinge.core.counters import Counters
from hophinge.core.request_metrics import RequestMetrics
from hophinge.telemetry.config import RemoteWriteConfig

FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 30.0
PREFIX = "hophinge_"
HEADERS = {
    "Content-Type": "application/x-protobuf",
    "Content-Encoding": "snappy",
    "X-Prometheus-Remote-Write-Version": "0.1.0",
    "User-Agent": "hophinge",
}
FIELD = descriptor_pb2.FieldDescriptorProto
# The published messages: their names, and their fields' names, numbers, types and whether they repeat.
MESSAGES: dict[str, list[tuple[str, int, int, bool, str]]] = {
    "Label": [("name", 1, FIELD.TYPE_STRING, False, ""), ("value", 2, FIELD.TYPE_STRING, False, "")],
    "Sample": [("value", 1, FIELD.TYPE_DOUBLE, False, ""), ("timestamp", 2, FIELD.TYPE_INT64, False, "")],
    "TimeSeries": [
        ("labels", 1, FIELD.TYPE_MESSAGE, True, "Label"),
        ("samples", 2, FIELD.TYPE_MESSAGE, True, "Sample"),
    ],
    "WriteRequest": [("timeseries", 1, FIELD.TYPE_MESSAGE, True, "TimeSeries")],
}


def _write_request() -> Any:
    file = descriptor_pb2.FileDescriptorProto(name="hophinge/remote.proto", package="prometheus", syntax="proto3")
    for name, fields in MESSAGES.items():
        message = file.message_type.add(name=name)
        for field, number, kind, repeated, of in fields:
            label = FIELD.LABEL_REPEATED if repeated else FIELD.LABEL_OPTIONAL
            message.field.add(
                name=field, number=number, type=kind, label=label, type_name=f".prometheus.{of}" if of else None
            )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName("prometheus.WriteRequest"))


WriteRequest = _write_request()


Series = tuple[str, tuple[tuple[str, str], ...]]  # a metric's name and its own labels


def metrics(
    counters: Counters,
    gauges: Mapping[str, float],
    figures: RequestMetrics | None = None,
    more: Mapping[Series, float] | None = None,
) -> dict[Series, float]:
    """Name all that is exported: counters end in _total, gauges stand as they are; `more` has labels of its own."""
    found: dict[Series, float] = {(f"{PREFIX}{name}_total", ()): value for name, value in counters.counts.items()}
    found |= {(f"{PREFIX}{name}", ()): value for name, value in gauges.items()}
    if figures is not None:
        found[f"{PREFIX}relayed_total", ()] = figures.relayed
        found |= {
            (f"{PREFIX}operations_total", (("class", klass), ("outcome", outcome))): value
            for (klass, outcome), value in figures.ended.items()
        }
    found |= {(f"{PREFIX}{name}", labels): value for (name, labels), value in (more or {}).items()}
    return found


def encode(values: Mapping[Series, float], labels: Mapping[str, str], at_ms: int) -> bytes:
    """Encode one sample of each metric; labels stand in the order of their names, as the protocol asks."""
    request = WriteRequest()
    for (metric, own), value in values.items():
        series = request.timeseries.add()
        for name, text in sorted({"__name__": metric, **labels, **dict(own)}.items()):
            series.labels.add(name=name, value=text)
        series.samples.add(value=value, timestamp=at_ms)
    return bytes(cramjam.snappy.compress_raw(request.SerializeToString()))


class RemoteWrite:
    """Takes samples and pushes them."""

    def __init__(
        self,
        config: RemoteWriteConfig,
        instance: str,
        counters: Counters,
        gauges: Callable[[], Mapping[str, float]],
        now_us: Callable[[], int],
        figures: RequestMetrics | None = None,
        more: Callable[[], Mapping[Series, float]] = dict,
    ) -> None:
        self.more = more
        self.config, self.counters, self.gauges, self.now_us = config, counters, gauges, now_us
        self.figures = figures
        self.labels = {"job": "hophinge", "instance": instance}
        self.queue: deque[bytes] = deque()
        self.news = asyncio.Event()
        self.session = aiohttp.ClientSession(
            trust_env=False, cookie_jar=aiohttp.DummyCookieJar(), timeout=aiohttp.ClientTimeout(total=config.timeout_s)
        )

    def sample(self) -> None:
        """Queue a sample of everything; when the queue is full the oldest goes."""
        if len(self.queue) >= self.config.queue:
            self.queue.popleft()
            self.counters.add("remote_write_dropped")
        values = metrics(self.counters, self.gauges(), self.figures, self.more())
        self.queue.append(encode(values, self.labels, self.now_us() // 1000))
        self.news.set()

    async def run(self) -> None:
        """Sample and send until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._pace())
            group.create_task(self._push())

    async def _pace(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(self.config.interval_s)

    async def _push(self) -> None:
        pause = FIRST_PAUSE_S
        while True:
            while not self.queue:
                self.news.clear()
                await self.news.wait()
            batch = self.queue[0]
            again, advice = await self._post(batch)
            if again:
                self.counters.add("remote_write_retries")
                await asyncio.sleep(max(pause, min(advice, LONGEST_PAUSE_S)))
                pause = min(2 * pause, LONGEST_PAUSE_S)
                continue
            pause = FIRST_PAUSE_S
            if self.queue and self.queue[0] is batch:  # it may have been dropped meanwhile
                self.queue.popleft()

    async def _post(self, batch: bytes) -> tuple[bool, float]:
        """Send one batch; tell whether to send it again, and what the receiver advised to wait."""
        try:
            async with self.session.post(
                self.config.url, data=batch, headers=HEADERS, allow_redirects=False
            ) as response:
                await response.content.read(4096)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return True, 0.0
        if response.status // 100 == 2:
            self.counters.add("remote_write_sent")
            return False, 0.0
        # The protocol: 5xx and 429 may pass, so they are tried again; anything else will not change.
        if response.status // 100 == 5 or response.status == 429:
            try:
                return True, max(0.0, float(response.headers.get("Retry-After", "0")))
            except ValueError:
                return True, 0.0
        self.counters.add("remote_write_rejected")
        return False, 0.0

    async def close(self) -> None:
        """Close the connection."""
        await self.session.close()
