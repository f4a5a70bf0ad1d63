"""A simulation of heads and engines in virtual time: the real placement and request lifecycle, without sockets.

Heads receive each other's hints and the engines' reports after a delay, as they do over the control members. The stages
of engines follow the real rule. It serves to compare policies of placement on the same seeds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from hophinge.fleet.configuration.routes import Route
from hophinge.fleet.emulation.clock import VirtualClock
from hophinge.fleet.emulation.traffic import Arrival, RequestKind, TrafficProfile
from hophinge.fleet.emulation.virtual_engine import EngineProfile, EngineEvent, VirtualEngine, EngineRequest
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.pending import RETRY_AFTER_FRACTION
from hophinge.fleet.forwarding.request_lifecycle import Reject, RequestLifecycle, Backoff, Prefill, Generate
from hophinge.fleet.forwarding.attempt_results import AttemptOutcome, KvHandle, AttemptResult
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.hints import EngineReports
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.stage_planner import StagePlanner
from hophinge.fleet.placement.stages import StageLoads, StageSwitch
from hophinge.fleet.registry.instance import DRAINING, LOST, READY, SWITCHING, Instance

SERVICE = "models"
ENGINE_RATE_RANGE = (0.65, 1.1)  # of the profile's prefill rate: the engines of one service differ
HINT_DELAY_S = 0.05  # from a placement until the other heads receive it
REPORT_INTERVAL_S = 0.8
REPORT_DELAY_S = 0.2  # until a report reaches the heads
LINK_DELAY_S = 0.002  # one way between a head and an engine
LOSS_DETECTION_S = 4.8  # after a crash until all heads know of it
STAGE_CHECK_INTERVAL_S = 0.5
NOTICE_DELAY_S = 0.2  # from an engine's notice of its end until all heads know of it
BUDGET_RATIO = 0.2
BUDGET_SLACK = 60.0
BUDGET_WINDOW_S = 10.0
MAX_EVENT_GAP_S = 0.3  # between the events of a response that is in time
MAX_ATTEMPTS = 2
CLIENT_RETRIES = 1  # of a rejected client


@dataclass(slots=True)
class RequestOutcome:
    """The outcome of one arrival."""

    arrival: Arrival
    first_s: float | None = None  # from its arrival to the first token
    rejections: int = 0
    last_rejection: str = ""  # its reason
    has_failed: bool = False

    def earned_worth(self) -> float:
        """Return the worth that it earned."""
        kind = self.arrival.kind
        if self.has_failed or self.first_s is None:
            return 0.0
        return kind.worth if self.first_s <= kind.target_s else kind.late_worth


@dataclass(slots=True)
class ClientAttempt:
    """One attempt of a client, at one head."""

    outcome: RequestOutcome
    life: RequestLifecycle
    arrived_at: float  # of the client's first attempt
    retries_left: int


class VirtualFleet:
    """The engines of a service, and the heads in front of them."""

    def __init__(
        self,
        traffic: TrafficProfile,
        engine: EngineProfile,
        prefill: int,
        decode: int,
        heads: int,
        zones: int,
        seed: int,
        policy: PlacementPolicy = PlacementPolicy(),  # noqa: B008 - frozen
    ) -> None:
        self.policy = policy
        self.clock = VirtualClock()
        self.random = Random(seed)
        self.traffic = traffic
        self.zones = [f"z{number}" for number in range(zones)]
        self.loads = StageLoads()
        self.engines: dict[str, VirtualEngine] = {}
        self.instances: dict[str, Instance] = {}
        self.heads = [
            Placement(self.zones[number % zones], lambda identity: None, Random(seed + number), policy=policy)
            for number in range(heads)
        ]
        self.budgets = [
            RetryBudget(BUDGET_RATIO, BUDGET_SLACK, BUDGET_WINDOW_S, -BUDGET_WINDOW_S) for _ in range(heads)
        ]
        self.outcomes: list[RequestOutcome] = []
        self.planner = StagePlanner(self.loads, policy)
        for number in range(prefill + decode):
            self._start_engine(engine, number, "prefill" if number < prefill else "decode")
        for head in self.heads:
            head.instances.configure({SERVICE: engine.memory_tokens})
            head.instances.stage_switch_s = {SERVICE: engine.switch_s}

    # --- engines -------------------------------------------------------------------------------------------------

    def _start_engine(self, profile: EngineProfile, number: int, stage: str) -> None:
        identity, zone = f"i-{number}", self.zones[number % len(self.zones)]
        rate = profile.prefill_tokens_per_s * self.random.uniform(*ENGINE_RATE_RANGE)
        profile = replace(profile, prefill_tokens_per_s=rate)
        self.engines[identity] = VirtualEngine(self.clock, profile, identity, stage, zone)
        self._publish_instance(Instance(identity, SERVICE, identity, zone, "v1", profile.slots, READY, stage, ()))

    def _publish_instance(self, instance: Instance) -> None:
        self.instances[instance.identity] = instance
        for head in self.heads:
            head.instances.update_instance(instance.identity, instance, self.clock.now)

    def crash(self, identity: str, time_s: float) -> None:
        """Crash an engine at a time; heads detect it later."""

        def detect_loss() -> None:
            self._publish_instance(replace(self.instances[identity], state=LOST))

        self.clock.at(time_s, self.engines[identity].crash)
        self.clock.at(time_s + LOSS_DETECTION_S, detect_loss)

    def announce_end(self, identity: str, time_s: float, notice_s: float) -> None:
        """Have an engine announce its end at a time: it drains at once, and leaves after the notice."""

        def drain() -> None:
            self._publish_instance(replace(self.instances[identity], state=DRAINING))

        def leave() -> None:
            self.engines[identity].crash()
            del self.instances[identity]
            for head in self.heads:
                head.instances.update_instance(identity, None)

        self.clock.at(time_s + NOTICE_DELAY_S, drain)
        self.clock.at(time_s + notice_s, leave)

    def _send_reports(self) -> None:
        reports = EngineReports(tuple(engine.report() for engine in self.engines.values() if engine.is_alive))
        self.clock.after(REPORT_DELAY_S, lambda: self._deliver_reports(reports))

    def _deliver_reports(self, reports: EngineReports) -> None:
        self.loads.record(reports, self.instances)
        for head in self.heads:
            head.exchange.receive_reports(self.clock.now, reports)

    def _exchange_hints(self) -> None:
        for head in self.heads:
            hints = head.exchange.outgoing_hints(self.clock.now)
            if hints is None:
                continue
            for other in self.heads:
                if other is not head:
                    other.exchange.receive_hints(self.clock.now, hints)

    def _plan_switches(self) -> None:
        """Order the switches that are due."""
        now = self.clock.now
        switches = self.planner.due_switches(now, self.instances.values())
        if switches:
            self.planner.record_ordered(now)
        for switch in switches:
            self._switch(switch)

    def _switch(self, switch: StageSwitch) -> None:
        """Switch the stage of an engine."""
        identity = switch.instance.identity
        self.loads.forget(identity)
        self._publish_instance(replace(self.instances[identity], state=SWITCHING))
        self.engines[identity].switch(switch.stage, lambda: self._complete_switch(identity, switch.stage))

    def _complete_switch(self, identity: str, stage: str) -> None:
        """Publish the new stage of an engine; one that has left or leaves meanwhile stays out."""
        instance = self.instances.get(identity)
        if instance is not None and instance.state == SWITCHING:
            self._publish_instance(replace(instance, state=READY, stage=stage))

    # --- requests ------------------------------------------------------------------------------------------------

    def run(self, seconds: float, lead_s: float = 2.0) -> list[RequestOutcome]:
        """Simulate traffic for a duration, and longer for the requests in flight at its end."""
        self.clock.every(HINT_DELAY_S, self._exchange_hints)
        self.clock.every(REPORT_INTERVAL_S, self._send_reports)
        self.clock.every(STAGE_CHECK_INTERVAL_S, self._plan_switches)
        for arrival in self.traffic.draw(self.random, seconds):
            self.clock.at(lead_s + arrival.at, self._arrival_callback(RequestOutcome(arrival)))
        self.clock.run(lead_s + seconds + max(kind.deadline_s for kind in self.traffic.kinds))
        return self.outcomes

    def _arrival_callback(self, outcome: RequestOutcome) -> Callable[[], None]:
        def arrive() -> None:
            self.outcomes.append(outcome)
            self._send_request(outcome, self.clock.now, CLIENT_RETRIES)

        return arrive

    def _send_request(self, outcome: RequestOutcome, arrived_at: float, retries: int) -> None:
        kind = outcome.arrival.kind
        now = self.clock.now
        number = self.random.randrange(len(self.heads))
        route = _route_of(kind)
        budget = self.budgets[number]
        budget.record_request(now)
        life = RequestLifecycle(
            name=f"{id(outcome)}-{retries}",
            route=route,
            service=SERVICE,
            prompt=outcome.arrival.prompt,
            has_stages=True,
            target_at=now + kind.target_s,
            deadline=arrived_at + kind.deadline_s,
            placement=self.heads[number],
            budget=budget,
            heads=len(self.heads),
            trace=RequestTrace(kind.name, now, kind.target_s),
            client_deadline=now + route.client_timeout_s,
        )
        self._execute_step(ClientAttempt(outcome, life, arrived_at, retries))

    def _execute_step(self, attempt: ClientAttempt) -> None:
        step = attempt.life.next_step(self.clock.now)
        if isinstance(step, Reject):
            self._give_up(attempt, step)
            return
        if isinstance(step, Backoff):
            self.clock.after(step.seconds, lambda: self._execute_step(attempt))
            return
        engine = self.engines[step.reservation.node.instance.identity]
        kv_cache_zone = None
        if isinstance(step, Generate) and step.handle is not None:
            kv_cache_zone = self.engines[step.handle.instance].zone
        request = EngineRequest(
            attempt.outcome.arrival.prompt,
            step.priority,
            isinstance(step, Prefill),
            kv_cache_zone,
            self._listener(attempt, step),
        )
        self.clock.after(LINK_DELAY_S, lambda: engine.submit(request))

    def _give_up(self, attempt: ClientAttempt, step: Reject) -> None:
        outcome = attempt.outcome
        outcome.rejections += 1
        outcome.last_rejection = attempt.life.trace.refusal
        if step.retry_after_s is None or attempt.retries_left == 0:
            outcome.has_failed = True
            return
        left_s = attempt.arrived_at + outcome.arrival.kind.deadline_s - self.clock.now
        delay_s = min(step.retry_after_s, left_s * RETRY_AFTER_FRACTION)
        self.clock.after(delay_s, lambda: self._send_request(outcome, attempt.arrived_at, attempt.retries_left - 1))

    def _listener(self, attempt: ClientAttempt, step: Prefill | Generate) -> Callable[[EngineEvent], None]:
        """Return a listener that delivers the engine's events after the delay of the link."""

        def listen(event: EngineEvent) -> None:
            self.clock.after(LINK_DELAY_S, lambda: self._handle_event(attempt, step, event))

        return listen

    def _handle_event(self, attempt: ClientAttempt, step: Prefill | Generate, event: EngineEvent) -> None:
        now = self.clock.now
        life = attempt.life
        outcome = attempt.outcome
        if event is EngineEvent.FIRST_TOKEN:
            life.record_first_event(now, step.reservation)
            outcome.first_s = now - attempt.arrived_at if outcome.first_s is None else outcome.first_s
            return
        result = AttemptResult(_attempt_outcome(event, life.is_response_started or outcome.first_s is not None))
        if event is EngineEvent.PREFILLED:
            identity = step.reservation.node.instance.identity
            result = AttemptResult(AttemptOutcome.READ, KvHandle(identity, identity, "h"))
        if not life.complete_attempt(now, step.reservation, result):
            self._execute_step(attempt)


def _route_of(kind: RequestKind) -> Route:
    return Route(
        name=kind.name,
        host="h",
        prefix="/",
        route_type="streaming",
        timeout_s=kind.deadline_s,
        target_s=kind.target_s,
        gap_s=MAX_EVENT_GAP_S,
        priority=0,
        max_attempts=MAX_ATTEMPTS,
        is_resumable=False,
        services=(SERVICE,),
        cumulative_weights=(1.0,),
    )


def _attempt_outcome(event: EngineEvent, has_started: bool) -> AttemptOutcome:
    if event is EngineEvent.COMPLETED:
        return AttemptOutcome.ANSWERED
    if event is EngineEvent.REJECTED:
        return AttemptOutcome.REFUSED
    return AttemptOutcome.BROKEN if has_started else AttemptOutcome.UNKNOWN
