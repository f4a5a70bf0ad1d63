"""The state of one gateway: its nodes with their time per unit, queue delay, health and capacity."""

from __future__ import annotations

import math
import random
from collections import deque

from hophinge.core import interface as api
from hophinge.core.choice.node_state import DECAY, NodeState, RequestState, Reservation
from hophinge.core.choice.volume_state import VolumeState

MAX_IN_FLIGHT = 32  # requests in flight at one node from this gateway
MAX_IN_FLIGHT_OF_ALL = 256  # the same from all gateways, where that gives a lower limit for each
TARGET_FRACTION = 0.15  # of the tightest target latency that units in flight at a node may take; the rest is for others
DECAY_OF_ALL = 0.98  # as DECAY, for all nodes together: about fifty answers count
UNRESPONSIVE_AFTER = 1.0  # tightest target latencies without an answer, with attempts in flight
WAKEUPS_PER_TARGET = 10  # checks of a non-empty queue within the tightest target latency
NOMINAL_QUANTILE = 0.25  # quantile of the time per unit, by machine type, that counts as service without queueing
NOMINAL_STEP = 0.05  # relative change of that quantile by one answer
DELAY_DECAY = 2.0  # tightest target latencies after which an observed queue delay counts for a third
MAX_QUEUE_DELAY = 1.0  # tightest target latencies of queue delay at a node that a request of full value accepts
DELAY_SMOOTHING = 0.5  # weight of the newest answer in a node's queue delay


def _check(settings: api.Settings) -> None:
    if settings.gateways < 1 or not settings.classes or not settings.plans or settings.tick_us < 1:
        raise ValueError("settings need a tick above 0, a gateway, a class and a plan")
    if any(klass.target_latency_us <= 0 or klass.deadline_us <= 0 for klass in settings.classes):
        raise ValueError("a class needs a target latency and a deadline above 0")


