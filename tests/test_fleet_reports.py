"""Load reports of engines: a malformed report is ignored, does not affect others, and overloads no head."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, cast

import httpcore
import pytest
from pydantic import ValidationError

from hophinge.coordination.ownership import rendezvous
from hophinge.fleet.controlplane.report_collector import ReportCollector, parse_report
from hophinge.fleet.placement.hints import EngineReport, EngineReports
from hophinge.fleet.placement.queue import MAX_PHANTOM_JOBS, WorkQueue
from hophinge.fleet.registry.instance import READY, Instance
from hophinge.fleet.transport.bounded_stream import BoundedStream
from hophinge.fleet.transport.loop_turns import LoopTurns

REPORT = {"stage": "decode", "waiting": 1, "running": 12, "kv-used": 41_000, "kv-total": 90_000, "handles": 0}
ME = "me"
INVALID_COUNTS: tuple[object, ...] = (-1, 1_000_000, 1.5, None, "x", [], 10**400)
INVALID_BODIES = (
    *(b"", b"[]", b"{}", b"\xff", b"[" * 100_000),
    *(json.dumps({**REPORT, "waiting": value}).encode() for value in INVALID_COUNTS),
    *(json.dumps({**REPORT, "kv-used": number}).encode() for number in (float("inf"), float("nan"), 1e300, -1)),
)


def test_a_report_is_parsed() -> None:
    assert parse_report("i", json.dumps(REPORT).encode()) == EngineReport("i", 1, 12, 41_000, 90_000)


@pytest.mark.parametrize("body", INVALID_BODIES)
def test_a_malformed_report_is_invalid(body: bytes) -> None:
    with pytest.raises(ValidationError):
        parse_report("i", body)


@dataclass
class _SoftState:
    """A fake soft state with instances and published reports."""

    instances: dict[str, Instance]
    published: list[EngineReports] = field(default_factory=list)

    @property
    def registry(self) -> _SoftState:
        return self

    def publish_hints(self, reports: EngineReports) -> None:
        self.published.append(reports)


class _Pool:
    """A fake connection pool that returns a body or raises an exception, by address."""

    def __init__(self, results: dict[str, bytes | Exception]) -> None:
        self.results = results

    @asynccontextmanager
    async def stream(self, _method: str, url: str, **_more: Any) -> AsyncIterator[httpcore.Response]:
        result = self.results[url.split("/")[2]]
        if isinstance(result, Exception):
            raise result
        connection = BoundedStream(httpcore.AsyncNetworkStream(), LoopTurns())
        yield httpcore.Response(200, content=result, extensions={"network_stream": connection})


@pytest.mark.parametrize("result", [*INVALID_BODIES, RuntimeError("unforeseen"), httpcore.ReadTimeout("silent")])
def test_a_failed_report_does_not_lose_the_others(result: bytes | Exception) -> None:
    """Guards against a collection that loses all reports, and a member that ends after 20 failed ones."""

    async def play() -> list[EngineReports]:
        instances = {
            name: Instance(name, "s", f"10.0.0.{number}:80", "z", "v", 8, READY, "decode", ())
            for number, name in enumerate("abc")
        }
        soft_state = _SoftState(instances)
        collector = ReportCollector(cast(Any, soft_state), lambda: {ME}, ME)
        assert all(rendezvous(name, {ME}) == ME for name in instances)
        good = json.dumps(REPORT).encode()
        collector.pool = cast(Any, _Pool({"10.0.0.0:80": good, "10.0.0.1:80": result, "10.0.0.2:80": good}))
        await collector.collect_once()
        return soft_state.published

    (reports,) = asyncio.run(play())
    assert [report.instance for report in reports.reports] == ["a", "c"]


def test_a_reported_queue_length_is_bounded() -> None:
    """Guards against heads that are busy for minutes and serve nobody after one implausible number."""
    queue = WorkQueue()
    job = queue.add(0.0, 0, 1_000.0)
    queue.apply_queue_length(1.0, 10**12, 1_000.0)
    assert len(queue.queued) <= MAX_PHANTOM_JOBS
    assert queue.start_at_us(1.0, 9) >= (MAX_PHANTOM_JOBS - 1) * 1_000.0
    queue.apply_queue_length(2_000_000.0, 0, 1_000.0)
    queue.finish(2_000_000.0, job, 1_500_000.0)
    assert queue.start_at_us(2_000_001.0, 9) <= 2_002_000.0
