"""The state of each node with its attempts in flight, and of each request, in flight or queued."""

from __future__ import annotations

from collections import deque

from hophinge.core import interface as api
from hophinge.core.choice.volume_state import VolumeState

DECAY = 0.9  # factor of older samples at each new answer: about ten answers count
MAX_QUEUE_FRACTION = 0.25  # fraction of its time left on arrival that a request may be queued without having been sent


class Reservation:
    """The estimated time that one attempt takes at a node."""

    __slots__ = ("units_ahead", "begin", "end", "sent_at", "units")

    def __init__(self, begin: float, end: float, sent: int, units: float, ahead: float) -> None:
        self.begin = begin
        self.end = end
        self.sent_at = sent
        self.units = units
        self.units_ahead = ahead


class NodeState:
    """A node as this gateway observes it: its reservations, its time per unit, and its health."""

    def __init__(self, entry: api.NodeEntry) -> None:
        self.entry = entry
        self.reservations: dict[tuple[str, int], Reservation] = {}
        self.free_at = 0.0
        self.units_out = 0.0
        self.service_time = self.served_units = self.recent_units = 0.0  # recent_units: those of `recent_sends`
        self.last_answer_at = 0
        self.recent_latency = 0.0  # of answers, in microseconds
        # Wait for the work of other gateways, in microseconds, and when it was last observed (0: never).
        self.queue_delay = 0.0
        self.queue_delay_at = 0
        self.backoff_until = 0
        self.failures = 0  # attempts failed since the last served one, without those sent before a backoff ended
        self.is_unresponsive = False
        self.is_blocked = False  # its next queued request does not fit until an attempt ends
        self.recent_sends: deque[tuple[int, float]] = deque()
        self.queued: dict[str, RequestState] = {}

    def reserve(self, attempt: tuple[str, int], units: float, unit_us: float, now: int) -> None:
        """Reserve the estimated time of an attempt, after those of all others."""
        begin = max(self.free_at, now)
        self.free_at = begin + units * unit_us
        self.reservations[attempt] = Reservation(begin, self.free_at, now, units, self.units_out)
        self.units_out += units

    def release(self, attempt: tuple[str, int], now: int) -> Reservation:
        """Remove and return an attempt's reservation; later reservations move up by its remaining time."""
        reservation = self.reservations.pop(attempt)
        self.units_out = self.units_out - reservation.units if self.reservations else 0.0
        remaining = max(0.0, reservation.end - max(reservation.begin, now))
        for other in self.reservations.values():
            if other.begin >= reservation.end:
                other.begin -= remaining
                other.end -= remaining
        self.free_at -= remaining
        return reservation

    def units_since(self, begin: int) -> float:
        """Return the units sent since a time; earlier sends are dropped."""
        while self.recent_sends and self.recent_sends[0][0] < begin:
            self.recent_units -= self.recent_sends.popleft()[1]
        return self.recent_units if self.recent_sends else 0.0

    def last_activity(self) -> int:
        """Return when the node last answered, or when its oldest attempt in flight was sent if that is later."""
        return max(self.last_answer_at, next(iter(self.reservations.values())).sent_at)

    def record_service(self, reservation: Reservation, now: int) -> int:
        """Learn the time per unit from a served request; returns the microseconds it took.

        They count from the previous answer, or from its sending if that is later.
        """
        spent = max(0, now - max(reservation.sent_at, self.last_answer_at))
        self.service_time = self.service_time * DECAY + spent
        self.served_units = self.served_units * DECAY + reservation.units
        self.recent_latency += (now - reservation.sent_at - self.recent_latency) * (1 - DECAY) * 2
        return spent

    def warmth(self, now: int, slow_start_us: int) -> float:
        """Return how far a starting node has warmed up, from 0 to 1."""
        if not self.entry.started_us or slow_start_us <= 0:
            return 1.0
        return min(1.0, max(0.0, (now - self.entry.started_us) / slow_start_us))


class RequestState:
    """A request from its arrival until it is answered and none of its attempts is in flight."""

    __slots__ = (
        "target_at",
        "arrival",
        "attempts",
        "is_charged",
        "is_hedged",
        "deadline",
        "is_answered",
        "candidates",
        "queue_until",
        "klass",
        "random_draw",
        "in_flight",
        "queue_key",
        "queue",
        "may_have_run_since",
        "may_have_run_on",
        "is_streaming",
        "candidates_version",
        "volume",
        "has_written",
    )

    def __init__(
        self,
        arrival: api.Arrival,
        klass: api.RequestClass,
        volume: VolumeState,
        now: int,
        waited: int,
        random_draw: float,
    ) -> None:
        self.arrival = arrival
        self.klass = klass
        self.volume = volume
        self.queue: dict[str, RequestState] = {}  # the queue that it is in
        self.queue_key = ""
        self.target_at = now - waited + klass.target_latency_us
        self.deadline = now + arrival.time_left_us
        self.queue_until = now + int(MAX_QUEUE_FRACTION * arrival.time_left_us)
        self.attempts = self.may_have_run_since = 0
        self.random_draw = random_draw  # from 0 to 1, drawn once for admission to starting nodes
        self.in_flight: dict[int, NodeState] = {}
        self.candidates: list[NodeState] = []
        self.candidates_version = -1, 0  # versions of node list and bounds that `candidates` is based on
        self.may_have_run_on: NodeState | None = None  # the node of the first attempt that may have run
        self.is_answered = self.is_streaming = self.is_charged = self.is_hedged = self.has_written = False
