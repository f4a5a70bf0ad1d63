"""Tests of the load tool: arrivals are reproducible, latencies count from scheduled times, and faults begin and end."""

from __future__ import annotations

import subprocess
import sys
import xml.etree.ElementTree as ElementTree
from pathlib import Path
from typing import Any

import pytest

from hophinge.load.backends import COLD_SHARE, COLD_US, Platform
from hophinge.load.durations import Durations
from hophinge.load.clients import LoadGenerator, LoadResult
from hophinge.load.plan import ClientClass, Fault, LoadPlan, Surge, arrivals, read_plan
from hophinge.load.report import earned_share_by_second, render_chart, render_table
from hophinge.net.discovery import Target
from tests.stand_in import run, setup, world
from tests.steady import run_steadily
from tests.test_service import ROOT

READS = ClientClass("reads", "record-read", "priority", 60.0, target_latency_us=400_000, value=2.0)
WRITES = ClientClass(
    "writes", "transfer-write", "priority", 30.0, write=True, remaining_us=1_200_000, target_latency_us=400_000
)


def test_arrivals_depend_only_on_the_plan_and_surges_raise_their_rate() -> None:
    plan = LoadPlan(5, 20_000_000, clients=(READS, WRITES))
    first = arrivals(plan)
    assert first == arrivals(plan) and first != arrivals(LoadPlan(6, 20_000_000, clients=(READS, WRITES)))
    assert [arrival.at_us for arrival in first] == sorted(arrival.at_us for arrival in first)
    assert abs(len(first) / 20 - 90) < 10
    surged = arrivals(
        LoadPlan(5, 20_000_000, clients=(READS, WRITES), surges=(Surge(5_000_000, 5_000_000, 5.0, ("reads",)),))
    )
    during_surge = [arrival for arrival in surged if 5_000_000 <= arrival.at_us < 10_000_000 and arrival.client == 0]
    assert 250 * 5 < len(during_surge) < 350 * 5
    assert abs(sum(arrival.client == 1 for arrival in surged) / 20 - 30) < 5
    scaled = plan.scaled_to(2.0)
    assert scaled.offered == pytest.approx(2 * scaled.capacity)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("(run)", "1:1: a plan must begin with (load 1)"),
        ("(load 1)", "needs a (client NAME ...)"),
        ("(load 1)(client a (rate 5))", "1:25: (rate ...): 5 has no unit"),
        (
            "(load 1)(client a (rate 5 requests/s))(fault odd (at 1 s) (for 1 s))",
            "unknown fault odd; known faults: fail, hang",
        ),
        (
            "(load 1)(client a (rate 5 requests/s))(surge (at 1 s) (for 1 s) (clients b))",
            "names the client b, which is not defined",
        ),
        ("(load 1)(client a (rate 15000 requests/s))(surge (at 1 s) (for 1 s) (times 5))", "at most 20000"),
        ("(load 1)(client a (rate 5 requests/s))(client a (rate 5 requests/s))", "the client a is defined twice"),
        ("(load 1)(client a (rate 5 requests/s) (more 3))", "has no part (more ...)"),
        ("(load 1)(odd)", "unknown form 'odd'"),
        ("(load 1)\n(client a", "the file ends within"),
    ],
)
def test_a_mistake_in_a_plan_is_reported_with_line_and_column(text: str, message: str) -> None:
    _, mistakes = read_plan(text.encode())
    assert any(message in mistake.located_in("x").removeprefix("x:") for mistake in mistakes), mistakes


def test_the_plans_of_the_repository_have_no_mistakes() -> None:
    for path in (ROOT / "benchmarks" / "plans").glob("*.sexp"):
        plan, mistakes = read_plan(path.read_bytes())
        assert not mistakes and plan.clients


async def run_plan(plan: LoadPlan, settings: dict[str, Any] | None = None) -> tuple[LoadResult, Platform, Any]:
    """Run a plan against a head in this process; returns the result, the backends, and the counters of the head."""
    async with world() as made:
        platform = Platform(plan)
        await platform.start()
        made.agent.targets = {
            name: Target(name, f"127.0.0.1:{backend.port}", "Ready", "hall-a", "std-1c", backend.shard)
            for backend in platform.backends
            for name in [f"load-{backend.shard}"]
        }
        head = await made.head(settings=settings or setup(Domain={**setup()["Domain"], "NShards": plan.backends}))
        begin_url = f"http://127.0.0.1:{platform.port}/begin"
        result = await LoadGenerator(plan, made.url(head).removeprefix("http://")).run(begin_url)
        counts = dict(head.counters.counts)
        platform.close()
        return result, platform, counts


