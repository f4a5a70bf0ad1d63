"""Heads before engines in virtual time: the real placement and the real life of requests, drawn traffic, no sockets.

Heads hear of each other's placements and of engines' reports after a delay, as they do over the control members. The
stages of engines follow the real rule. What it is for: to compare ways of placement on the same seeds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from hophinge.fleet.configuration.routes import Route
from hophinge.fleet.emulation.clock import VirtualClock
from hophinge.fleet.emulation.traffic import Arrival, TrafficProfile
from hophinge.fleet.emulation.virtual_engine import EngineProfile, Event, VirtualEngine, Work
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.life import GiveUp, Life, Pause, Read, Run
from hophinge.fleet.forwarding.results import Ending, Handle, Result
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.hints import EngineReports
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.stages import StageLoads, StageSwitch, plan_switches
from hophinge.fleet.registry.instance import LOST, READY, SWITCHING, Instance

SERVICE = "models"
PACES = (0.65, 1.1)  # of the profile's pace at which engines read: those of one service differ
HINT_S = 0.05  # from a placement until the other heads know of it
REPORT_S = 0.8  # between an engine's reports
REPORT_AGE_S = 0.2  # of a report when it reaches the heads
LINK_S = 0.002  # one way between a head and an engine
LOST_S = 4.8  # after a crash until all heads know of it
STAGE_LOOK_S = 0.5
STAGE_STEADY_S = 1.2
STAGE_RETRY_INTERVAL_S = 2.5
BUDGET_RATIO, BUDGET_SLACK, BUDGET_WINDOW_S = 0.2, 60.0, 10.0
LONGEST_PAUSE_S = 0.3  # between the events of an answer that is in time
MAX_ATTEMPTS = 2
RETRIES = 1  # of a client that was refused


@dataclass(slots=True)
class Outcome:
    """What became of one arrival."""

    arrival: Arrival
    first_s: float | None = None  # from its arrival to the first token
    refusals: int = 0
    failed: bool = False

    def worth(self) -> float:
        """Tell the worth that it earned."""
        kind = self.arrival.kind
        if self.failed or self.first_s is None:
            return 0.0
        return kind.worth if self.first_s <= kind.aim_s else kind.late_worth


@dataclass(slots=True)
class Journey:
    """One try on its way."""

    outcome: Outcome
    life: Life
    head: Placement
    retries: int = field(default=RETRIES)


class VirtualFleet:
    """A service's engines and the heads before them."""

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
        self.clock, self.random, self.traffic = VirtualClock(), Random(seed), traffic
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
        self.outcomes: list[Outcome] = []
        self.switch_wanted: tuple[str, float] | None = None
        self.switched_at = float("-inf")
        for number in range(prefill + decode):
            self._start_engine(engine, number, "prefill" if number < prefill else "decode")
        for head in self.heads:
            head.configure({SERVICE: engine.memory_tokens})

    # --- engines -------------------------------------------------------------------------------------------------

    def _start_engine(self, profile: EngineProfile, number: int, stage: str) -> None:
        identity, zone = f"i-{number}", self.zones[number % len(self.zones)]
        pace = profile.tokens_read_a_second * self.random.uniform(*PACES)
        profile = replace(profile, tokens_read_a_second=pace)
        self.engines[identity] = VirtualEngine(self.clock, profile, identity, stage, zone)
        self._tell(Instance(identity, SERVICE, identity, zone, "v1", profile.slots, READY, stage, ()))

    def _tell(self, instance: Instance) -> None:
        self.instances[instance.identity] = instance
        for head in self.heads:
            head.update_instance(instance.identity, instance)

    def crash(self, identity: str, moment: float) -> None:
        """Have an engine end without a word."""

        def lost() -> None:
            self._tell(replace(self.instances[identity], state=LOST))

        self.clock.at(moment, self.engines[identity].crash)
        self.clock.at(moment + LOST_S, lost)

    def _report(self) -> None:
        reports = EngineReports(tuple(engine.report() for engine in self.engines.values() if engine.alive))
        self.clock.after(REPORT_AGE_S, lambda: self._reported(reports))

    def _reported(self, reports: EngineReports) -> None:
        self.loads.record(reports, self.instances)
        for head in self.heads:
            head.receive_reports(self.clock.now, reports)

    def _hint(self) -> None:
        for head in self.heads:
            hints = head.outgoing_hints(self.clock.now)
            if hints is None:
                continue
            for other in self.heads:
                if other is not head:
                    other.receive_hints(self.clock.now, hints)

    def _look_at_stages(self) -> None:
        """Order a change of stage once it was wanted for a while."""
        now = self.clock.now
        switches = plan_switches(self.instances.values(), self.loads, self.policy)
        if not switches:
            self.switch_wanted = None
            return
        if self.switch_wanted is None or self.switch_wanted[0] != switches[0].stage:
            self.switch_wanted = switches[0].stage, now
        steady = now - self.switch_wanted[1] >= STAGE_STEADY_S and now - self.switched_at >= STAGE_RETRY_INTERVAL_S
        if not steady and not switches[0].is_urgent:
            return
        self.switched_at = now
        for switch in switches:
            self._switch(switch)

    def _switch(self, switch: StageSwitch) -> None:
        """Have an engine change its stage."""
        name = switch.instance.identity
        self.loads.forget(name)
        self._tell(replace(self.instances[name], state=SWITCHING))
        back = replace(self.instances[name], state=READY, stage=switch.stage)
        self.engines[name].switch(switch.stage, lambda: self._tell(back))

    # --- requests ------------------------------------------------------------------------------------------------

    def play(self, seconds: float, lead_s: float = 2.0) -> list[Outcome]:
        """Play traffic for so long, and some time more for what is under way."""
        self.clock.every(HINT_S, self._hint)
        self.clock.every(REPORT_S, self._report)
        self.clock.every(STAGE_LOOK_S, self._look_at_stages)
        for arrival in self.traffic.draw(self.random, seconds):
            self.clock.at(lead_s + arrival.at, self._arriving(Outcome(arrival)))
        self.clock.run(lead_s + seconds + max(kind.deadline_s for kind in self.traffic.kinds))
        return self.outcomes

    def _arriving(self, outcome: Outcome) -> Callable[[], None]:
        def arrive() -> None:
            self.outcomes.append(outcome)
            self._try(outcome, self.clock.now, RETRIES)

        return arrive

    def _try(self, outcome: Outcome, began: float, retries: int) -> None:
        kind, now = outcome.arrival.kind, self.clock.now
        number = self.random.randrange(len(self.heads))
        route = Route(
            kind.name,
            "h",
            "/",
            "streaming",
            kind.deadline_s,
            kind.aim_s,
            LONGEST_PAUSE_S,
            0,
            MAX_ATTEMPTS,
            False,
            (SERVICE,),
            (1.0,),
        )
        budget = self.budgets[number]
        budget.requested(now)
        life = Life(
            f"{id(outcome)}-{retries}",
            route,
            SERVICE,
            outcome.arrival.prompt,
            True,
            now + kind.aim_s,
            began + kind.deadline_s,
            self.heads[number],
            budget,
            len(self.heads),
            RequestTrace(kind.name, now, kind.aim_s),
            now + route.client_timeout_s,
        )
        self._next(Journey(outcome, life, self.heads[number], retries), began)

    def _next(self, journey: Journey, began: float) -> None:
        step = journey.life.next(self.clock.now)
        if isinstance(step, GiveUp):
            self._given_up(journey, step, began)
            return
        if isinstance(step, Pause):
            self.clock.after(step.seconds, lambda: self._next(journey, began))
            return
        engine = self.engines[step.placed.node.instance.identity]
        fetched_from = None
        if isinstance(step, Run) and step.handle is not None:
            fetched_from = self.engines[step.handle.instance].zone
        work = Work(
            journey.outcome.arrival.prompt,
            step.priority,
            isinstance(step, Read),
            fetched_from,
            self._listener(journey, step, began),
        )
        self.clock.after(LINK_S, lambda: engine.submit(work))

    def _given_up(self, journey: Journey, step: GiveUp, began: float) -> None:
        outcome = journey.outcome
        outcome.refusals += 1
        if step.come_back_s is None or journey.retries == 0:
            outcome.failed = True
            return
        self.clock.after(step.come_back_s, lambda: self._try(outcome, began, journey.retries - 1))

    def _listener(self, journey: Journey, step: Read | Run, began: float) -> Callable[[Event], None]:
        """Tell a life what its engine says, a link's delay later."""

        def listen(event: Event) -> None:
            self.clock.after(LINK_S, lambda: self._heard(journey, step, began, event))

        return listen

    def _heard(self, journey: Journey, step: Read | Run, began: float, event: Event) -> None:
        now, life, outcome = self.clock.now, journey.life, journey.outcome
        if event is Event.FIRST:
            life.streaming(now, step.placed)
            outcome.first_s = now - began if outcome.first_s is None else outcome.first_s
            return
        result = Result(_ending(event, life.begun or outcome.first_s is not None))
        if event is Event.READ:
            identity = step.placed.node.instance.identity
            result = Result(Ending.READ, Handle(identity, identity, "h", 0))
        if not life.ended(now, step.placed, result):
            self._next(journey, began)


def _ending(event: Event, begun: bool) -> Ending:
    if event is Event.DONE:
        return Ending.ANSWERED
    if event is Event.REFUSED:
        return Ending.REFUSED
    return Ending.BROKEN if begun else Ending.UNKNOWN
