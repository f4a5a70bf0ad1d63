"""Rate limits for cold instances: a cold instance can handle only a few requests per second, summed over all heads.

Heads do not share a counter: by the time a count arrived, the next requests would already be on their way. Instead,
each head decides independently, by hashing its own name with the instance's, whether it has a permit to send to a cold
instance at all; each head with a permit keeps an interval between its requests. So the sum stays below the rate that
the instance can handle for any number of heads, also while some of them are partitioned from the others.

An instance is treated as cold while it reports so, and also while its state is unconfirmed: it is new, it did not
respond, or the evacuation of its zone has ended. An unconfirmed state ends with a warmup record from a later heartbeat,
or when the instance has been alive for longer than it can be cold.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from math import exp, floor

from hophinge.fleet.registry.instance import LOST, Instance
from hophinge.fleet.registry.warmup import Warmup

SEND_WINDOW_S = 1.4  # the second for which the limit holds, plus the longest delay from placing a request to sending it
HEARTBEATS_TO_CONFIRM = 2.5  # heartbeat intervals after a sign of life, in which any confirming record arrives
MAX_UNCONFIRMED_S = 15.0  # for an instance without a sign of life that is not marked lost
MAX_ALIVE_GAP_S = 2.0  # between two signs of life; after a longer gap the instance may have restarted
RECENT_ANSWER_S = 0.3  # for which a response to this head outweighs what others observed of the instance
HEAD_COUNT_MARGIN = 2.0  # maximum ratio of the actual number of heads to the known number
MAX_EXCESS_PROBABILITY = 1e-6  # that enough heads have a permit for an instance to exceed its limit
EXPECTATION_STEP = 0.05  # in the search for the expected number of heads with a permit
HASH_BYTES = 8
HASH_RANGE = 1 << (8 * HASH_BYTES)


def poisson_excess(expected: float, limit: int) -> float:
    """Return the probability that a Poisson variable exceeds a limit: an upper bound for a sum of independent draws."""
    term = exp(-expected)
    total = term
    for count in range(1, limit + 1):
        term *= expected / count
        total += term
    return max(0.0, 1.0 - total)


def expected_permits(limit: int) -> float:
    """Return how many heads may have a permit on average, so that hardly ever more than `limit` have one."""
    steps = 0
    while poisson_excess((steps + 1) * EXPECTATION_STEP, limit) <= MAX_EXCESS_PROBABILITY:
        steps += 1
    return steps * EXPECTATION_STEP


@dataclass(frozen=True, slots=True)
class PermitPlan:
    """How many heads may send to a cold instance of a service, and how often."""

    fraction: float  # of heads that have a permit
    interval_s: float  # between two requests of one head with a permit


def permit_plan(head_count: int, cold_per_s: float, limit: int) -> PermitPlan:
    """Return the permit plan for a number of heads.

    Args:
        head_count: The number of heads; 0 if it is not known: then no head has a permit.
        cold_per_s: The requests per second that a cold instance can handle.
        limit: The maximum number of requests in any second.

    """
    if head_count <= 0 or limit <= 0:
        return PermitPlan(0.0, SEND_WINDOW_S)
    requests_each = floor(limit / HEAD_COUNT_MARGIN / head_count)  # per head in any window of SEND_WINDOW_S
    if requests_each >= 1:
        return PermitPlan(1.0, max(head_count / cold_per_s, SEND_WINDOW_S / requests_each))
    expected = min(cold_per_s * SEND_WINDOW_S, expected_permits(limit))
    return PermitPlan(min(1.0, expected / head_count), SEND_WINDOW_S)


@dataclass(slots=True)
class WarmupState:
    """What this head knows about whether one instance is cold. Times are seconds on the caller's clock."""

    cold_until: float = float("-inf")  # as the instance reported
    unconfirmed_since: float | None = None  # since when its state is unconfirmed; None if it is confirmed
    alive_since: float = float("-inf")  # the first sign of life after the last gap of more than MAX_ALIVE_GAP_S
    last_alive_at: float = float("-inf")
    last_answer_at: float = float("-inf")  # the last response to this head
    is_lost: bool = False
    last_sent_at: float = float("-inf")