def test_a_run_without_faults_and_its_table_and_chart(monkeypatch: pytest.MonkeyPatch) -> None:
    plan = LoadPlan(3, 2_000_000, 500_000, clients=(READS, WRITES))
    result, platform, counts = run_steadily(run_plan(plan), monkeypatch)
    for class_result in result.client_classes:
        assert class_result.requests == sum(
            arrival.at_us >= 500_000
            for arrival in arrivals(plan)
            if plan.clients[arrival.client] is class_result.client
        )
        assert (
            class_result.outcomes["aim"] >= 0.9 * class_result.requests
            and class_result.latencies.percentile_us(50) >= plan.work_us
        )
    assert sum(backend.served for backend in platform.backends) == counts["requests_served"] == len(arrivals(plan))
    table = render_table("a title", {"1": result})
    assert (
        table.startswith("# a title") and "| 1 | reads |" in table and f"| {result.offered_value_rate:.0f} |" in table
    )
    rows = [line for line in table.splitlines() if line.startswith("|")]
    assert len({line.count("|") for line in rows[:4]}) == 1  # the rows have as many columns as the header
    chart = ElementTree.fromstring(render_chart("c", {"earned": earned_share_by_second(result)}, "s", "worth"))
    assert chart.tag.endswith("svg") and "earned" in "".join(chart.itertext())


def test_latencies_count_from_scheduled_times_and_faults_end() -> None:
    hang = Fault("hang", 500_000, 600_000, 1.0)
    patient = ClientClass(
        "patient",
        "statement-export",
        "priority",
        40.0,
        remaining_us=3_000_000,
        target_latency_us=300_000,
        retries=3,
        retry_interval_us=50_000,
    )
    plan = LoadPlan(
        4,
        2_500_000,
        0,
        backends=2,
        clients=(patient,),
        faults=(hang, Fault("fail", 1_500_000, 300_000, 1.0), Fault("slow", 2_000_000, 200_000, 1.0, slowdown=4.0)),
    )
    result, platform, _ = run(run_plan(plan))
    class_result = result.client_classes[0]
    assert class_result.requests == len(arrivals(plan)) and class_result.outcomes["broken"] == 0
    assert (
        class_result.outcomes["late"]
        + class_result.outcomes["timed out"]
        + class_result.outcomes["failed"]
        + class_result.outcomes["refused"]
        > 5
    )
    assert sum(backend.failed for backend in platform.backends) > 0
    # A closed-loop client, which waits for a response before it sends again, would have started requests late.
    assert class_result.start_delays.percentile_us(50) < 100_000
    slices = {second: row["earned"] / row["due"] for second, row in result.slices.items()}
    assert slices[0] < 1.0 or slices[1] < 1.0


def test_a_backend_is_slow_after_a_restart_and_then_reaches_full_speed() -> None:
    plan = LoadPlan(backends=2, faults=(Fault("vanish", 1_000_000, 2_000_000, 0.5),))
    now = 0
    platform = Platform(plan)
    backend, other = platform.backends
    backend.now_us = other.now_us = lambda: now
    speeds = []
    for at in (0, 3_000_000, 3_000_000 + COLD_US // 2, 3_000_000 + COLD_US):
        now = at
        speeds.append(backend.speed())
        assert other.speed() == 1.0
    assert speeds == [1.0, COLD_SHARE, pytest.approx((1 + COLD_SHARE) / 2), 1.0]


def test_load_commands(tmp_path: Path) -> None:
    def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "hophinge", "load", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    plan = tmp_path / "p.sexp"
    plan.write_text(
        "(load 1)(run (for 2 s) (settle 500 ms) (work 5 ms))"
        "(client a (class record-read) (plan priority) (rate 40 requests/s))"
    )
    completed = run_command("run", str(plan), "--head", "192.0.2.1:80")
    assert completed.returncode == 2 and "not on loopback" in completed.stderr
    completed = run_command(
        "experiment",
        str(plan),
        "--config",
        "examples/config.json",
        "--times",
        "0.05",
        "--times",
        "0.1",
        "--out",
        str(tmp_path / "result"),
    )
    assert completed.returncode == 0, completed.stderr
    assert "| 0.1 | a |" in (tmp_path / "result.md").read_text()
    assert ElementTree.fromstring((tmp_path / "result.svg").read_bytes()).tag.endswith("svg")
    plan.write_text("(load 1)(odd)")
    completed = run_command("bricks", str(plan))
    assert completed.returncode == 2 and completed.stderr.startswith(f"{plan}:1:9: unknown form 'odd'")


def test_percentiles_are_recorded_durations_and_none_are_recorded_at_first() -> None:
    durations = Durations()
    assert durations.percentile_us(99) == 0
    for milliseconds in (4, 1, 3, 2):
        durations.record_s(milliseconds / 1000)
    durations.record_s(0.0)
    assert [durations.percentile_us(percent) for percent in (0, 20, 21, 60, 99, 100)] == [
        1,
        1,
        1_000,
        2_000,
        4_000,
        4_000,
    ]
