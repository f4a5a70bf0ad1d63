"""Traces of requests, the losses of worth by reason, and the policy of a trial."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from hophinge.fleet.analysis.losses import LossKind, Loss, LossReason, losses
from hophinge.fleet.analysis.traces import LoggedRequest, read_requests
from hophinge.fleet.forwarding.request_metrics import RequestMetrics
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.plan import Forecast
from hophinge.fleet.placement.policy import PrefillOrder, PlacementPolicy
from hophinge.fleet.trial import TrialError, requested_policy

KINDS = [LossKind("long", 2.0, 0.5, True, 10_000.0), LossKind("short", 1.0, 0.25, True, 1_000.0)]
TARGET_S = 0.3


def _attempt(
    stage: str, sent_s: float, over_s: float, units: float, service_s: float, ending: str
) -> dict[str, object]:
    forecast = {"wait_us": 0.0, "spent_us": service_s * 1e6, "done_us": 0.0, "late": False}
    return {
        "stage": stage,
        "instance": "i-1",
        "sent_s": sent_s,
        "over_s": over_s,
        "units": units,
        "forecast": forecast,
        "ending": ending,
    }


def _log_entry(
    at: float,
    over: float,
    attempts: list[dict[str, object]],
    first: float | None,
    outcome: str = "ANSWERED",
    own: int = 3_000,
    key: str = "k",
) -> str:
    raw = {
        "route": "r",
        "arrived": 5.0,
        "aim_s": TARGET_S,
        "attempts": attempts,
        "first_s": first,
        "over_s": over,
        "ending": outcome,
        "zone": "z",
        "tokens-in": 7_000 + own,
        "tokens-out": 10,
        "parts": [[key, 7_000], [f"own-{at}", own]],
    }
    return f"   {at + over:.4f} edge-z-1 20:01:40.083 INFO request {json.dumps(raw)}\n"


def _prefill_then_decode(at: float, read_s: float, units: float, spent: float, first: float, key: str = "k") -> str:
    attempts = [
        _attempt("prefill", 0.0, read_s, units, spent, "READ"),
        _attempt("decode", read_s, first + 0.1, 64, 0.01, "ANSWERED"),
    ]
    return _log_entry(at, first + 0.1, attempts, first, key=key)


def _losses_of(*lines: str) -> list[Loss]:
    return losses(read_requests(lines), KINDS)


def test_other_log_entries_are_skipped_and_requests_are_in_the_order_of_arrival() -> None:
    requests = read_requests(
        [
            "  1.0 edge-z-1 20:01:40.083 INFO ending\n",
            _prefill_then_decode(2.0, 0.1, 10, 0.05, 0.2),
            _prefill_then_decode(1.0, 0.1, 10, 0.05, 0.2),
        ]
    )
    assert [round(one.arrived_at, 3) for one in requests] == [1.0, 2.0]
    assert requests[0].shared_segments == (("k", 7_000),)


def test_requests_in_time_lose_nothing_and_late_ones_the_rest_of_their_worth() -> None:
    [early, late] = _losses_of(
        _prefill_then_decode(1.0, 0.1, 3_000, 0.05, 0.2), _prefill_then_decode(2.0, 0.6, 3_000, 0.05, 0.7)
    )
    assert (early.kind, early.reason, early.lost) == ("long", LossReason.NONE, 0.0)
    assert late.reason is LossReason.QUEUE
    assert [late.offered, late.lost] == pytest.approx([2.0, 1.5])


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        ((_prefill_then_decode(1.0, 0.5, 10_000, 0.45, 0.55),), LossReason.CACHE_MISS),
        (
            (_prefill_then_decode(0.1, 0.2, 10_000, 0.2, 0.25), _prefill_then_decode(1.0, 0.5, 10_000, 0.45, 0.55)),
            LossReason.REREAD,
        ),
        (
            (_prefill_then_decode(0.9, 0.3, 10_000, 0.25, 0.29), _prefill_then_decode(1.0, 0.5, 10_000, 0.45, 0.55)),
            LossReason.CONCURRENT_REREAD,
        ),
        ((_prefill_then_decode(1.0, 0.5, 3_000, 0.45, 0.55),), LossReason.OWN_TOKENS),
        ((_prefill_then_decode(1.0, 0.1, 3_000, 0.05, 0.9),), LossReason.DECODE),
        ((_log_entry(1.0, 0.01, [], None, "refused 503"),), LossReason.NO_INSTANCE),
        (
            (_log_entry(1.0, 0.2, [_attempt("prefill", 0.0, 0.2, 10, 0.1, "REFUSED")], None, "refused 503"),),
            LossReason.REJECTED,
        ),
        (
            (_log_entry(1.0, 2.0, [_attempt("prefill", 0.0, 2.0, 10, 0.1, "UNKNOWN")], None, "client left"),),
            LossReason.CLIENT_LEFT,
        ),
        (
            (_log_entry(1.0, 2.0, [_attempt("decode", 0.0, 2.0, 10, 0.1, "BROKEN")], 0.1, "broken off"),),
            LossReason.FAULT,
        ),
        (
            (
                _log_entry(
                    1.0,
                    0.9,
                    [
                        _attempt("prefill", 0.0, 0.5, 10, 0.1, "UNSENT"),
                        _attempt("decode", 0.5, 0.9, 10, 0.1, "ANSWERED"),
                    ],
                    0.8,
                ),
            ),
            LossReason.FAULT,
        ),
    ],
)
def test_the_longest_duration_of_a_late_request_is_its_reason(lines: tuple[str, ...], reason: LossReason) -> None:
    assert _losses_of(*lines)[-1].reason is reason


def test_the_largest_tenth_and_the_fifth_below_are_distinguished() -> None:
    rows = _losses_of(
        *(_log_entry(float(own), 0.2, [], None, "refused 503", own=own) for own in range(100, 2_100, 100))
    )
    assert [sum(row.size == size for row in rows) for size in ("largest tenth", "fifth beneath", "rest")] == [2, 4, 14]
    assert rows[-1].offered > rows[0].offered


def test_a_trace_records_the_first_event_and_the_end_of_each_attempt() -> None:
    trace = RequestTrace("r", 10.0, TARGET_S)
    trace.record_attempt(10.01, "prefill", "i-1", 500.0, Forecast(1.0, 2.0, 3.0, False))
    trace.complete_attempt(10.2, "READ")
    for moment in (10.3, 10.5):
        trace.record_first_event(moment)
    trace.complete(10.6, "ANSWERED")
    assert trace.attempts[0].over_s == pytest.approx(0.2)
    assert trace.first_s == pytest.approx(0.3)
    assert trace.over_s == pytest.approx(0.6)


def test_a_trial_is_asked_for_by_the_command_line_and_a_deployment_asks_for_none(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "trial-policy.json"
    path.write_text('{"order": "arrival", "group_size": 5}')
    monkeypatch.chdir(tmp_path)
    assert requested_policy([]) == PlacementPolicy(), "a file in the working directory is not asked for"
    trial = ["--trial", str(path)]
    assert requested_policy(trial) == PlacementPolicy(order=PrefillOrder.ARRIVAL, group_size=5)
    for text in ('{"order": "best"}', '{"no-such-mechanism": 1}', '{"group_size": "many"}', "{", "[]"):
        path.write_text(text)
        with pytest.raises(TrialError, match=path.name):
            requested_policy(trial)


@pytest.mark.parametrize("arguments", [["--trial"], ["--trial", "a", "b"], ["a"], ["--other", "a"]])
def test_other_words_on_the_command_line_are_rejected(arguments: list[str]) -> None:
    with pytest.raises(TrialError, match="unknown arguments"):
        requested_policy(arguments)


def test_a_trial_of_another_user_or_without_a_file_is_rejected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "trial-policy.json"
    with pytest.raises(TrialError, match="No such file"):
        requested_policy(["--trial", str(path)])
    path.write_text("{}")
    monkeypatch.setattr(os, "geteuid", lambda: path.stat().st_uid + 1)
    with pytest.raises(TrialError, match="another user"):
        requested_policy(["--trial", str(path)])


def test_requests_without_prompts_are_parsed() -> None:
    raw = {
        "route": "r",
        "arrived": 0.0,
        "aim_s": 1.0,
        "attempts": [],
        "first_s": 0.1,
        "over_s": 0.1,
        "ending": "ANSWERED",
        "zone": "z",
    }
    [request] = read_requests([f" 1.5 n 20:00 INFO request {json.dumps(raw)}"])
    assert isinstance(request, LoggedRequest)
    assert (request.tokens_in, request.segments, request.shared_segments) == (0, (), ())


def test_metrics_count_outcomes_reasons_of_rejection_and_errors_of_forecasts() -> None:
    metrics = RequestMetrics()
    for first_s, took_s in ((0.2, 0.15), (0.4, 0.35)):
        trace = RequestTrace("r", 0.0, TARGET_S)
        trace.record_attempt(0.0, "prefill", "i-1", 500.0, Forecast(50_000.0, 50_000.0, 130_000.0, False))
        trace.complete_attempt(took_s, "READ")
        trace.record_first_event(first_s)
        trace.complete(0.5, "ANSWERED")
        metrics.record(trace)
    metrics.record(RequestTrace("r", 0.0, TARGET_S, ending="refused 503", refusal="hopeless"))
    for surplus in (0, 2, 1):
        metrics.record_surplus(surplus)
    assert metrics.snapshot() == {
        "endings": {"in time": 1, "late": 1, "refused 503": 1},
        "refusals": {"hopeless": 1},
        "surplus-responses": 3,
        "reads": 2,
        "reads-over-100-ms-late": 1,
        "read-forecast-ms": 100.0,
        "read-actual-ms": 250.0,
    }
