"""One request's life: which attempt comes next, and which answer it gets when there is none.

A promise (503 with a time to come back) is given only where nothing ran: each attempt either was never sent or its
instance said that it did not run it. A prompt that was only read has not run.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hophinge.fleet.configuration.routes import Route
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.results import Ending, Handle, Result
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.node import Node
from hophinge.fleet.placement.placement import MIN_RETRY_AFTER_S, Placement
from hophinge.fleet.placement.plan import PlacementRejection, PlacementPlan, PlacementRequest
from hophinge.fleet.placement.pool import Reservation, InstancePool
from hophinge.fleet.placement.timing import DECODE, PLAIN, PREFILL
from hophinge.fleet.placement.prompt import Prompt

MIN_LEFT_S = 0.02  # no attempt begins with less time than this
FIRST_PAUSE_S = 0.02  # behind the first round of instances that all refused; each later pause is twice as long
LONGEST_PAUSE_S = 0.32
MAX_READS = 4  # prompts read for one request
UNAVAILABLE, BAD_GATEWAY, GATEWAY_TIMEOUT = 503, 502, 504


@dataclass(frozen=True, slots=True)
class Read:
    """Have the prompt read at an instance."""

    placed: Reservation
    priority: int


@dataclass(frozen=True, slots=True)
class Run:
    """Have the request run at an instance, from memory that was read where there is some."""

    placed: Reservation
    priority: int
    handle: Handle | None
    event_id: str | None  # go on after this event, where a stream broke off


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer now. A promise tells the client when to come back."""

    status: int
    come_back_s: float | None


@dataclass(frozen=True, slots=True)
class Pause:
    """Each instance has had its turn and didn't take the request: wait before the next round."""

    seconds: float


Step = Read | Run | GiveUp | Pause


