"""The rules for sending a request at all and for sending it to a node, independent of its value."""

from __future__ import annotations

from hophinge.core import interface as api
from hophinge.core.choice.node_state import NodeState, RequestState
from hophinge.core.choice.gateway_state import MAX_QUEUE_DELAY, GatewayState

SLOW_START_FRACTION = 0.5  # of a cold node's calculated allowance that is used: units only approximate work


class SendRules(GatewayState):
    """The rules, which are checked before each send."""

    def _may_send(self, request: RequestState) -> bool:
        """Return whether the rules about the request alone allow another attempt."""
        arrival, klass, rules, now = request.arrival, request.klass, self.rules, self.now
        # Nothing is sent for a request that is answered or past its deadline. One attempt at a time, or two if it is
        # hedged; the second one must also keep the rules for retries.
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
            # Retry budget in a sliding window; on its edge retries count and arrivals do not, to be on the safe side.
            if rules.budget_us:
                while self.retry_times and self.retry_times[0] < now - rules.budget_us:
                    self.retry_times.popleft()
                arrived = sum(at > now - rules.budget_us for at in self.arrival_times)
                if len(self.retry_times) + 1 > rules.budget_free + rules.budget_share * arrived:
                    return False
        # Ordered classes: one request of a key at a time, and a pause after an attempt that may still run.
        elif (
            klass.in_order
            and arrival.key
            and (
                self.key_order[arrival.volume, arrival.key][0] is not request
                or self.key_blocked_until.get((arrival.volume, arrival.key), 0) > now
            )
        ):
            return False
        # The limit of the plan, which a request is charged to once.
        return request.is_charged or request.volume.within_limit(arrival.units, now)

    def _may_retry(self, request: RequestState) -> bool:
        """Return whether the number of attempts and the time for repeats allow another attempt."""
        until = self._retry_deadline(request)
        return not 0 < self.settings.allowed.attempts <= request.attempts and (not until or self.now < until)

    def _takes_retry_budget(self, request: RequestState) -> bool:
        return request.arrival.bounds is None or request.arrival.bounds.take_retry(self.now, request.attempts)

    def _retry_deadline(self, request: RequestState) -> int:
        """Return until when a request may be repeated, by its class's effect and when it may have run; 0: no limit."""
        if request.klass.effect is api.Effect.SAFE or (request.may_have_run_on is None and not request.in_flight):
            return 0
        is_keyed = request.klass.effect is api.Effect.KEYED and not request.arrival.keyless
        return (
            max(1, request.may_have_run_since + request.klass.dedup_window_us - self.settings.tick_us)
            if is_keyed
            else 1
        )

    def _is_within_bounds(self, request: RequestState, node: NodeState) -> bool:
        """Return whether a request's bounds allow a node; False if one of its attempts is in flight there."""
        arrival, ran_on = request.arrival, request.may_have_run_on
        if node in request.in_flight.values():
            return False
        shard = arrival.shard if arrival.shard >= 0 or ran_on is None else ran_on.entry.shard
        return arrival.bounds is None or arrival.bounds.allows(node.entry.node, shard)

    def _may_send_to(self, request: RequestState, node: NodeState) -> bool:
        """Return whether the rules about a node allow a request there."""
        rules, now = self.rules, self.now
        if request.arrival.bounds is not None and not self._is_within_bounds(request, node):
            return False
        # No double effect: a keyed request that may have run is only repeated at nodes that drop the repeat.
        if request.may_have_run_on is not None and request.klass.effect is not api.Effect.SAFE:
            previous, entry, scope = request.may_have_run_on.entry, node.entry, request.klass.scope
            if (scope is api.DedupScope.ZONE and previous.zone != entry.zone) or (
                scope is api.DedupScope.CELL and previous.shard != entry.shard
            ):
                return False
        # Not to draining nodes, and only to the shard that holds the data.
        if node.entry.phase is not api.Phase.ON or 0 <= request.arrival.shard != node.entry.shard:
            return False
        # Cold nodes: within this gateway's equal share of what a starting node can take in the rule's window.
        warmth = node.warmth(now, rules.slow_start_us)
        return warmth >= 1.0 or self._is_within_slow_start(
            request, node, rules.slow_start_share + (1 - rules.slow_start_share) * warmth
        )

    def _is_within_slow_start(self, request: RequestState, node: NodeState, capacity_fraction: float) -> bool:
        """Return whether a starting node, at a fraction of its capacity, can take a request beside other gateways'."""
        rules, now, units, gateways = self.rules, self.now, request.arrival.units, self.settings.gateways
        sent = node.units_since(now - rules.overload_window_us)
        usual_units = rules.overload_window_us / unit_us if (unit_us := self._unit_us(node)) > 0 else 0.0
        multiple = rules.overload_multiple * capacity_fraction
        max_units = max(rules.slow_start_units, SLOW_START_FRACTION * multiple * usual_units) / self.processes
        if sent + units <= max_units / gateways:
            return True
        # With many gateways an equal share is less than one request. So each admits reads with a probability, which
        # adds up to the right total however many gateways send, and however unevenly: at most one read in the window,
        # with a lower probability if one from each gateway is more than the node can take. Once the node has answered
        # quickly, more are admitted, as a surge of a volume comes through few gateways.
        is_quick = node.served_units > 0 and node.queue_delay <= MAX_QUEUE_DELAY * self.target_us
        is_within_share = sent + units <= max_units / max(1, request.arrival.gateways) if is_quick else not sent
        probability = (
            (1.0 if is_quick else SLOW_START_FRACTION * (1.0 if gateways <= max_units else 0.8))
            * multiple
            / self.processes
        )
        return (
            is_within_share
            and request.random_draw < probability
            and (request.arrival.shard >= 0 or is_quick)
            and now < request.target_at
        )
