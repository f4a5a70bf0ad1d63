"""Sends queued requests in order of their value, a new object to the node of its group that is free earliest."""

from __future__ import annotations

import heapq
from hashlib import blake2b

from hophinge.core import interface as api
from hophinge.core.choice.node_state import NodeState, RequestState
from hophinge.core.choice.gateway_state import WAKEUPS_PER_TARGET, MAX_QUEUE_DELAY
from hophinge.core.choice.request_lifecycle import RequestLifecycle
from hophinge.core.choice.volume_state import DecayingRate

GROUP_SIZE = 9  # nodes of a key's group: the negotiating group of the paper, three times three replicas
UNLEARN_AFTER = 8.0  # tightest target latencies, times gateways, after which an idle node's learned times are reset
DELAY_EXPONENT = 0.7  # the longest accepted queue delay is proportional to the earned fraction of value to this power
# Negative value, target time and name, which give the order; the request, and its node (None: a new object).
Ready = tuple[float, int, str, RequestState, NodeState | None]


class Dispatcher(RequestLifecycle):
    """Decides when queued requests are sent, and to which nodes."""

    def _value_factor(self, request: RequestState, queue_key: str, wait: float) -> float:
        """Return the fraction of its full value that a request earns now, after a wait in microseconds."""
        volume, factor = request.volume, 1.0
        if request.arrival.is_background or volume.reserve_left(self.now) < request.arrival.units:
            own = volume.excess_use.get(queue_key)
            within = own is None or own.rate(self.now) <= self._fair_use_per_weight(queue_key) * volume.plan.weight
            factor = (
                self.settings.share_value if within and not request.arrival.is_background else self.settings.spare_value
            )
        return factor if self.now + wait <= request.target_at else factor * request.klass.late_value

    def _fair_use_per_weight(self, queue_key: str) -> float:
        """Return the use of a queue beyond reserves per unit of plan weight, over all volumes with such use."""
        computed_at, use_per_weight = self.fair_use.get(queue_key, (-self.target_us, 0.0))
        if self.now - computed_at >= self.target_us / WAKEUPS_PER_TARGET * 3:
            volumes = [volume for volume in self.volumes.values() if queue_key in volume.excess_use]
            uses = [(volume.excess_use[queue_key].rate(self.now), volume.plan.weight) for volume in volumes]
            weight = sum(weight for use, weight in uses if use > 0.1)
            use_per_weight = sum(use for use, _ in uses if use > 0.1) / weight if weight > 0 else 0.0
            self.fair_use[queue_key] = self.now, use_per_weight
        return use_per_weight

    def _candidates(self, request: RequestState) -> list[NodeState]:
        """Return the group of a key: the permitted nodes of lowest rendezvous hash; their order breaks ties."""
        key, is_unbounded = request.arrival.key or request.arrival.request, request.arrival.bounds is None
        nodes = [
            node
            for shard_nodes in self.shards.values()
            for node in shard_nodes
            if is_unbounded or self._is_within_bounds(request, node)
        ]
        nodes.sort(key=lambda node: blake2b(f"{key}\0{node.entry.node}".encode(), digest_size=8).digest())
        return nodes[:GROUP_SIZE]

    def _dispatch(self, queue_keys: list[str]) -> None:
        """Send queued requests of the given queues as far as possible, the most valuable first."""
        ready: list[Ready] = []
        queues = [
            (key, node := self.nodes.get(key), node.queued if node else {} if key else self.queued_new_objects)
            for key in queue_keys
        ]
        for key, node, queue in queues:
            if self.recheck_at.get(key, self.now) <= self.now:
                self.recheck_at.pop(key, None)
                if node is not None:
                    node.is_blocked = False
                else:
                    self.new_objects_blocked = False
            if self.new_objects_blocked if node is None else node.is_blocked or not self._accepts_work(node):
                continue
            wait = max(node.free_at - self.now, self._queue_delay(node)) if node is not None else 0.0
            unit_us = self._nominal_us(node) if node is not None else 0.0
            for name, request in queue.items():
                if self._may_send(request):
                    # Value of serving a unit now, by class, price, remaining reserve and timeliness.
                    factor = self._value_factor(request, key, wait + request.arrival.units * unit_us)
                    value = request.klass.value * request.volume.plan.price * factor
                    ready.append((-value, request.target_at, name, request, node))
        for _, _, _, request, chosen in self._shed(sorted(ready, key=lambda row: row[:3])):
            # A request that is next and does not fit blocks its queue: smaller ones would overtake it for ever, and
            # checking the queue again for each arrival is too expensive under a flood (incident i75347d).
            if chosen is None:
                if not self.new_objects_blocked and not self._place_new_object(request):
                    self.new_objects_blocked = True
            elif not chosen.is_blocked and not self._send(request, chosen):
                chosen.is_blocked = not self._has_capacity(chosen, request.arrival.units)
        for key, _, queue in queues:
            if queue and key not in self.recheck_at:
                unblock_times = [until for until in self.key_blocked_until.values() if until > self.now]
                self.recheck_at[key] = min([self.now + self.wake_interval_us, *unblock_times])

    def _shed(self, ready: list[Ready]) -> list[Ready]:
        """Answer unsent requests that the work queued ahead would delay past their deadline; return the others.

        Otherwise a flood would be queued as a whole (incident i75347d).
        """
        wait_by_queue, kept = dict[str, float](), list[Ready]()
        for row in ready:
            request, node = row[3], row[4]
            queue_key = node.entry.node if node is not None else ""
            unit_us = self._unit_us(node) if node is not None else self._mean_unit_us / max(1, len(self.shards))
            wait = wait_by_queue[queue_key] = wait_by_queue.get(queue_key, 0.0) + request.arrival.units * unit_us
            if self.now + wait > request.deadline and not request.attempts:
                self._answer(request)
                idle_since = self.now - UNLEARN_AFTER * self.target_us * self.settings.gateways
                idle = [
                    other
                    for other in self.nodes.values()
                    if not other.reservations and other.last_answer_at < idle_since
                ]
                # An idle node gets no answers that correct times learned during a stall: without a reset, its requests
                # would be refused for ever.
                if node is not None and node in idle:
                    node.service_time = node.served_units = 0.0
                if len(idle) == len(self.nodes):
                    self.total_service_time = self.total_served_units = 0.0
            else:
                kept.append(row)
        return kept

    def _place_new_object(self, request: RequestState) -> bool:
        """Send a new object to the node of its key's group that would complete it earliest; returns if it was sent."""
        units, now = request.arrival.units, self.now
        version = self.node_list_version, request.arrival.bounds.version if request.arrival.bounds is not None else 0
        if request.candidates_version != version or request.is_hedged:
            request.candidates_version, request.candidates = version, self._candidates(request)
        available = [
            node
            for node in request.candidates
            if not node.is_blocked and not node.is_unresponsive and self._accepts_work(node)
        ]
        added_us = self.scorers.added_us(now, request.arrival, available) if self.scorers is not None else None
        available.sort(
            key=lambda node: (
                node.failures > 0,
                max(node.free_at, now + self._queue_delay(node))
                + units * self._unit_us(node)
                + (added_us.get(node.entry.node, 0.0) if added_us else 0.0),
            )
        )
        return any(self._send(request, node) for node in available)

    def _send(self, request: RequestState, node: NodeState) -> bool:
        """Send a request to a node if all rules allow it; returns whether it was sent. All sends go through here."""
        arrival, now = request.arrival, self.now
        if (
            not self._has_capacity(node, arrival.units)
            or not self._may_send(request)
            or not self._may_send_to(request, node)
        ):
            return False
        # A request that earns less accepts only a shorter wait for other gateways' work. As all gateways observe that
        # wait, reserves go before fair shares and these before spare capacity without communication among gateways.
        wait = self._queue_delay(node)
        factor = self._value_factor(request, node.entry.node, wait + arrival.units * self._nominal_us(node))
        if wait > MAX_QUEUE_DELAY * self.target_us * factor**DELAY_EXPONENT:
            return False
        if not request.is_charged:
            request.is_charged = True
            request.volume.limit.level -= arrival.units
        volume = request.volume
        if volume.reserve_left(now) >= arrival.units:
            volume.reserve.level -= arrival.units
        elif not arrival.is_background:
            for queue_key in (node.entry.node, ""):
                volume.excess_use.setdefault(queue_key, DecayingRate()).add(now, arrival.units)
        volume.local_use.add(now, arrival.units)
        if request.attempts:
            self.retry_times.append(now)
        request.queue.pop(arrival.request, None)
        retry_deadline = self._retry_deadline(request)
        request.may_have_run_since = now if request.may_have_run_on is None else request.may_have_run_since
        node.reserve((arrival.request, request.attempts), arrival.units, self._unit_us(node), now)
        node.recent_units = node.units_since(now - self.rules.overload_window_us) + arrival.units
        node.recent_sends.append((now, arrival.units))
        self.active_nodes[node.entry.node] = node
        request.in_flight[request.attempts] = node
        request.attempts += 1
        may_hedge = self.settings.allowed.hedging and request.klass.effect is api.Effect.SAFE
        if may_hedge and arrival.bounds is not None and arrival.bounds.hedge_delay_us and not request.klass.in_order:
            heapq.heappush(self.hedge_times, (now + arrival.bounds.hedge_delay_us, arrival.request))
        self.actions.append(api.Send(arrival.request, node.entry.node, 0, retry_deadline))
        return True