@dataclass
class Life:
    """The state of one request."""

    name: str
    route: Route
    service: str
    prompt: Prompt | None  # None where the request tells of none
    staged: bool  # the service has engines for prefill and for decode
    aim_at: float  # when the answer is due to earn its full worth
    deadline: float
    placement: Placement
    budget: RetryBudget
    heads: int
    trace: RequestTrace
    gone_at: float = float("inf")  # when the client gives up, if nothing has come by then
    ran: bool = False  # an attempt may have run
    begun: bool = False  # some of an answer went to the client
    reads: int = 0
    runs: int = 0
    possible_runs: int = 0  # attempts that may have run
    handle: Handle | None = None  # memory that was read and not yet asked for
    asked_for: Handle | None = None  # memory that the attempt under way is to fetch
    unused: list[Handle] = field(default_factory=list)  # memory read for nothing
    event_id: str | None = None
    avoid: set[str] = field(default_factory=set)
    tries: int = 0
    rounds: int = 0  # in which each instance has refused

    def next(self, now: float) -> Step:
        """Tell what to do now."""
        if self.deadline - now < MIN_LEFT_S:
            return self._give_up(GATEWAY_TIMEOUT, "no time left")
        if self.possible_runs and not self._may_run_again():
            return self._give_up(BAD_GATEWAY, "may not run again")
        if self._extra() and not self.budget.allows(now, self.heads):
            return self._give_up(BAD_GATEWAY, "retry budget")
        plan = self._plan(now)
        if plan is None and self.avoid:
            return self._next_round(now)
        if plan is None:
            return self._give_up(BAD_GATEWAY, "no instance")
        if isinstance(plan, PlacementRejection):
            return self._give_up(BAD_GATEWAY, "hopeless", plan.retry_after_s)
        placed = plan.reservation
        self.trace.sent(now, placed.pool.stage, placed.node.instance.identity, placed.units, plan.forecast)
        return self._read(now, plan) if plan.is_prefill_only else self._run(now, plan)

    def _next_round(self, now: float) -> Step:
        """Have all instances asked once more after a pause: an instance that has just refused would do so again."""
        pause_s = min(FIRST_PAUSE_S * 2**self.rounds, LONGEST_PAUSE_S)
        if self.deadline - now < pause_s + MIN_LEFT_S:
            return self._give_up(BAD_GATEWAY, "no instance")
        self.avoid.clear()
        self.rounds += 1
        return Pause(pause_s)

    def _plan(self, now: float) -> PlacementPlan | PlacementRejection | None:
        """Have the next attempt placed."""
        wish = PlacementRequest(
            now,
            (self.name, self.tries + 1),
            self.service,
            self.avoid,
            self.route.target_s,
            self.aim_at,
            float("inf") if self.begun else self.gone_at,
        )
        if self.prompt is None:
            return self.placement.place_plain(wish, DECODE if self.staged else PLAIN)
        if self.handle is None and self.reads < MAX_READS:
            return self.placement.place_generation(wish, self.prompt)
        return self.placement.place_decode(wish, self.prompt, self.handle.instance if self.handle is not None else "")

    def _may_run_again(self) -> bool:
        """A request that may have run goes on only where that is harmless, and the route allows another instance."""
        return self.route.is_idempotent and self.possible_runs < max(1, self.route.max_attempts)

    def _extra(self) -> bool:
        """Tell whether the next arrival is one beyond the first; the first reading of a prompt is none."""
        reading = self.prompt is not None and self.handle is None
        return (self.reads > 0 and reading) or self.runs > 0

    def _give_up(self, status: int, reason: str, come_back_s: float = MIN_RETRY_AFTER_S) -> GiveUp:
        self.trace.refusal = reason
        harmless = not self.ran or self.route.is_idempotent
        return GiveUp(UNAVAILABLE, come_back_s) if harmless and not self.begun else GiveUp(status, None)

    def _read(self, now: float, plan: PlacementPlan) -> Step:
        self.tries += 1
        if self.reads:
            self.budget.spend(now)
        self.reads += 1
        return Read(plan.reservation, plan.priority)

    def _run(self, now: float, plan: PlacementPlan) -> Step:
        self.tries += 1
        if self.runs:
            self.budget.spend(now)
        self.runs += 1
        self.asked_for, self.handle = self.handle, None
        return Run(plan.reservation, plan.priority, self.asked_for, self.event_id)

    def leftover(self) -> list[Handle]:
        """Tell the memory that was read and that nobody takes any more: it is to be freed."""
        handles = [*self.unused, *([self.handle] if self.handle is not None else [])]
        self.unused, self.handle = [], None
        return handles

    def streaming(self, now: float, placed: Reservation) -> None:
        """The first event of an answer has come: the instance has read, and makes tokens from now on."""
        self.placement.record_answer(now, placed, True)
        self.trace.began(now)

    def ended(self, now: float, placed: Reservation, result: Result) -> bool:
        """Take the end of an attempt; tells whether the request is over."""
        node, ending = placed.node, result.ending
        self.trace.attempt_ended(now, ending.name)
        if ending in (Ending.READ, Ending.ANSWERED):
            self.placement.record_answer(now, placed, False)
        self.placement.release(now, placed)
        self.event_id = result.event_id or self.event_id
        if ending is Ending.READ:
            self.handle = result.handle
            return False
        if ending in (Ending.ANSWERED, Ending.FAILED):
            self.trace.began(now)
            return True
        self._failed(now, node, placed.pool, ending)
        return False

    def _failed(self, now: float, node: Node, pool: InstancePool, ending: Ending) -> None:
        self.avoid.add(node.instance.identity)
        if self.asked_for is not None and pool.stage != PREFILL:
            if ending is Ending.UNSENT:
                self.handle = self.asked_for
            elif ending in (Ending.REFUSED, Ending.MISPLACED):
                self.unused.append(self.asked_for)
            self.asked_for = None
        if ending in (Ending.UNSENT, Ending.UNKNOWN, Ending.MISPLACED):
            self.placement.record_failure(node, now)
        if pool.stage != PREFILL and ending in (Ending.UNKNOWN, Ending.BROKEN):
            self.ran = True
            self.possible_runs += 1
        self.begun = self.begun or ending is Ending.BROKEN
