"""The exchange against a model: one answer per request and one end per attempt, for events in any order."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hophinge.core import interface as api
from hophinge.core.counters import Counters
from hophinge.core.exchange import Answer, Attempt, AttemptResult, Exchange, Verdict
from tests.test_choice import MS, SETTINGS, T0, ask, node

GRACE = SETTINGS.rules.answer_grace_us


class Timer:
    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class Loop:
    """An event loop whose time the test advances."""

    def __init__(self) -> None:
        self.now, self.order = T0, itertools.count()
        self.timers: list[tuple[int, int, Timer]] = []

    def now_us(self) -> int:
        return self.now

    def call_at(self, when_us: int, callback: Callable[[], None]) -> Timer:
        timer = Timer(callback)
        heapq.heappush(self.timers, (max(when_us, self.now), next(self.order), timer))
        return timer

    def call_soon(self, callback: Callable[[], None]) -> None:
        self.call_at(self.now, callback)

    def advance(self, span: int) -> None:
        until = self.now + span
        while self.timers and self.timers[0][0] <= until:
            self.now, _, timer = heapq.heappop(self.timers)
            if timer.callback is not None:
                timer.callback()
        self.now = until

    def stall(self, span: int) -> None:
        """Run all timers that became due in one iteration, as an event loop does that stood still."""
        self.now += span
        due: list[Timer] = []
        while self.timers and self.timers[0][0] <= self.now:
            due.append(heapq.heappop(self.timers)[2])
        for timer in due:
            if timer.callback is not None:
                timer.callback()
        self.advance(0)


class Desk:
    """An exchange with its effects in lists: answers by request, started attempts, and stopped attempts."""

    def __init__(self) -> None:
        self.loop, self.lines = Loop(), list[str]()
        self.exchange = Exchange(SETTINGS, 7, self.loop, Counters(), self.lines.append)
        self.exchange.start = self.start
        self.answers: dict[str, list[Answer]] = {}
        self.out: list[Attempt] = []  # all that were started
        self.stopped: list[Attempt] = []
        self.exchange.nodes(api.NodeList(api.ListKind.SAVED, (node(0), node(1))))
        self.loop.advance(0)

    def start(self, attempt: Attempt) -> Callable[[], None]:
        assert attempt.may_send(), "sent for an answered request, or to a draining node"
        self.out.append(attempt)
        return lambda: self.stopped.append(attempt)

    def arrive(self, name: str, shard: int = 0, left: int = 2000 * MS) -> None:
        self.answers[name] = []
        self.exchange.arrive(ask(name, shard=shard, time_left=left), "payload", self.answers[name].append)

    @property
    def counts(self) -> dict[str, int]:
        return self.exchange.counters.counts


class Model(RuleBasedStateMachine):
    """Random steps; the model knows which clients disconnected, and until when each answer is due."""

    def __init__(self) -> None:
        super().__init__()
        self.desk = Desk()
        self.due: dict[str, int] = {}
        self.departed: set[str] = set()

    @rule(shard=st.integers(-1, 1), left=st.sampled_from([0, 30, 500, 2000]))
    def arrive(self, shard: int, left: int) -> None:
        name = f"{len(self.due):016x}"
        self.due[name] = self.desk.loop.now + left * MS + GRACE
        self.desk.arrive(name, shard, left * MS)

    @precondition(lambda self: self.due)
    @rule(data=st.data())
    def depart(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.due)))
        if not self.desk.answers[name]:
            self.departed.add(name)
        self.desk.exchange.depart(name)

    @precondition(lambda self: self.desk.out)
    @rule(data=st.data(), result=st.sampled_from([result for result in api.Result if result is not api.Result.MOOT]))
    def end(self, data: st.DataObject, result: api.Result) -> None:
        attempt = data.draw(st.sampled_from(self.desk.out))
        attempt.end(AttemptResult(result, b"body"))
        attempt.end(AttemptResult(api.Result.OK, b"second"))  # ignored: an attempt ends once

    @rule(phase=st.sampled_from(list(api.Phase)), kind=st.sampled_from([api.ListKind.CHANGES, api.ListKind.FULL]))
    def nodes(self, phase: api.Phase, kind: api.ListKind) -> None:
        self.desk.exchange.nodes(api.NodeList(kind, (node(0, phase),)))

    @rule(span=st.sampled_from([0, 1, 20, 300, 2500]))
    def wait(self, span: int) -> None:
        self.desk.loop.advance(span * MS)

    @invariant()
    def one_answer_in_time(self) -> None:
        for name, answers in self.desk.answers.items():
            late = self.due[name] < self.desk.loop.now
            assert len(answers) == (0 if name in self.departed else 1 if late else len(answers[:1]))
            assert all(answer.body != b"second" for answer in answers)

    def teardown(self) -> None:
        self.desk.loop.advance(10_000 * MS)
        self.one_answer_in_time()
        counts = self.desk.counts
        assert not self.desk.exchange.open and not self.desk.exchange.unanswered
        assert not any("Traceback" in line for line in self.desk.lines)
        assert counts["attempts_sent"] == len(self.desk.out)
        moot = counts["attempts_moot"]  # attempts that were never sent end too
        assert sum(counts[f"attempts_{result.value}"] for result in api.Result) == len(self.desk.out) + moot
        ends = ("served", "refused", "failed", "departed")
        assert sum(counts[f"requests_{end}"] for end in ends) == len(self.due)


Model.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestModel = Model.TestCase


def test_an_attempt_times_out_at_the_deadline_and_its_request_is_answered() -> None:
    desk = Desk()
    desk.arrive("a", left=500 * MS)
    desk.loop.advance(499 * MS)
    assert not desk.answers["a"] and not desk.stopped
    desk.loop.advance(2 * MS)
    assert [answer.verdict for answer in desk.answers["a"]] == [Verdict.REFUSED] and desk.stopped == desk.out


def test_a_served_answer_names_the_shard_that_served_it() -> None:
    desk = Desk()
    desk.arrive("a", shard=-1)
    desk.loop.advance(0)
    desk.out[0].end(AttemptResult(api.Result.OK, b"body"))
    shard = desk.exchange.shards[desk.out[0].node]
    assert desk.answers["a"] == [Answer(Verdict.SERVED, b"body", shard=shard)]


def test_an_attempt_may_not_be_sent_once_its_node_drains_or_its_request_is_over() -> None:
    desk = Desk()
    desk.arrive("a")
    desk.arrive("b", shard=1)
    desk.loop.advance(0)
    first, second = desk.out
    assert first.may_send() and second.may_send()
    desk.exchange.nodes(api.NodeList(api.ListKind.CHANGES, (node(0, api.Phase.DRAINING),)))
    desk.exchange.depart("b")
    assert not first.may_send() and not second.may_send()


def test_an_error_in_the_scheduler_fails_its_batch_and_the_head_continues(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = Desk()
    with monkeypatch.context() as patch:
        patch.setattr(desk.exchange.scheduler, "handle", lambda *_: 1 / 0)
        desk.arrive("a")
        desk.loop.advance(0)
    assert [answer.verdict for answer in desk.answers["a"]] == [Verdict.FAILED] and "ZeroDivisionError" in desk.lines[0]
    desk.arrive("b")
    desk.loop.advance(0)
    desk.out[0].end(AttemptResult(api.Result.OK))
    assert [answer.verdict for answer in desk.answers["b"]] == [Verdict.SERVED]


def test_a_request_that_the_scheduler_never_answers_fails_within_the_grace_period(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    desk = Desk()
    monkeypatch.setattr(desk.exchange.scheduler, "handle", lambda *_: [])
    desk.arrive("a", left=100 * MS)
    desk.loop.advance(100 * MS + GRACE)
    assert [answer.verdict for answer in desk.answers["a"]] == [Verdict.FAILED] and desk.counts["requests_overdue"] == 1


# Guards against 502 where a repetition is harmless: the timer of the attempt and the backstop expire at once.
@pytest.mark.parametrize("stall", [0, GRACE, 20 * MS])
def test_a_stall_at_the_deadline_does_not_change_the_answer(stall: int) -> None:
    desk = Desk()
    desk.arrive("a", left=500 * MS)
    desk.loop.advance(0)
    assert len(desk.out) == 1
    desk.loop.advance(500 * MS - 1)
    desk.loop.stall(1 + stall)
    assert [answer.verdict for answer in desk.answers["a"]] == [Verdict.REFUSED]
    assert desk.counts["attempts_timeout"] == 1 and desk.counts["requests_overdue"] == 0


def test_an_attempt_that_cannot_start_counts_as_a_failed_connect() -> None:
    desk = Desk()

    def broken(_: Attempt) -> Callable[[], None]:
        raise OSError("no more files")

    desk.exchange.start = broken
    desk.arrive("a", left=100 * MS)
    desk.loop.advance(200 * MS)
    assert len(desk.answers["a"]) == 1 and desk.counts["attempts_connect_failed"] > 0


def test_cancel_reports_and_stops_an_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = Desk()
    desk.arrive("a")
    desk.loop.advance(0)
    monkeypatch.setattr(desk.exchange.scheduler, "handle", lambda *_: [api.Cancel("a", 0), api.Fail("a")])
    desk.exchange.nodes(api.NodeList(api.ListKind.CHANGES, ()))
    desk.loop.advance(0)
    assert desk.stopped == desk.out and desk.counts["attempts_cancelled"] == 1 and len(desk.answers["a"]) == 1


def test_an_action_that_raises_does_not_prevent_the_others_of_its_batch() -> None:
    desk = Desk()

    def broken(_: Answer) -> None:
        raise RuntimeError

    for name in ("0" * 16, "1" * 16):
        desk.arrive(name)
    desk.exchange.open["0" * 16].answer = broken
    desk.exchange.scheduler.handle = lambda *_: [  # type: ignore[method-assign]
        api.Refuse("0" * 16, 0),
        api.Refuse("1" * 16, 0),
    ]
    desk.loop.advance(0)
    assert [answer.verdict for answer in desk.answers["1" * 16]] == [Verdict.REFUSED] and desk.counts[
        "module_faults"
    ] == 1
