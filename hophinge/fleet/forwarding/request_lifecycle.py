"""The lifecycle of one request, without I/O: chooses the next attempt, or rejects the request.

503 with `Retry-After` tells the client that its request has not run and never will, whatever its route is. It is used
only if each attempt either was not sent or was not run according to its instance. A request of which only the prefill
was done has not run.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from hophinge.fleet.configuration.routes import Route
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.attempt_results import AttemptOutcome, KvHandle, AttemptResult
from hophinge.fleet.forwarding.pending import FRESH_FRACTION, MAX_PENDING, POLL_INTERVAL_S, PendingRequest, should_wait
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.placement import MIN_RETRY_AFTER_S, Placement
from hophinge.fleet.placement.plan import PlacementRejection, PlacementPlan, PlacementRequest
from hophinge.fleet.placement.pool import Reservation
from hophinge.fleet.placement.timing import DECODE, PLAIN, PREFILL
from hophinge.fleet.placement.prompt import Prompt

MIN_ATTEMPT_S = 0.02  # no attempt begins with less time left than this
INITIAL_BACKOFF_S = 0.02  # after the first round in which no instance took the request; doubled after each later one
MAX_BACKOFF_S = 0.32
MAX_PREFILLS = 4  # for one request
UNAVAILABLE, BAD_GATEWAY, GATEWAY_TIMEOUT = 503, 502, 504


@dataclass(frozen=True, slots=True)
class Prefill:
    """Do the prefill of the prompt at an instance."""

    reservation: Reservation
    priority: int


@dataclass(frozen=True, slots=True)
class Generate:
    """Generate the response at an instance, from the KV cache of a prefill if there is one."""

    reservation: Reservation
    priority: int
    handle: KvHandle | None
    last_event_id: str | None  # resume after this event if a stream broke off


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject the request; `retry_after_s` tells the client that it has not run, None that it may have."""

    status: int
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class Backoff:
    """Wait before the next round: no untried instance is left in this one, or the stage has no instance yet."""

    seconds: float


NextStep = Prefill | Generate | Reject | Backoff


