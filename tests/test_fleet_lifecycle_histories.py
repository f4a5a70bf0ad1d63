"""Random histories of requests in flight while instances register, change, and are reported by other members.

Guards against a step that raises an exception: in the middle of a response it would abort it.
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
    """One random history."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.placement = Placement("z", lambda identity: None, Random(seed))
        self.budget = RetryBudget(0.2, 1_000.0, 10.0, -10.0)
        self.in_flight: list[tuple[RequestLifecycle, Prefill | Generate]] = []
        self.started = self.completed = 0  # requests

    def play(self) -> None:
        """Perform random steps, then complete all attempts in flight."""
        for _ in range(STEPS):
            self.now += self.random.random() * 0.02
            self.random.choice(
                (
                    self.change_instance,
                    self.receive_reports,
                    self.start_request,
                    self.start_request,
                    self.complete_attempt,
                    self.complete_attempt,
                )
            )()
        while self.in_flight:
            self.complete_attempt()
        assert all(node.outstanding == 0 for node in self.placement.nodes.values()), "no reservation remains at the end"

    def change_instance(self) -> None:
        """Register, change or remove an instance, or change the configuration."""
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

    def receive_reports(self) -> None:
        """Receive messages of another head and a control member about an instance that may not exist any more."""
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

    def start_request(self) -> None:
        """Start a request, with or without a prompt."""
        self.started += 1
        new_prompt = Prompt(300, 50, (("a", 100), ("b", 100), (f"own{self.started}", 100)))
        route, prompt = self.random.choice(KINDS), self.random.choice((new_prompt, None))
        self.budget.record_request(self.now)
        lifecycle = RequestLifecycle(
            f"q{self.started}",
            route,
            "s",
            prompt,
            prompt is not None,
            self.now + 0.5,
            self.now + 4.0,
            self.placement,
            self.budget,
            1,
            RequestTrace("r", self.now, 0.5),
        )
        self.perform_next_step(lifecycle)

    def perform_next_step(self, lifecycle: RequestLifecycle) -> None:
        """Perform the next step of a request."""
        step = lifecycle.next_step(self.now)
        if isinstance(step, Backoff):
            self.now += step.seconds
            self.perform_next_step(lifecycle)
        elif isinstance(step, Reject):
            self.completed += 1
            lifecycle.collect_unused_handles()
        else:
            self.in_flight.append((lifecycle, step))

    def complete_attempt(self) -> None:
        """Complete a random attempt in flight with a random result."""
        if not self.in_flight:
            return
        lifecycle, step = self.in_flight.pop(self.random.randrange(len(self.in_flight)))
        if isinstance(step, Prefill):
            identity = step.reservation.node.instance.identity
            results = [
                AttemptResult(AttemptOutcome.READ, KvHandle(identity, "10.0.0.1:80", "h")),
                AttemptResult(AttemptOutcome.UNSENT),
                AttemptResult(AttemptOutcome.UNKNOWN),
                AttemptResult(AttemptOutcome.REFUSED),
                AttemptResult(AttemptOutcome.MISPLACED),
            ]
        else:
            if self.random.random() < 0.5:
                lifecycle.record_first_event(self.now, step.reservation)
            results = [AttemptResult(AttemptOutcome.ANSWERED)] * 3 + [
                AttemptResult(outcome, last_event_id="3")
                for outcome in (
                    AttemptOutcome.FAILED,
                    AttemptOutcome.BROKEN,
                    AttemptOutcome.UNKNOWN,
                    AttemptOutcome.UNSENT,
                    AttemptOutcome.REFUSED,
                    AttemptOutcome.MISPLACED,
                )
            ]
        if lifecycle.complete_attempt(self.now, step.reservation, self.random.choice(results)):
            self.completed += 1
        else:
            self.perform_next_step(lifecycle)


@pytest.mark.parametrize("first", range(0, 200, 20))
def test_no_step_of_a_request_raises_whatever_its_instances_do(first: int) -> None:
    for seed in range(first, first + 20):
        history = History(seed)
        history.play()
        assert history.completed == history.started > 50
