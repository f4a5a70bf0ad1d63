"""Scorers with a real exchange: results reach them, weights are published, failures to publish reach no request."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

import msgspec
import pytest

from hophinge.cluster.entry_store import EntryStore
from hophinge.cluster.interface import Entry, EntryVersion, Topic
from hophinge.cluster.messages import TOPICS
from hophinge.cluster.tuning import Limits
from hophinge.core.counters import Counters
from hophinge.core.errors import HophingeError
from hophinge.core.exchange import Answer, Attempt, AttemptResult, Exchange, Verdict
from hophinge.core.interface import ListKind, NodeList, Result
from hophinge.head.scoring import Scoring, usage
from hophinge.head.sections import ScoringConfig
from hophinge.scoring import encoding, sharing
from hophinge.scoring.engine import ScoringEngine
from hophinge.scoring.interface import Surroundings, View
from tests.scoring_fixtures import ASK, Clock, ScriptedScorer, observations
from tests.test_choice import MS, SETTINGS, T0, ask, node
from tests.test_exchange import Loop

CONFIG = ScoringConfig(["latency", "suspicion", "outlook"])


class FullError(HophingeError):
    code, remedy = "test-full", "Wait."


class InMemoryEntries:
    """Replicated entries in memory; `error` is raised instead of taking an entry."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.peer_entries: list[Entry] = []
        self.error: Exception | None = None

    def put(self, topic: Topic, key: str, value: bytes) -> None:
        assert topic is Topic.WEIGHTS
        if self.error is not None:
            raise self.error
        self.values[key] = value

    def delete(self, topic: Topic, key: str) -> None:
        self.values.pop(key, None)

    def entries(self, topic: Topic) -> Iterable[Entry]:
        if isinstance(self.error, OSError):
            raise self.error
        return self.peer_entries


def build_scoring() -> tuple[Loop, Exchange, Scoring, list[str]]:
    loop, log = Loop(), list[str]()
    exchange = Exchange(SETTINGS, 1, loop, Counters(), log.append)
    scoring = Scoring(CONFIG, exchange, log.append, Clock())
    exchange.nodes(NodeList(ListKind.FULL, tuple(node(at) for at in range(4))))
    loop.advance(0)
    return loop, exchange, scoring, log


def record_failures(scoring: Scoring, backend: str, count: int) -> None:
    for _ in range(count):
        scoring.record_attempt(backend, Result.ERROR, MS)


def test_a_request_avoids_a_backend_that_failed_and_its_result_is_observed() -> None:
    loop, exchange, scoring, _ = build_scoring()
    for backend in ("n0", "n1", "n3"):
        record_failures(scoring, backend, 3)
    attempted: list[str] = []

    def start(attempt: Attempt) -> Callable[[], None]:
        attempted.append(attempt.node)
        loop.now += 5 * MS
        attempt.end(AttemptResult(Result.OK, b"kept"))
        return lambda: None

    exchange.start = start
    answers: list[Answer] = []
    exchange.arrive(ask("r", shard=-1), None, answers.append)
    loop.advance(0)
    assert attempted == ["n2"] and [answer.verdict for answer in answers] == [Verdict.SERVED]
    sketch = scoring.engine.guard.find("latency").scorer.sketches["n2"]  # type: ignore[attr-defined]   # of Latency
    assert sketch.total == 1.0 and abs(sketch.quantile_us(0.5) - 5 * MS) < MS


def test_weights_are_published_and_rejected_entries_are_retried() -> None:
    _, _, scoring, log = build_scoring()
    entries = InMemoryEntries()
    scoring.share("me", entries)
    entries.error = FullError("no room")
    record_failures(scoring, "n0", 3)
    scoring.tick()
    scoring.tick()
    assert not entries.values and log == ["no room [test-full] Wait."]
    entries.error = None
    scoring.tick()
    key = encoding.entry_key("suspicion", encoding.chunk_of("n0"))
    assert encoding.decode(encoding.chunk_of("n0"), entries.values[key]) == ("suspicion-1", {"n0": 1.0})
    assert "outlook/0" not in entries.values
    entries.error = OSError("gone")
    scoring.tick()
    assert log[-1] == "scorers' tick failed: OSError: gone"


