"""Books of what is out at each node, and the requests that stand in them or are held for them."""

from __future__ import annotations

from collections import deque

from hophinge.core import interface as api
from hophinge.core.choice.volume_state import VolumeState

DECAY = 0.9  # weight kept by what was learned at each new answer: about ten answers count
MAX_QUEUE_FRACTION = 0.25  # part of its time that a request is held unsent


class Reservation:
    """One attempt's time in a book."""

    __slots__ = ("units_ahead", "begin", "end", "sent_at", "units")

    def __init__(self, begin: float, end: float, sent: int, units: float, ahead: float) -> None:
        self.begin = begin
        self.end = end
        self.sent_at = sent
        self.units = units
        self.units_ahead = ahead


class NodeState:
    """A node as seen from here: its reservations, the time it takes for a unit, and its health."""

    def __init__(self, entry: api.NodeEntry) -> None:
        self.entry = entry
        self.reservations: dict[tuple[str, int], Reservation] = {}
        self.free_at = 0.0
        self.units_out = 0.0
        self.service_time = self.served_units = self.recent_units = 0.0  # sent: units of `recent`
        self.last_answer_at = 0
        self.recent_latency = 0.0  # what answers took lately
        # others' work ahead, as answers told it
        self.queue_delay = 0.0
        self.queue_delay_at = 0
        self.backoff_until = 0
        self.failures = 0  # trials in a row that failed
        self.is_unresponsive = False
        self.is_blocked = False  # what is next here does not fit until an attempt ends
        self.recent_sends: deque[tuple[int, float]] = deque()
        self.queued: dict[str, RequestState] = {}

    def reserve(self, attempt: tuple[str, int], units: float, unit_us: float, now: int) -> None:
        """Book a slot behind the last."""
        begin = max(self.free_at, now)
        self.free_at = begin + units * unit_us
        self.reservations[attempt] = Reservation(begin, self.free_at, now, units, self.units_out)
        self.units_out += units

    def release(self, attempt: tuple[str, int], now: int) -> Reservation:
        """Take what is left of an attempt's slot out of the book; later slots move up."""
        reservation = self.reservations.pop(attempt)
        self.units_out = self.units_out - reservation.units if self.reservations else 0.0
        remaining = max(0.0, reservation.end - max(reservation.begin, now))
        for other in self.reservations.values():
            if other.begin >= reservation.end:
                other.begin -= remaining
                other.end -= remaining
        self.free_at -= remaining
        return reservation

    def units_since(self, then: int) -> float:
        """Units sent since then; what was sent before is forgotten."""
        while self.recent_sends and self.recent_sends[0][0] < then:
            self.recent_units -= self.recent_sends.popleft()[1]
        return self.recent_units if self.recent_sends else 0.0

    def last_activity(self) -> int:
        """When the node, with work out, last gave a sign."""
        return max(self.last_answer_at, next(iter(self.reservations.values())).sent_at)

    def record_service(self, reservation: Reservation, now: int) -> int:
        """Learn the time per unit from a served request: time since the last answer, while work was out."""
        spent = max(0, now - max(reservation.sent_at, self.last_answer_at))
        self.service_time = self.service_time * DECAY + spent
        self.served_units = self.served_units * DECAY + reservation.units
        self.recent_latency += (now - reservation.sent_at - self.recent_latency) * (1 - DECAY) * 2
        return spent

    def warmth(self, now: int, slow_start_us: int) -> float:
        """How far a starting node has warmed up, from 0 to 1."""
        if not self.entry.started_us or slow_start_us <= 0:
            return 1.0
        return min(1.0, max(0.0, (now - self.entry.started_us) / slow_start_us))


class RequestState:
    """A request from its arrival until its answer is given and no attempt is out."""

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
        self.queue: dict[str, RequestState] = {}  # where it is held
        self.queue_key = ""
        self.target_at = now - waited + klass.target_latency_us
        self.deadline = now + arrival.time_left_us
        self.queue_until = now + int(MAX_QUEUE_FRACTION * arrival.time_left_us)
        self.attempts = self.may_have_run_since = 0
        self.random_draw = random_draw  # from 0 to 1, drawn once
        self.in_flight: dict[int, NodeState] = {}
        self.candidates: list[NodeState] = []
        self.candidates_version = -1, 0  # of the node list and bounds that the group was formed from
        self.may_have_run_on: NodeState | None = None  # where the first attempt went that may have run
        self.is_answered = self.is_streaming = self.is_charged = self.is_hedged = self.has_written = False
