"""Prometheus remote write 1.0: metrics are pushed as a snappy-compressed protobuf.

Samples are taken at a fixed interval into a bounded queue and sent by a task of its own, so that a receiver that is
slow or down costs old samples, never a request.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import aiohttp
import cramjam
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

from hophinge.core.counters import Counters
from hophinge.core.request_metrics import RequestMetrics
from hophinge.telemetry.config import RemoteWriteConfig

INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 30.0
PREFIX = "hophinge_"
HEADERS = {
    "Content-Type": "application/x-protobuf",
    "Content-Encoding": "snappy",
    "X-Prometheus-Remote-Write-Version": "0.1.0",
    "User-Agent": "hophinge",
}
FIELD = descriptor_pb2.FieldDescriptorProto


class MessageField(NamedTuple):
    """A field of a protobuf message."""

    name: str
    number: int
    type: int
    is_repeated: bool = False
    message: str = ""  # name of its type, where that is a message


# The messages of the protocol.
MESSAGES: dict[str, list[MessageField]] = {
    "Label": [MessageField("name", 1, FIELD.TYPE_STRING), MessageField("value", 2, FIELD.TYPE_STRING)],
    "Sample": [MessageField("value", 1, FIELD.TYPE_DOUBLE), MessageField("timestamp", 2, FIELD.TYPE_INT64)],
    "TimeSeries": [
        MessageField("labels", 1, FIELD.TYPE_MESSAGE, True, "Label"),
        MessageField("samples", 2, FIELD.TYPE_MESSAGE, True, "Sample"),
    ],
    "WriteRequest": [MessageField("timeseries", 1, FIELD.TYPE_MESSAGE, True, "TimeSeries")],
}


def _write_request() -> Any:  # protobuf creates the class at run time, so it has no static type
    file = descriptor_pb2.FileDescriptorProto(name="hophinge/remote.proto", package="prometheus", syntax="proto3")
    for name, fields in MESSAGES.items():
        message = file.message_type.add(name=name)
        for field in fields:
            label = FIELD.LABEL_REPEATED if field.is_repeated else FIELD.LABEL_OPTIONAL
            message.field.add(
                name=field.name,
                number=field.number,
                type=field.type,
                label=label,
                type_name=f".prometheus.{field.message}" if field.message else None,
            )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName("prometheus.WriteRequest"))


WriteRequest = _write_request()


Series = tuple[str, tuple[tuple[str, str], ...]]  # a metric's name and its own labels


def collect_metrics(
    counters: Counters,
    gauges: Mapping[str, float],
    request_metrics: RequestMetrics | None = None,
    labelled_gauges: Mapping[Series, float] | None = None,
) -> dict[Series, float]:
    """Return all exported values by series: names of counters end in `_total`, names of gauges are as given.

    Args:
        counters: Counters without labels.
        gauges: Gauges without labels.
        request_metrics: Requests by class and outcome, if they are counted.
        labelled_gauges: Further values with labels.

    """
    values: dict[Series, float] = {(f"{PREFIX}{name}_total", ()): value for name, value in counters.counts.items()}
    values |= {(f"{PREFIX}{name}", ()): value for name, value in gauges.items()}
    if request_metrics is not None:
        values[f"{PREFIX}relayed_total", ()] = request_metrics.relayed
        values |= {
            (f"{PREFIX}operations_total", (("class", klass), ("outcome", outcome))): value
            for (klass, outcome), value in request_metrics.ended.items()
        }
    values |= {(f"{PREFIX}{name}", labels): value for (name, labels), value in (labelled_gauges or {}).items()}
    return values


def encode(values: Mapping[Series, float], labels: Mapping[str, str], at_ms: int) -> bytes:
    """Encode one sample of each series; labels are sorted by name, as the protocol requires."""
    request = WriteRequest()
    for (metric, own_labels), value in values.items():
        series = request.timeseries.add()
        for name, text in sorted({"__name__": metric, **labels, **dict(own_labels)}.items()):
            series.labels.add(name=name, value=text)
        series.samples.add(value=value, timestamp=at_ms)
    return bytes(cramjam.snappy.compress_raw(request.SerializeToString()))


class PostResult(NamedTuple):
    """Whether a batch has to be sent again, and the receiver's Retry-After in seconds."""

    must_retry: bool
    retry_after_s: float = 0.0


class RemoteWrite:
    """Takes samples of all metrics and pushes them to a receiver."""

    def __init__(
        self,
        config: RemoteWriteConfig,
        instance: str,
        counters: Counters,
        gauges: Callable[[], Mapping[str, float]],
        now_us: Callable[[], int],
        request_metrics: RequestMetrics | None = None,
        labelled_gauges: Callable[[], Mapping[Series, float]] = dict,
    ) -> None:
        self.labelled_gauges = labelled_gauges
        self.config = config
        self.counters = counters
        self.gauges = gauges
        self.now_us = now_us
        self.request_metrics = request_metrics
        self.labels = {"job": "hophinge", "instance": instance}
        self.queue: deque[bytes] = deque()
        self.has_samples = asyncio.Event()
        self.session = aiohttp.ClientSession(
            trust_env=False, cookie_jar=aiohttp.DummyCookieJar(), timeout=aiohttp.ClientTimeout(total=config.timeout_s)
        )

    def sample(self) -> None:
        """Queue a sample of all metrics; the oldest one of a full queue is dropped."""
        if len(self.queue) >= self.config.queue:
            self.queue.popleft()
            self.counters.add("remote_write_dropped")
        values = collect_metrics(self.counters, self.gauges(), self.request_metrics, self.labelled_gauges())
        self.queue.append(encode(values, self.labels, self.now_us() // 1000))
        self.has_samples.set()

    async def run(self) -> None:
        """Sample and send until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._sample_at_interval())
            group.create_task(self._send_queued())

    async def _sample_at_interval(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(self.config.interval_s)

    async def _send_queued(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            while not self.queue:
                self.has_samples.clear()
                await self.has_samples.wait()
            batch = self.queue[0]
            result = await self._post(batch)
            if result.must_retry:
                self.counters.add("remote_write_retries")
                await asyncio.sleep(max(backoff_s, min(result.retry_after_s, MAX_BACKOFF_S)))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            backoff_s = INITIAL_BACKOFF_S
            if self.queue and self.queue[0] is batch:  # it may have been dropped meanwhile
                self.queue.popleft()

    async def _post(self, batch: bytes) -> PostResult:
        """Send one batch."""
        try:
            async with self.session.post(
                self.config.url, data=batch, headers=HEADERS, allow_redirects=False
            ) as response:
                await response.content.read(4096)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return PostResult(must_retry=True)
        if response.status // 100 == 2:
            self.counters.add("remote_write_sent")
            return PostResult(must_retry=False)
        # The protocol: 5xx and 429 may be temporary and are retried; any other status is final.
        if response.status // 100 == 5 or response.status == 429:
            try:
                return PostResult(
                    must_retry=True, retry_after_s=max(0.0, float(response.headers.get("Retry-After", "0")))
                )
            except ValueError:
                return PostResult(must_retry=True)
        self.counters.add("remote_write_rejected")
        return PostResult(must_retry=False)

    async def close(self) -> None:
        """Close the connection."""
        await self.session.close()