def test_entries_may_change_between_two_slices_of_a_tick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sharing, "SLICE_STEPS", 1)
    _, _, scoring, log = build_scoring()
    entries = InMemoryEntries()
    peer_store = EntryStore("peer", 1, Limits(), lambda what: None, lambda entry, gone: None, lambda owner: None)
    entries.entries = lambda topic: peer_store.entries(TOPICS.index(topic), iter(["peer"]))  # type: ignore[method-assign]
    values = encoding.encode("suspicion-1", 1, {f"n{at}": 1.0 for at in range(4)})[0]
    for chunk, value in values.items():
        peer_store.put(Topic.WEIGHTS, encoding.entry_key("suspicion", chunk), value)
    scoring.share("me", entries)
    for number, _ in enumerate(scoring.slices()):
        peer_store.put(Topic.WEIGHTS, f"latency/{number % 8}", b"?")
    assert number > len(values) > 1 and not log
    assert scoring.engine.shared["suspicion"].peers["peer"].weights == {f"n{at}": 1.0 for at in range(4)}


def test_a_head_that_does_not_share_publishes_and_reads_nothing() -> None:
    loop, log = Loop(), list[str]()
    config = ScoringConfig(["suspicion"], share=False)
    scoring = Scoring(config, Exchange(SETTINGS, 1, loop, Counters(), log.append), log.append, Clock())
    entries = InMemoryEntries()
    scoring.share("me", entries)
    record_failures(scoring, "n0", 3)
    scoring.tick()
    assert not entries.values and scoring.engine.reader is None


def test_status_and_gauges_show_exclusions_and_peers() -> None:
    _, _, scoring, _ = build_scoring()
    entries = InMemoryEntries()
    entries.peer_entries = [
        Entry("peer", Topic.WEIGHTS, "suspicion/0", EntryVersion(1, 1), encoding.encode("suspicion-1", 1, {})[0][0]),
        Entry("odd", Topic.WEIGHTS, "suspicion/0", EntryVersion(1, 1), b"?"),
    ]
    scoring.share("me", entries)
    scoring.tick()
    scorer = scoring.engine.guard.find("latency")
    for _ in range(5):
        scorer.exclusion.record_failure(T0, is_slow=True)
    status = msgspec.json.decode(scoring.status())
    assert status["scorers"]["latency"]["off_until_told"] and status["scorers"]["suspicion"]["at_work"]
    assert status["peers"]["suspicion"] == {"peer": {"trust": 0.5, "counts_for": 1.0, "bricks": 0}}
    assert status["entries_bad"] == {"odd": 1}
    assert scoring.gauges() == {"scorers_left_out": 1, "scorers_off": 1, "weights_bad_total": 1}
    scoring.resume()
    assert scoring.gauges()["scorers_left_out"] == 0


def use_cpu(view: View) -> list[float]:
    until = time.thread_time_ns() + 300_000
    while time.thread_time_ns() < until:
        pass
    return [0.0] * len(view)


def sleep(view: View) -> list[float]:
    time.sleep(0.001)
    return [0.0] * len(view)


@pytest.mark.parametrize("added_us", [use_cpu, sleep])
def test_a_scorer_that_computes_or_waits_too_long_is_excluded_as_slow(
    added_us: Callable[[View], object],
) -> None:
    log: list[str] = []
    slow = ScoringEngine(
        {"slow": ScriptedScorer(added_us)},
        {},
        1e6,
        200.0,
        time.perf_counter_ns,
        log.append,
        Surroundings(),
        usage=usage,
    )
    for _ in range(3):
        assert slow.added_us(T0, ASK, observations("a")) == {}
    assert slow.guard.scorers[0].counts["slow"] == 2 and log == ["scorer slow is excluded for 1 s: slow"]
