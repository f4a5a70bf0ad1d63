"""Requests under way while instances come, go, change their stage and are told of by others: drawn histories.

A step that raised in the middle of an answer would cut it, with nobody telling the head to. None may.
"""

from __future__ import annotations

from random import Random

import pytest

from hophinge.fleet.configuration.routes import Route
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.request_lifecycle import Reject, RequestLifecycle, Backoff, Prefill, Generate
from hophinge.fleet.forwarding.attempt_results import AttemptOutcome, KvHandle, AttemptResult
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.hints import (
    PrefillDone,
    PrefillDropped,
    PlacementHint,
    PlacementHints,
    EngineReport,
    EngineReports,
    SuspectedInstances,
)
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.registry.instance import DRAINING, LOST, READY, SWITCHING, Instance

STEPS = 400
IDENTITIES = [f"i-{number}" for number in range(6)]
STAGES = ("prefill", "decode", "")
STATES = (READY, READY, READY, DRAINING, LOST, SWITCHING)
KINDS = [
    Route("r", "h", "/", kind, 4.0, 0.5, 0.0, 1, attempts, resumable, ("s",), (1.0,))
    for kind, attempts, resumable in (
        ("unsafe", 1, False),
        ("safe", 3, False),
        ("streaming", 2, True),
        ("streaming", 1, False),
    )
]


class History:
    """One drawn history."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.placement = Placement("z", lambda identity: None, Random(seed))
        self.budget = RetryBudget(0.2, 1_000.0, 10.0, -10.0)
        self.out: list[tuple[RequestLifecycle, Prefill | Generate]] = []
        self.begun = self.over = 0

    def play(self) -> None:
        """Take steps, then end all that is under way."""
        for _ in range(STEPS):
            self.now += self.random.random() * 0.02
            self.random.choice((self.registry, self.told, self.begin, self.begin, self.answer, self.answer))()
        while self.out:
            self.answer()
        assert all(node.outstanding == 0 for node in self.placement.nodes.values()), "the books are empty at the end"

    def registry(self) -> None:
        """An instance comes, changes, or goes; or the configuration does."""
        identity = self.random.choice(IDENTITIES)
        if self.random.random() < 0.3:
            self.placement.instances.update_instance(identity, None)
        elif self.random.random() < 0.1:
            self.placement.instances.configure(self.random.choice(({}, {"s": 100_000}, {"other": 5})))
        else:
            stage, state = self.random.choice(STAGES), self.random.choice(STATES)
            self.placement.instances.update_instance(
                identity,
                Instance(
                    identity,
                    "s",
                    f"10.0.0.{identity[2:]}:80",
                    "z",
                    "v",
                    self.random.choice((0, 1, 8)),
                    state,
                    stage,
                    (),
                ),
            )

    def told(self) -> None:
        """Another head, or a control member, tells something of an instance that may be gone."""
        identity, job = self.random.choice([*IDENTITIES, "nobody"]), self.random.randrange(4)
        parts = (("a", 100), ("b", self.random.randrange(3) * 50))
        self.placement.exchange.receive_hints(
            self.now,
            PlacementHints(
                (PlacementHint(identity, self.random.randrange(90_000), parts, 1, self.random.randrange(500), job),),
                (PrefillDone(identity, job, self.random.randrange(400)),),
                (PrefillDropped(identity, job),),
            ),
        )
        self.placement.exchange.receive_suspects(self.now, SuspectedInstances((identity,)))
        report = EngineReport(identity, 3, 2, 500, self.random.choice((0, 1_000)))
        self.placement.exchange.receive_reports(self.now, EngineReports((report,)))
        self.placement.exchange.outgoing_hints(self.now)
        self.placement.exchange.outgoing_suspects()
        self.placement.exchange.cache_snapshot()

    def begin(self) -> None:
        """A request comes."""
        self.begun += 1
        prompt = Prompt(300, 50, (("a", 100), ("b", 100), (f"own{self.begun}", 100)))
        route, wanted = self.random.choice(KINDS), self.random.choice((prompt, None))
        self.budget.record_request(self.now)
        life = RequestLifecycle(
            f"q{self.begun}",
            route,
            "s",
            wanted,
            wanted is not None,
            self.now + 0.5,
            self.now + 4.0,
            self.placement,
            self.budget,
            1,
            RequestTrace("r", self.now, 0.5),
        )
        self.go_on(life)

    def go_on(self, life: RequestLifecycle) -> None:
        """Take a life's next step."""
        step = life.next_step(self.now)
        if isinstance(step, Backoff):
            self.now += step.seconds
            self.go_on(life)
        elif isinstance(step, Reject):
            self.over += 1
            life.collect_unused_handles()
        else:
            self.out.append((life, step))

    def answer(self) -> None:
        """An attempt that is out comes to some end."""
        if not self.out:
            return
        life, step = self.out.pop(self.random.randrange(len(self.out)))
        if isinstance(step, Prefill):
            identity = step.reservation.node.instance.identity
            endings = [
                AttemptResult(AttemptOutcome.READ, KvHandle(identity, "10.0.0.1:80", "h")),
                AttemptResult(AttemptOutcome.UNSENT),
                AttemptResult(AttemptOutcome.UNKNOWN),
                AttemptResult(AttemptOutcome.REFUSED),
                AttemptResult(AttemptOutcome.MISPLACED),
            ]
        else:
            if self.random.random() < 0.5:
                life.record_first_event(self.now, step.reservation)
            endings = [AttemptResult(AttemptOutcome.ANSWERED)] * 3 + [
                AttemptResult(ending, last_event_id="3")
                for ending in (
                    AttemptOutcome.FAILED,
                    AttemptOutcome.BROKEN,
                    AttemptOutcome.UNKNOWN,
                    AttemptOutcome.UNSENT,
                    AttemptOutcome.REFUSED,
                    AttemptOutcome.MISPLACED,
                )
            ]
        if life.complete_attempt(self.now, step.reservation, self.random.choice(endings)):
            self.over += 1
        else:
            self.go_on(life)


@pytest.mark.parametrize("first", range(0, 200, 20))
def test_no_step_of_a_request_raises_whatever_its_instances_do(first: int) -> None:
    for seed in range(first, first + 20):
        history = History(seed)
        history.play()
        assert history.over == history.begun > 50
