"""The rules: what a request may do at all, and what it may do at a node; no worth enters here."""

from __future__ import annotations

from hophinge.core import interface as api
from hophinge.core.choice.node_state import NodeState, RequestState
from hophinge.core.choice.gateway_state import MAX_QUEUE_DELAY, GatewayState

SLOW_START_FRACTION = 0.5  # part of a cold node's reckoned allowance used: units only stand for work


class SendRules(GatewayState):
    """Every rule, asked before each send."""

    def _may_send(self, request: RequestState) -> bool:
        """The rules that look at the request alone; none looks at what a send would be worth."""
        arrival, klass, rules, now = request.arrival, request.klass, self.rules, self.now
        # Answered once: nothing is sent for a request that has its answer, or whose client gives up.
        # One attempt at a time but for a second copy, which also keeps within what forbids those.
        if (
            request.is_answered
            or request.is_streaming
            or now >= request.deadline
            or len(request.in_flight) > request.is_hedged
        ):
            return False
        if request.attempts:
            if not self._may_retry(request):
                return False
            # Budget of further attempts in a sliding window; it ends open, so that no edge is counted short.
            if rules.budget_us:
                while self.retry_times and self.retry_times[0] < now - rules.budget_us:
                    self.retry_times.popleft()
                taken = sum(at > now - rules.budget_us for at in self.arrival_times)
                if len(self.retry_times) + 1 > rules.budget_free + rules.budget_share * taken:
                    return False
        # Order: a key's requests one at a time, and a rest after an attempt that may still run.
        elif (
            klass.in_order
            and arrival.key
            and (
                self.key_order[arrival.volume, arrival.key][0] is not request
                or self.key_blocked_until.get((arrival.volume, arrival.key), 0) > now
            )
        ):
            return False
        # The plan's limit.
        return request.is_charged or request.volume.within_limit(arrival.units, now)

    def _may_retry(self, request: RequestState) -> bool:
        """Whether any further attempt could ever pass the gate."""
        until = self._retry_deadline(request)
        return not 0 < self.settings.allowed.attempts <= request.attempts and (not until or self.now < until)

    def _takes_retry_budget(self, request: RequestState) -> bool:
        return request.arrival.bounds is None or request.arrival.bounds.take_retry(self.now, request.attempts)

    def _retry_deadline(self, request: RequestState) -> int:
        """Until when a request may run again, by its class's effect and since when it may have run; 0: no end."""
        if request.klass.effect is api.Effect.SAFE or (request.may_have_run_on is None and not request.in_flight):
            return 0
        keyed = request.klass.effect is api.Effect.KEYED and not request.arrival.keyless
        return (
            max(1, request.may_have_run_since + request.klass.dedup_window_us - self.settings.tick_us) if keyed else 1
        )

    def _is_within_bounds(self, request: RequestState, node: NodeState) -> bool:
        """Whether a request's bounds, and its copy that is out, leave it a node."""
        arrival, ran_on = request.arrival, request.may_have_run_on
        if node in request.in_flight.values():
            return False
        shard = arrival.shard if arrival.shard >= 0 or ran_on is None else ran_on.entry.shard
        return arrival.bounds is None or arrival.bounds.allows(node.entry.node, shard)

    def _may_send_to(self, request: RequestState, node: NodeState) -> bool:
        """The rules that look at the node."""
        rules, now = self.rules, self.now
        if request.arrival.bounds is not None and not self._is_within_bounds(request, node):
            return False
        # No double effect: a keyed request that may have run stays with the nodes that drop its repeat.
        if request.may_have_run_on is not None and request.klass.effect is not api.Effect.SAFE:
            there, here, scope = request.may_have_run_on.entry, node.entry, request.klass.scope
            if (scope is api.DedupScope.ZONE and there.zone != here.zone) or (
                scope is api.DedupScope.CELL and there.shard != here.shard
            ):
                return False
        # Drains, and the shard that holds the data.
        if node.entry.phase is not api.Phase.ON or 0 <= request.arrival.shard != node.entry.shard:
            return False
        # Cold nodes: this gateway's even part of what a starting node bears within the rule's time.
        warm = node.warmth(now, rules.slow_start_us)
        return warm >= 1.0 or self._is_within_slow_start(
            request, node, rules.slow_start_share + (1 - rules.slow_start_share) * warm
        )

    def _is_within_slow_start(self, request: RequestState, node: NodeState, warm: float) -> bool:
        """Whether a starting node bears a request, of all that may come to it from other gateways."""
        rules, now, units, heads = self.rules, self.now, request.arrival.units, self.settings.gateways
        sent = node.units_since(now - rules.overload_window_us)
        usual = rules.overload_window_us / unit_us if (unit_us := self._unit_us(node)) > 0 else 0.0
        bears = rules.overload_multiple * warm
        most = max(rules.slow_start_units, SLOW_START_FRACTION * bears * usual) / self.processes
        if sent + units <= most / heads:
            return True
        # The even part of many gateways is under one request. So each lets through its seeded chance of its reads,
        # which sums up however many ask and however unevenly: one in the rule's time, a lesser chance where one each is
        # more than the node bears, and more once it has answered soon, as a volume's surge comes through few gateways.
        soon = node.served_units > 0 and node.queue_delay <= MAX_QUEUE_DELAY * self.target_us
        few = sent + units <= most / max(1, request.arrival.gateways) if soon else not sent
        chance = (1.0 if soon else SLOW_START_FRACTION * (1.0 if heads <= most else 0.8)) * bears / self.processes
        return few and request.random_draw < chance and (request.arrival.shard >= 0 or soon) and now < request.target_at
