"""Random outcomes of a request's attempts, with the truth whether its instances ran it, and what its client is told."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from hophinge.fleet.configuration.routes import Route
from hophinge.fleet.forwarding.attempt_results import (
    AttemptOutcome,
    AttemptResult,
    KvHandle,
    may_forward_status,
    unexecuted_outcome,
)
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.completed_requests import promises_not_executed
from hophinge.fleet.forwarding.headers import NOT_EXECUTED, Fields
from hophinge.fleet.forwarding.request_lifecycle import Backoff, Generate, Prefill, Reject, RequestLifecycle
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.registry.instance import READY, Instance

TIMEOUT_S = 4.0
EVENTS = ("unsent", "rejected", "silent", "closed", "stream", "status")  # of an attempt; a history has some of them
REJECTING: Fields = [(NOT_EXECUTED, b"1")]
ROUTES = [
    Route("r", "h", "/", kind, TIMEOUT_S, 0.5, 0.0, 1, attempts, resumable, ("s",), (1.0,))
    for kind, attempts, resumable in (("unsafe", 3, False), ("safe", 3, False), ("streaming", 3, True))
] + [Route("r", "h", "/", "streaming", TIMEOUT_S, 0.5, 0.0, 1, 3, False, ("s",), (1.0,))]
UNREADABLE = Route("r", "h", "/", "safe", TIMEOUT_S, 0.5, 0.0, 1, 3, False, (), ())
CHANGE_SHARE = 0.3  # of the steps, before which a configuration is applied


@dataclass
class AttemptHistory:
    """One request; `runs` is what its instances know."""

    seed: int
    runs: int = 0
    sends: int = 0
    status: int = 0  # of a response that the head made itself
    is_answered: bool = False  # by an instance
    is_changing: bool = False  # configurations with other types of the route are applied meanwhile
    wrong_repetitions: int = 0  # runs after an earlier one, while the route in force was not idempotent
    random: Random = field(init=False)

    def __post_init__(self) -> None:
        """Draw the request and its instances."""
        self.random = Random(self.seed)
        self.now = 0.0
        self.events = self.random.sample(EVENTS, self.random.randrange(1, len(EVENTS)))
        self.route = self.random.choice(ROUTES)
        self.current_route: Route | None = self.route  # None: removed
        prompt = Prompt(300, 50, (("a", 300),)) if self.route.route_type == "streaming" else None
        placement = Placement("z", lambda identity: None, Random(self.seed))
        stages = ("prefill", "decode", "decode") if prompt is not None else ("", "", "")
        for number, stage in enumerate(stages):
            name = f"i-{number}"
            placement.instances.update_instance(
                name, Instance(name, "s", f"10.0.0.{number}:80", "z", "v", 8, READY, stage, ())
            )
        placement.instances.configure({"s": 100_000} if prompt is not None else {})
        budget = RetryBudget(0.2, 1_000.0, 10.0, -10.0)
        budget.record_request(0.0)
        trace = RequestTrace("r", 0.0, 0.5)
        self.lifecycle = RequestLifecycle(
            "q", self.route, "s", prompt, prompt is not None, 0.5, TIMEOUT_S, placement, budget, 1, trace
        )
        self.lifecycle.current_route = lambda: self.current_route

    def play(self) -> None:
        """Perform steps until the request is over."""
        while True:
            if self.is_changing and self.random.random() < CHANGE_SHARE:
                self.current_route = self.random.choice([*ROUTES, UNREADABLE, None])
            step = self.lifecycle.next_step(self.now)
            if isinstance(step, Reject):
                self.status = step.status
                return
            if isinstance(step, Backoff):
                self.now += step.seconds
                continue
            self.now += self.random.random() * 0.3
            result = self._prefill(step) if isinstance(step, Prefill) else self._generate(step)
            if self.lifecycle.complete_attempt(self.now, step.reservation, result):
                self.is_answered = True
                return

    def _prefill(self, step: Prefill) -> AttemptResult:
        instance = step.reservation.node.instance
        return self.random.choice(
            (
                AttemptResult(AttemptOutcome.READ, KvHandle(instance.identity, instance.address, "h")),
                AttemptResult(AttemptOutcome.UNSENT),
                AttemptResult(AttemptOutcome.UNKNOWN),
                AttemptResult(AttemptOutcome.REFUSED),
            )
        )

    def _generate(self, _step: Generate) -> AttemptResult:
        self.sends += 1
        event = self.random.choice(self.events)
        if event == "unsent":
            self.sends -= 1
            return AttemptResult(AttemptOutcome.UNSENT)
        if event == "rejected":
            return self._respond(self.random.choice((408, 421, 429, 503)), REJECTING)
        if self.random.random() < 0.5 or event in ("stream", "status"):
            self._run()
        if event in ("silent", "closed"):
            outcome = AttemptOutcome.BROKEN if self.lifecycle.is_response_started else AttemptOutcome.UNKNOWN
            return AttemptResult(outcome, is_silent=event == "silent")
        if event == "stream" and self.route.route_type == "streaming":
            return AttemptResult(AttemptOutcome.BROKEN, last_event_id="3")
        return self._respond(self.random.choice((200, 408, 429, 500, 503)), [])

    def _run(self) -> None:
        is_idempotent = self.current_route is None or (
            self.current_route.is_idempotent and self.current_route.is_available
        )
        self.wrong_repetitions += self.runs > 0 and not is_idempotent
        self.runs += 1

    def _respond(self, status: int, fields: Fields) -> AttemptResult:
        """Classify an instance's response, as the exchange does."""
        unexecuted = unexecuted_outcome(status, fields)
        if unexecuted is not None:
            return AttemptResult(unexecuted)
        if not may_forward_status(status):
            return AttemptResult(AttemptOutcome.UNKNOWN)
        return AttemptResult(AttemptOutcome.ANSWERED if status < 500 else AttemptOutcome.FAILED)

    def findings(self) -> list[str]:
        """Return what contradicts what the client is told."""
        found = [f"ran {self.runs} times"] if self.runs > 1 and not self.route.is_idempotent else []
        if self.runs and promises_not_executed(self.status):
            found.append(f"ran and got {self.status}")
        if self.wrong_repetitions:
            found.append("ran again where its route may not any more")
        return found
