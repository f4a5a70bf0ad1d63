"""What is known of the nodes: the time each takes for a unit, others' work there, silence, and so its room."""

from __future__ import annotations

import math
import random
from collections import deque

from hophinge.core import interface as api
from hophinge.core.choice.node_state import DECAY, NodeState, RequestState, Reservation
from hophinge.core.choice.volume_state import VolumeState

MAX_IN_FLIGHT = 32  # requests out at one node, the design's own ceiling
MAX_IN_FLIGHT_OF_ALL = 256  # requests out at one node by all gateways, where that leaves less than the ceiling
TARGET_FRACTION = 0.15  # part of the tightest aim that a node's units out may fill; the rest is for others
DECAY_OF_ALL = 0.98  # the same for all nodes together: about fifty answers count
UNRESPONSIVE_AFTER = 1.0  # tightest aims without any answer after which a node with work out is taken as hung
WAKEUPS_PER_TARGET = 10  # looks within the tightest aim at a place where something is held
NOMINAL_QUANTILE = 0.25  # quantile of time per unit, by machine kind, that counts as served without waiting
NOMINAL_STEP = 0.05  # part by which one answer moves that quantile
DELAY_DECAY = 2.0  # tightest aims after which what was seen of a node's wait counts for a third
MAX_QUEUE_DELAY = 1.0  # tightest aims that a request of full worth waits for others' work at a node
DELAY_SMOOTHING = 0.5  # weight of the newest answer in a node's wait


def _check(settings: api.Settings) -> None:
    if settings.gateways < 1 or not settings.classes or not settings.plans or settings.tick_us < 1:
        raise ValueError("settings need a tick, gateways, classes and plans")
    if any(klass.target_latency_us <= 0 or klass.deadline_us <= 0 for klass in settings.classes):
        raise ValueError("a class needs an aim and a deadline above 0")