class WarmupLimits:
    """The instances that this head treats as cold, and their limits. Times are seconds on the caller's clock."""

    def __init__(self, head_name: str) -> None:
        self.head_name = head_name
        self.head_count = 0  # the largest number of heads seen; 0 until it is known
        self.is_serving = False  # this head has traffic: an instance that is new from now on may be cold
        self.heartbeat_s = 0.0
        self.overshoot = 1.0
        self.slack = 0.0
        self.cold_per_s: dict[str, float] = {}  # by service
        self.cold_start_s: dict[str, float] = {}  # by service
        self.states: dict[str, WarmupState] = {}  # by instance
        self.plans: dict[tuple[int, float], PermitPlan] = {}  # by the number of heads and the rate

    # --- state of instances ----------------------------------------------------------------------------------------

    def apply_record(self, now: float, identity: str, warmup: Warmup | None) -> None:
        """Apply an instance's warmup record: how long it stays cold or that this is unconfirmed; None if it ended."""
        if warmup is None:
            self.remove(identity)
            return
        state = self.states.setdefault(identity, WarmupState())
        if not warmup.is_confirmed:
            if now - state.last_answer_at > RECENT_ANSWER_S:
                self.limit_until_confirmed(now, identity)
            return
        state.cold_until = now + warmup.remaining_s
        state.unconfirmed_since = None

    def limit_until_confirmed(self, now: float, identity: str) -> None:
        """Treat an instance as cold until a record from a later heartbeat arrives."""
        state = self.states.setdefault(identity, WarmupState())
        state.unconfirmed_since = now
        state.last_alive_at = float("-inf")

    def update_instance(self, now: float, instance: Instance, is_new: bool) -> None:
        """Apply an instance's record: an instance that starts under traffic, or that was marked lost, may be cold."""
        identity = instance.identity
        if is_new and self.is_serving and identity not in self.states:
            self.limit_until_confirmed(now, identity)
            self.record_alive(now, identity)
        state = self.states.setdefault(identity, WarmupState())
        is_lost = instance.state == LOST
        if is_lost and now - state.last_answer_at > RECENT_ANSWER_S:
            self.limit_until_confirmed(now, identity)
        if state.is_lost and not is_lost and state.unconfirmed_since is not None:
            state.unconfirmed_since = now
        state.is_lost = is_lost

    def record_answer(self, now: float, identity: str) -> None:
        """Record a response to this head."""
        state = self.states.get(identity)
        if state is not None:
            state.last_answer_at = now
            self.record_alive(now, identity)

    def record_alive(self, now: float, identity: str) -> None:
        """Record a sign of life: a response to this head, or a load report."""
        state = self.states.get(identity)
        if state is None:
            return
        if now - state.last_alive_at > MAX_ALIVE_GAP_S:
            state.alive_since = now
        state.last_alive_at = now

    def remove(self, identity: str) -> None:
        """Remove an instance that has ended."""
        self.states.pop(identity, None)

    # --- limits ----------------------------------------------------------------------------------------------------

    def is_limited(self, now: float, instance: Instance) -> bool:
        """Return whether an instance is treated as cold, and its requests are limited."""
        state = self.states.get(instance.identity)
        if state is None or self.cold_per_s.get(instance.service, 0.0) <= 0.0:
            return False
        return now < state.cold_until or self._is_unconfirmed(now, instance.service, state)

    def _is_unconfirmed(self, now: float, service: str, state: WarmupState) -> bool:
        """Return whether an instance may be cold though no record says so; clear this state once it is over."""
        if state.unconfirmed_since is None:
            return False
        if now - state.last_alive_at <= MAX_ALIVE_GAP_S:
            longest_s = max(self.cold_start_s.get(service, 0.0), HEARTBEATS_TO_CONFIRM * self.heartbeat_s)
            is_over = now - state.alive_since >= longest_s
        else:
            is_over = not state.is_lost and now - state.unconfirmed_since >= MAX_UNCONFIRMED_S
        if is_over:
            state.unconfirmed_since = None
        return not is_over

    def may_receive(self, now: float, instance: Instance) -> bool:
        """Return whether this head may send a request to an instance now."""
        if not self.is_limited(now, instance):
            return True
        plan = self._plan(self.cold_per_s[instance.service])
        last_sent_at = self.states[instance.identity].last_sent_at
        return now - last_sent_at >= plan.interval_s and self._draw(instance) < plan.fraction

    def limit_per_s(self, cold_per_s: float) -> int:
        """Return the maximum number of requests that a cold instance may get in any second."""
        return floor(cold_per_s * self.overshoot + self.slack)

    def _plan(self, cold_per_s: float) -> PermitPlan:
        key = self.head_count, cold_per_s
        plan = self.plans.get(key)
        if plan is None:
            self.plans = {key: permit_plan(self.head_count, cold_per_s, self.limit_per_s(cold_per_s))}
            plan = self.plans[key]
        return plan

    def _draw(self, instance: Instance) -> float:
        """Return this head's draw for an instance, in [0, 1): a hash, so that all processes of the head agree."""
        digest = blake2b(f"{instance.identity}\0{self.head_name}".encode(), digest_size=HASH_BYTES).digest()
        return int.from_bytes(digest) / HASH_RANGE

    def record_sent(self, now: float, instance: Instance) -> None:
        """Record that this head sends a request to an instance."""
        state = self.states.get(instance.identity)
        if state is not None:
            state.last_sent_at = now