@dataclass
class RequestLifecycle:
    """The state of one request. Times are seconds of one clock."""

    name: str
    route: Route
    service: str
    prompt: Prompt | None  # None if the request declares none
    has_stages: bool  # the service has engines for prefill and decode
    target_at: float  # a response until then has its full value
    deadline: float
    placement: Placement
    budget: RetryBudget
    heads: int
    trace: RequestTrace
    client_deadline: float = float("inf")  # when the client gives up if nothing has arrived
    current_route: Callable[[], Route | None] = lambda: None  # by the configuration applied by now; None if removed
    may_have_run: bool = False  # an attempt may have run
    is_response_started: bool = False  # part of a response was sent to the client
    prefills: int = 0
    runs: int = 0
    possible_runs: int = 0  # attempts that may have run
    charged_at: float | None = None  # when the attempt in flight was charged to the retry budget
    handle: KvHandle | None = None  # of a prefill, not yet used by an attempt
    requested_handle: KvHandle | None = None  # the handle whose KV cache the attempt in flight fetches
    unused_handles: list[KvHandle] = field(default_factory=list)  # of prefills that no attempt will use
    last_event_id: str | None = None
    excluded: set[str] = field(default_factory=set)
    attempts: int = 0
    retry_rounds: int = 0  # in which no instance took the request
    pending_since: float | None = None  # since when it waits for a stage that has no instance

    def next_step(self, now: float) -> NextStep:
        """Return the next step of the request."""
        if self.deadline - now < MIN_ATTEMPT_S:
            return self._reject(GATEWAY_TIMEOUT, "no time left")
        if self.possible_runs and not self._may_retry():
            return self._reject(BAD_GATEWAY, "may not run again")
        if self._is_extra_attempt() and not self.budget.allows_extra_attempt(now, self.heads):
            return self._reject(BAD_GATEWAY, "retry budget")
        plan = self._plan(now)
        if plan is None and self.excluded:
            return self._begin_retry_round(now)
        if plan is None:
            return self._wait_for_stage(now)
        self._leave_pending()
        if isinstance(plan, PlacementRejection):
            return self._reject(BAD_GATEWAY, "hopeless", plan.retry_after_s)
        reservation = plan.reservation
        identity = reservation.node.instance.identity
        self.trace.record_attempt(now, reservation.pool.stage, identity, reservation.units, plan.forecast)
        return self._prefill(now, plan) if plan.is_prefill_only else self._generate(now, plan)

    def _begin_retry_round(self, now: float) -> NextStep:
        """Back off before all instances are tried again: one that has just failed or refused would do so again."""
        backoff_s = min(INITIAL_BACKOFF_S * 2**self.retry_rounds, MAX_BACKOFF_S)
        if self.deadline - now < backoff_s + MIN_ATTEMPT_S:
            return self._reject(BAD_GATEWAY, "no instance")
        self.excluded.clear()
        self.retry_rounds += 1
        return Backoff(backoff_s)

    def _wait_for_stage(self, now: float) -> NextStep:
        """Wait until the stage that generates responses has an instance, or reject the request with `Retry-After`."""
        if not self.has_stages:
            return self._reject(BAD_GATEWAY, "no instance")
        outlook = self.placement.instances.predict_stage(now, self.service, DECODE)
        reason = f"no instance, {outlook.state.value}"
        if outlook.ready_at is None:
            return self._reject(BAD_GATEWAY, reason)
        if self._has_room_to_wait() and should_wait(self._pending_request(now, outlook.ready_at)):
            self.pending_since = now if self.pending_since is None else self.pending_since
            self.placement.pending_requests.add(self.name)
            return Backoff(min(POLL_INTERVAL_S, max(MIN_ATTEMPT_S, outlook.ready_at - now)))
        return self._reject(BAD_GATEWAY, reason, self.placement.retry_after_s(outlook.ready_at - now))

    def _has_room_to_wait(self) -> bool:
        pending = self.placement.pending_requests
        return self.name in pending or len(pending) < MAX_PENDING

    def _pending_request(self, now: float, ready_at: float) -> PendingRequest:
        """Return the input of `should_wait`; the client of a started response times out from the start of the wait."""
        silent_since = now if self.pending_since is None else self.pending_since
        gives_up_at = silent_since + self.route.client_timeout_s if self.is_response_started else self.client_deadline
        is_fresh = self.deadline - self.trace.arrived >= FRESH_FRACTION * self.route.timeout_s
        may_return = is_fresh and not self.attempts and self.pending_since is None
        return PendingRequest(now, ready_at, self.target_at, min(gives_up_at, self.deadline), self.deadline, may_return)

    def _leave_pending(self) -> None:
        self.pending_since = None
        self.placement.pending_requests.discard(self.name)

    def close(self) -> None:
        """Remove the request from the pending ones, however it ended."""
        self._leave_pending()

    def _plan(self, now: float) -> PlacementPlan | PlacementRejection | None:
        """Place the next attempt."""
        request = PlacementRequest(
            now,
            (self.name, self.attempts + 1),
            self.service,
            self.excluded,
            self.route.target_s,
            self.target_at,
            float("inf") if self.is_response_started else self.client_deadline,
        )
        if self.prompt is None:
            return self.placement.place_plain(request, DECODE if self.has_stages else PLAIN)
        if self.handle is None and self.prefills < MAX_PREFILLS:
            return self.placement.place_generation(request, self.prompt)
        return self.placement.place_decode(
            request, self.prompt, self.handle.instance if self.handle is not None else ""
        )

    def _may_retry(self) -> bool:
        """Return whether a request that may have run is idempotent and has attempts left."""
        is_idempotent = self.route.is_idempotent and self._is_still_idempotent()
        return is_idempotent and self.possible_runs < max(1, self.route.max_attempts)

    def _is_still_idempotent(self) -> bool:
        """Return whether the configuration applied by now allows a repetition; a removed route forbids nothing."""
        current = self.current_route()
        return current is None or (current.is_available and current.is_idempotent)

    def _is_extra_attempt(self) -> bool:
        """Return whether the next attempt is a retry; the first prefill does not make the attempt after it a retry."""
        needs_prefill = self.prompt is not None and self.handle is None
        return (self.prefills > 0 and needs_prefill) or self.runs > 0

    def _reject(self, status: int, reason: str, retry_after_s: float = MIN_RETRY_AFTER_S) -> Reject:
        self._leave_pending()
        self.trace.refusal = reason
        if self.may_have_run or self.is_response_started:
            return Reject(status, None)
        return Reject(UNAVAILABLE, retry_after_s)

    def _charge(self, now: float, is_extra: bool) -> None:
        """Count an attempt, and charge it to the retry budget if it is a retry."""
        self.attempts += 1
        self.charged_at = now if is_extra else None
        if is_extra:
            self.budget.record_extra_attempt(now)

    def _refund(self, is_prefill: bool) -> None:
        """Undo the count of an attempt that was not sent: the budget limits only attempts that reach instances."""
        if is_prefill:
            self.prefills -= 1
        else:
            self.runs -= 1
        if self.charged_at is not None:
            self.budget.refund_extra_attempt(self.charged_at)

    def _prefill(self, now: float, plan: PlacementPlan) -> NextStep:
        self._charge(now, self.prefills > 0)
        self.prefills += 1
        return Prefill(plan.reservation, plan.priority)

    def _generate(self, now: float, plan: PlacementPlan) -> NextStep:
        self._charge(now, self.runs > 0)
        self.runs += 1
        self.requested_handle = self.handle
        self.handle = None
        return Generate(plan.reservation, plan.priority, self.requested_handle, self.last_event_id)

    def collect_unused_handles(self) -> list[KvHandle]:
        """Return the handles that no attempt will use, for the caller to free, and forget them.

        Handles at evacuated instances are left out: these get no requests at all, and the handles expire by themselves.
        """
        handles = [*self.unused_handles, *([self.handle] if self.handle is not None else [])]
        self.unused_handles = []
        self.handle = None
        return [handle for handle in handles if not self.placement.instances.is_evacuated(handle.instance)]

    def record_first_event(self, now: float, reservation: Reservation) -> None:
        """Record the first event of a response: from now on the instance generates tokens."""
        self.placement.record_answer(now, reservation, True)
        self.placement.record_contact(reservation.node, now)
        if self.requested_handle is not None:
            self.placement.record_transfer(now, self.requested_handle.instance, reservation.node, True)
        self.trace.record_first_event(now)

    def complete_attempt(self, now: float, reservation: Reservation, result: AttemptResult) -> bool:
        """Apply the result of an attempt; return whether the request is complete."""
        outcome = result.outcome
        self.trace.complete_attempt(now, outcome.name)
        if outcome in (AttemptOutcome.READ, AttemptOutcome.ANSWERED):
            self.placement.record_answer(now, reservation, False)
        if result.is_answer:
            self.placement.record_contact(reservation.node, now)
        elif result.is_silent:
            self.placement.record_silence(reservation.node, now)
        self.placement.release(now, reservation)
        self.last_event_id = result.last_event_id or self.last_event_id
        if outcome is AttemptOutcome.READ:
            self.handle = result.handle
            return False
        if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED):
            self.trace.record_first_event(now)
            return True
        self._record_failure(now, reservation, result)
        return False

    def _record_failure(self, now: float, reservation: Reservation, result: AttemptResult) -> None:
        node = reservation.node
        outcome = result.outcome
        is_prefill = reservation.pool.stage == PREFILL
        self.excluded.add(node.instance.identity)
        if outcome is AttemptOutcome.UNSENT:
            self._refund(is_prefill)
        if self.requested_handle is not None and not is_prefill:
            if outcome is AttemptOutcome.UNSENT:
                self.handle = self.requested_handle
            elif outcome in (AttemptOutcome.REFUSED, AttemptOutcome.MISPLACED):
                self.unused_handles.append(self.requested_handle)
            if outcome is AttemptOutcome.REFUSED:
                self.excluded.add(self.requested_handle.instance)
                self.placement.record_transfer(now, self.requested_handle.instance, node, False)
            self.requested_handle = None
        if outcome in (AttemptOutcome.UNSENT, AttemptOutcome.UNKNOWN, AttemptOutcome.MISPLACED):
            self.placement.record_failure(node, now, result.is_abandoned)
        if not is_prefill and outcome in (AttemptOutcome.UNKNOWN, AttemptOutcome.BROKEN):
            self.may_have_run = True
            self.possible_runs += 1
        self.is_response_started = self.is_response_started or outcome is AttemptOutcome.BROKEN