class GatewayState:
    """The facts of one gateway, and what answers taught it of its nodes."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        _check(settings)
        self.settings = settings
        self.rules = settings.rules
        self.random = random.Random(seed)
        self.target_us = min(klass.target_latency_us for klass in settings.classes)
        self.wake_interval_us = max(settings.tick_us, self.target_us // WAKEUPS_PER_TARGET)
        # An answer leaves so long before its deadline.
        self.answer_lead_us = self.wake_interval_us + 2 * settings.tick_us
        self.nodes: dict[str, NodeState] = {}
        self.shards: dict[int, list[NodeState]] = {}
        self.volumes: dict[str, VolumeState] = {}
        self.requests: dict[str, RequestState] = {}
        self.queued_new_objects: dict[str, RequestState] = {}  # held new objects, not bound to a node
        self.unplaced_reads: dict[str, RequestState] = {}  # held reads whose shard no listed node holds
        self.key_order: dict[tuple[str, str], list[RequestState]] = {}  # by volume and key, as key_rest
        self.key_blocked_until: dict[tuple[str, str], int] = {}
        self.retry_times = deque[int]()
        self.arrival_times = deque[int]()
        self.longest_deadlines: dict[int, int] = {}
        self.node_list_version = 0  # of the node list held
        self.processes = 1  # that share this gateway's part: two while it is replaced
        self.deadlines: list[tuple[int, str]] = []
        self.hedge_times: list[tuple[int, str]] = []  # when a second copy may go
        self.fair_use: dict[str, tuple[int, float]] = {}
        self.total_service_time = self.total_served_units = 0.0  # by all nodes, for the time per unit of one not heard
        self.nominal_unit_us: dict[int, float] = {}  # time per unit without waiting, by machine kind
        # of all nodes heard, lately
        self.typical_delay = 0.0
        self.typical_delay_at = 0
        self.next_watch_at = self.resumed_at = 0  # when it last found that it had stood still
        self.now = self.timer_at = 0  # when the next timer is due, 0: none is set
        self.new_objects_blocked = False  # no node has room for the new object next in turn
        self.changed_queues: dict[str, None] = {}  # places (nodes, "" for new objects) to look at now
        self.recheck_at: dict[str, int] = {}  # places where something is held, and when to look again
        self.active_nodes: dict[str, NodeState] = {}  # nodes with attempts out
        self.actions: list[api.Action] = []
        self.scorers: api.Scorers | None = None  # add times to nodes in `_place`

    @property
    def _mean_unit_us(self) -> float:
        return self.total_service_time / self.total_served_units if self.total_served_units else 0.0

    def _unit_us(self, node: NodeState) -> float:
        """Learned time per unit of a node, or the average of those heard."""
        return node.service_time / node.served_units if node.served_units else self._mean_unit_us

    def _nominal_us(self, node: NodeState) -> float:
        return self.nominal_unit_us.get(node.entry.kind, self._mean_unit_us)

    def _queue_delay(self, node: NodeState) -> float:
        """Others' work ahead at a node; what was seen fades into what is usual at all nodes."""
        usual = self._typical_delay()
        return (
            usual + (node.queue_delay - usual) * self._confidence(node.queue_delay_at) if node.queue_delay_at else usual
        )

    def _confidence(self, observed_at: int) -> float:
        return math.exp((observed_at - self.now) / (DELAY_DECAY * self.target_us))

    def _typical_delay(self) -> float:
        """What nodes' waits were lately; it fades too, or who holds all back would never hear of better."""
        return self.typical_delay * self._confidence(self.typical_delay_at)

    def _has_capacity(self, node: NodeState, units: float) -> bool:
        """The bound on units out: the learned rate times a part of the tightest aim, floored and capped."""
        last = max((slot.sent_at for slot in node.reservations.values() if slot.units), default=0)
        lone = node.is_unresponsive and self._typical_delay() < TARGET_FRACTION * self.target_us
        if not last or (lone and self.now - last > 2 * UNRESPONSIVE_AFTER * self.target_us):
            return True  # one may go when none is out that may answer; what is silent alone is tried anew
        limit = max(1, min(MAX_IN_FLIGHT, MAX_IN_FLIGHT_OF_ALL // self.settings.gateways) // self.processes)
        if node.is_unresponsive or node.failures > 1 or len(node.reservations) >= limit:
            return False
        # Many gateways' floors add up: where answers take longer than the part, the floor shrinks with them,
        # down to one request out. It covers every cause of slow answers; it costs rate where all work is big.
        floor = self.settings.max_units * min(1.0, TARGET_FRACTION * self.target_us / max(node.recent_latency, 1.0))
        bound = max(TARGET_FRACTION * self.target_us / unit_us if (unit_us := self._unit_us(node)) > 0 else 0.0, floor)
        return node.units_out + units <= bound

    def _accepts_work(self, node: NodeState) -> bool:
        return node.backoff_until <= self.now and self._has_capacity(node, min(1.0, self.settings.mean_units))

    def _queue_changed(self, node: str) -> None:
        """Look at a node's held requests, and at new objects, as something changed there."""
        self.new_objects_blocked = False
        self.changed_queues[""] = None
        if book := self.nodes.get(node):
            book.is_blocked = False
            self.changed_queues[node] = None

    def _release(self, node: NodeState, attempt: tuple[str, int]) -> Reservation:
        reservation = node.release(attempt, self.now)
        if not node.reservations:
            del self.active_nodes[node.entry.node]
        self._queue_changed(node.entry.node)
        return reservation

    def _record_service(self, node: NodeState, reservation: Reservation, duration: int, done: int) -> None:
        """Learn from what a node has done, and when it was done."""
        # Nodes take requests in turn: what is out twice as long as one answered has lost its answer. A
        # book that kept room for it would leave an idle node unused until its client gives up.
        now = self.now
        for other in node.reservations.values():
            if now - other.sent_at > 2 * (now - reservation.sent_at):
                node.units_out -= other.units
                other.units = 0.0
        self.total_service_time = self.total_service_time * DECAY_OF_ALL + node.record_service(reservation, done)
        self.total_served_units = self.total_served_units * DECAY_OF_ALL + reservation.units
        # Others' work, from an answer: what it took beyond the nominal time of our units, ahead too.
        units = max(reservation.units, 1.0)
        nominal = self.nominal_unit_us.get(node.entry.kind, duration / units)
        nominal *= 1 + NOMINAL_STEP * (NOMINAL_QUANTILE if duration / units > nominal else NOMINAL_QUANTILE - 1)
        self.nominal_unit_us[node.entry.kind] = nominal
        wait = max(0.0, duration - (reservation.units_ahead + units) * nominal)
        before, usual = self._queue_delay(node), self._typical_delay()
        self.typical_delay = usual + (wait - usual) * (1 - DECAY)
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
        for node, book in self.active_nodes.items():
            if (
                not book.is_unresponsive
                and self.now - max(self.resumed_at, book.last_activity()) > UNRESPONSIVE_AFTER * self.target_us
            ):
                book.is_unresponsive = True
                self.actions.append(api.Log(f"node {node} has gone silent with {len(book.reservations)} attempts out"))