class GatewayState:
    """The state of one gateway, and what it has learned about its nodes from their answers."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        _check(settings)
        self.settings = settings
        self.rules = settings.rules
        self.random = random.Random(seed)
        self.target_us = min(klass.target_latency_us for klass in settings.classes)
        self.wake_interval_us = max(settings.tick_us, self.target_us // WAKEUPS_PER_TARGET)
        # A request is answered this long before its deadline.
        self.answer_lead_us = self.wake_interval_us + 2 * settings.tick_us
        self.nodes: dict[str, NodeState] = {}
        self.shards: dict[int, list[NodeState]] = {}
        self.volumes: dict[str, VolumeState] = {}
        self.requests: dict[str, RequestState] = {}
        self.queued_new_objects: dict[str, RequestState] = {}  # requests for new objects, not bound to a node
        self.unplaced_reads: dict[str, RequestState] = {}  # requests whose shard has no usable node
        self.key_order: dict[tuple[str, str], list[RequestState]] = {}  # of ordered classes, as they arrived
        self.key_blocked_until: dict[tuple[str, str], int] = {}
        self.retry_times = deque[int]()
        self.arrival_times = deque[int]()
        self.longest_deadlines: dict[int, int] = {}
        self.node_list_version = 0  # increases with each list
        self.processes = 1  # that share this gateway's part: two during a handoff
        self.deadlines: list[tuple[int, str]] = []
        self.hedge_times: list[tuple[int, str]] = []  # when a request may be hedged
        self.fair_use: dict[str, tuple[int, float]] = {}  # when it was computed, and use per weight, by queue
        self.total_service_time = self.total_served_units = 0.0  # of all nodes, used for nodes without answers
        self.nominal_unit_us: dict[int, float] = {}  # time per unit without queueing, by machine type
        # Recent queue delay over all nodes, and when it was last observed.
        self.typical_delay = 0.0
        self.typical_delay_at = 0
        # When to subscribe to node lists (negative: not needed), and when this process last resumed after a stall.
        self.next_watch_at = self.resumed_at = 0
        self.now = self.timer_at = 0  # timer_at: when the next timer expires, 0 if none is set
        self.new_objects_blocked = False  # no node has capacity for the next new object
        self.changed_queues: dict[str, None] = {}  # to dispatch now, by node; "" for new objects
        self.recheck_at: dict[str, int] = {}  # when to check non-empty queues again
        self.active_nodes: dict[str, NodeState] = {}  # with attempts in flight
        self.actions: list[api.Action] = []
        self.scorers: api.Scorers | None = None  # add times to nodes in `_place_new_object`

    @property
    def _mean_unit_us(self) -> float:
        return self.total_service_time / self.total_served_units if self.total_served_units else 0.0

    def _unit_us(self, node: NodeState) -> float:
        """Return the learned microseconds per unit of a node, or the mean of all nodes if it has no answer yet."""
        return node.service_time / node.served_units if node.served_units else self._mean_unit_us

    def _nominal_us(self, node: NodeState) -> float:
        return self.nominal_unit_us.get(node.entry.kind, self._mean_unit_us)

    def _queue_delay(self, node: NodeState) -> float:
        """Return the wait for other gateways' work at a node; observations decay to the typical delay of all nodes."""
        typical = self._typical_delay()
        return (
            typical + (node.queue_delay - typical) * self._confidence(node.queue_delay_at)
            if node.queue_delay_at
            else typical
        )

    def _confidence(self, observed_at: int) -> float:
        return math.exp((observed_at - self.now) / (DELAY_DECAY * self.target_us))

    def _typical_delay(self) -> float:
        """Return the recent queue delay over all nodes.

        It decays too, as a gateway that holds back all requests gets no answers that show a shorter delay.
        """
        return self.typical_delay * self._confidence(self.typical_delay_at)

    def _has_capacity(self, node: NodeState, units: float) -> bool:
        """Return whether a node can take more units.

        The units in flight are bounded by the learned rate times a fraction of the tightest target latency, with a
        floor; the number of requests is bounded too.
        """
        last_sent_at = max(
            (reservation.sent_at for reservation in node.reservations.values() if reservation.units), default=0
        )
        is_alone_unresponsive = node.is_unresponsive and self._typical_delay() < TARGET_FRACTION * self.target_us
        # A request may be sent if no attempt in flight is still expected to be answered, and as a trial now and then if
        # this node is unresponsive while the typical queue delay of all nodes is short.
        if not last_sent_at or (
            is_alone_unresponsive and self.now - last_sent_at > 2 * UNRESPONSIVE_AFTER * self.target_us
        ):
            return True
        limit = max(1, min(MAX_IN_FLIGHT, MAX_IN_FLIGHT_OF_ALL // self.settings.gateways) // self.processes)
        if node.is_unresponsive or node.failures > 1 or len(node.reservations) >= limit:
            return False
        # The floors of many gateways add up: where answers take longer than that fraction of the target, the floor
        # shrinks down to one request in flight. This covers all causes of slow answers, and costs throughput where all
        # requests are large.
        floor = self.settings.max_units * min(1.0, TARGET_FRACTION * self.target_us / max(node.recent_latency, 1.0))
        bound = max(TARGET_FRACTION * self.target_us / unit_us if (unit_us := self._unit_us(node)) > 0 else 0.0, floor)
        return node.units_out + units <= bound

    def _accepts_work(self, node: NodeState) -> bool:
        return node.backoff_until <= self.now and self._has_capacity(node, min(1.0, self.settings.mean_units))

    def _queue_changed(self, node_name: str) -> None:
        """Dispatch a node's queue and the new objects again, as the node's state has changed."""
        self.new_objects_blocked = False
        self.changed_queues[""] = None
        if node := self.nodes.get(node_name):
            node.is_blocked = False
            self.changed_queues[node_name] = None

    def _release(self, node: NodeState, attempt: tuple[str, int]) -> Reservation:
        reservation = node.release(attempt, self.now)
        if not node.reservations:
            del self.active_nodes[node.entry.node]
        self._queue_changed(node.entry.node)
        return reservation

    def _record_service(self, node: NodeState, reservation: Reservation, duration: int, done: int) -> None:
        """Learn from an attempt that took `duration` and was completed by its node at `done`."""
        # Nodes serve requests in order: the answer of an attempt in flight for over twice as long as an answered one is
        # taken as lost. Keeping its units reserved would leave an idle node unused until the client's deadline.
        now = self.now
        for other in node.reservations.values():
            if now - other.sent_at > 2 * (now - reservation.sent_at):
                node.units_out -= other.units
                other.units = 0.0
        self.total_service_time = self.total_service_time * DECAY_OF_ALL + node.record_service(reservation, done)
        self.total_served_units = self.total_served_units * DECAY_OF_ALL + reservation.units
        # The wait for other gateways' work is the duration beyond the nominal time of our units, those ahead included.
        units = max(reservation.units, 1.0)
        nominal = self.nominal_unit_us.get(node.entry.kind, duration / units)
        nominal *= 1 + NOMINAL_STEP * (NOMINAL_QUANTILE if duration / units > nominal else NOMINAL_QUANTILE - 1)
        self.nominal_unit_us[node.entry.kind] = nominal
        wait = max(0.0, duration - (reservation.units_ahead + units) * nominal)
        before, typical = self._queue_delay(node), self._typical_delay()
        self.typical_delay = typical + (wait - typical) * (1 - DECAY)
        self.typical_delay_at = self.now
        node.queue_delay = before + (wait - before) * DELAY_SMOOTHING
        node.queue_delay_at = self.now
        if node.is_unresponsive:
            node.is_unresponsive = False
            self.actions.append(api.Log(f"node {node.entry.node} answers again"))
        node.failures = 0

    def _watch_nodes(self) -> None:
        if self.settings.discovery is api.Discovery.ON_REQUEST and 0 <= self.next_watch_at <= self.now:
            self.actions.append(api.Watch())
            self.next_watch_at = self.now + max(self.rules.watch_within_us // 2, self.target_us)
        for name, node in self.active_nodes.items():
            if (
                not node.is_unresponsive
                and self.now - max(self.resumed_at, node.last_activity()) > UNRESPONSIVE_AFTER * self.target_us
            ):
                node.is_unresponsive = True
                self.actions.append(
                    api.Log(f"node {name} is unresponsive with {len(node.reservations)} attempts in flight")
                )
