"""Remote write against a receiver that decodes what it gets, and the alert rules against what is exported."""

from __future__ import annotations

import asyncio
import re
import time
from pathlib import Path

import cramjam
import msgspec
import pytest
from aiohttp import web

from hophinge.core.counters import Counters
from hophinge.head.operator_config import OperatorConfig, StreamConfig
from hophinge.tenancy.usage import FIELDS
from hophinge.telemetry.config import RemoteWriteConfig
from hophinge.telemetry.remote_write import PREFIX, RemoteWrite, WriteRequest, collect_metrics
from tests.stand_in import Backend, Server, headers, run, until, world
from tests.test_net import READ


def varint(data: bytes, at: int) -> tuple[int, int]:
    value = shift = 0
    while True:
        byte = data[at]
        at += 1
        value |= (byte & 127) << shift
        shift += 7
        if byte < 128:
            return value, at


def fields(data: bytes) -> list[tuple[int, bytes]]:
    """Split a protobuf message by the format's own rules, apart from the code that wrote it."""
    found, at = [], 0
    while at < len(data):
        tag, at = varint(data, at)
        if tag & 7 == 0:
            start = at
            _, at = varint(data, at)
        elif tag & 7 == 1:
            start, at = at, at + 8
        else:
            assert tag & 7 == 2
            size, start = varint(data, at)
            at = start + size
        found.append((tag >> 3, data[start:at]))
    return found


class Receiver(Server):
    """A Prometheus-compatible receiver; `answers` come first, then 204."""

    def __init__(self) -> None:
        super().__init__()
        self.answers: list[int] = []
        self.got: list[bytes] = []
        self.headers: dict[str, str] = {}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.headers = dict(request.headers)
        self.got.append(await request.read())
        return web.Response(status=self.answers.pop(0) if self.answers else 204)

    def series(self, at: int = -1) -> dict[str, tuple[dict[str, str], float, int]]:
        found = {}
        for number, series in fields(bytes(cramjam.snappy.decompress_raw(self.got[at]))):
            assert number == 1
            labels, names = {}, []
            for part, body in fields(series):
                if part == 1:
                    pair = dict(fields(body))
                    names.append(pair[1].decode())
                    labels[names[-1]] = pair[2].decode()
                else:
                    sample = dict(fields(body))
            assert names == sorted(names)
            value = memoryview(sample.get(1, bytes(8))).cast("d")[0]
            found[labels.pop("__name__")] = (labels, value, varint(sample[2], 0)[0])
        return found


def test_metrics_are_sent_by_the_protocol_with_labels_and_time() -> None:
    async def main() -> None:
        receiver = Receiver()
        await receiver.open()
        async with world(Backend(0)) as made:
            config = RemoteWriteConfig(f"http://{receiver.endpoint}/api/v1/write", interval_s=0.05)
            service = await made.head(OperatorConfig(remote_write=config))
            wire = await made.wire(service)
            wire.send(READ, headers())
            await wire.receive()
            await until(lambda: bool(receiver.got) and receiver.series()["hophinge_requests_taken_total"][1] == 1)
            labels, value, at_ms = receiver.series()["hophinge_requests_absent_total"]
            assert value == 1 and labels == {"job": "hophinge", "instance": "127.0.0.1:0"}
            assert abs(at_ms / 1000 - time.time()) < 20
            assert receiver.series()["hophinge_bricks_ready"][1] == 1
            assert receiver.headers["Content-Encoding"] == "snappy"
            assert receiver.headers["Content-Type"] == "application/x-protobuf"
            assert receiver.headers["X-Prometheus-Remote-Write-Version"] == "0.1.0"
        await receiver.close()

    run(main())


@pytest.mark.parametrize(("status", "attempts"), [(500, 2), (503, 2), (429, 2), (400, 1), (404, 1)])
def test_temporary_errors_are_retried_and_final_ones_dropped(
    status: int, attempts: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("hophinge.telemetry.remote_write.INITIAL_BACKOFF_S", 0.01)

    async def main() -> None:
        receiver, counters = Receiver(), Counters()
        await receiver.open()
        receiver.answers = [status]
        push = RemoteWrite(RemoteWriteConfig(f"http://{receiver.endpoint}/"), "n", counters, dict, lambda: 1_000)
        push.sample()
        task = asyncio.create_task(push._send_queued())
        await until(lambda: len(receiver.got) == attempts and not push.queue)
        assert len(set(receiver.got)) == 1
        assert counters.counts["remote_write_sent"] == attempts - 1
        assert counters.counts["remote_write_rejected"] == 2 - attempts
        task.cancel()
        await push.close()
        await receiver.close()

    run(main())


def test_unreachable_receiver_costs_only_the_oldest_samples() -> None:
    async def main() -> None:
        counters = Counters()
        push = RemoteWrite(RemoteWriteConfig("http://127.0.0.1:9/", queue=3), "n", counters, dict, lambda: 1_000)
        task = asyncio.create_task(push._send_queued())
        for number in range(5):
            counters.counts["requests_taken"] = number
            push.sample()
        await until(lambda: counters.counts["remote_write_retries"] > 0)
        kept = [WriteRequest.FromString(bytes(cramjam.snappy.decompress_raw(one))) for one in push.queue]
        assert [one.timeseries[0].samples[0].value for one in kept] == [2, 3, 4]
        assert counters.counts["remote_write_dropped"] == 2
        task.cancel()
        await push.close()

    run(main())


def test_alert_rules_name_exported_metrics(tmp_path: Path) -> None:
    async def gauges() -> dict[str, float]:
        async with world() as made:
            (tmp_path / "token").write_text("a-token-of-heads-1")
            stream = StreamConfig(["127.0.0.1:9"], tmp_path / "token", tmp_path)
            return (await made.head(OperatorConfig(stream=stream))).gauges()

    exported = {
        name
        for name, _ in collect_metrics(
            Counters(), run(gauges()), None, {(f"tenant_{field}_total", (("tenant", "alba"),)): 0.0 for field in FIELDS}
        )
    }
    rules = msgspec.yaml.decode((Path(__file__).parent.parent / "deploy" / "alerts.yml").read_bytes())
    alerts = [rule for group in rules["groups"] for rule in group["rules"]]
    assert len({rule["alert"] for rule in alerts}) == len(alerts) >= 8
    for rule in alerts:
        named = set(re.findall(rf"\b{PREFIX}\w+", rule["expr"]))
        assert named and named <= exported, rule["alert"]
        assert rule["labels"]["severity"] in ("page", "warn") and rule["annotations"]["summary"]
