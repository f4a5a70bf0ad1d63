"""Open requests and their attempts in flight."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from msgspec import structs

from hophinge.core import interface as api
from hophinge.core.exchange.types import Answer, AttemptResult, AnswerStream, Timer
from hophinge.core.request_metrics import RequestMetrics
from hophinge.core.write_locations import WriteLocations


class AttemptOwner(Protocol):
    """The parts of the exchange that an attempt uses."""

    @property
    def metrics(self) -> RequestMetrics:
        """The metrics of the requests."""

    @property
    def phases(self) -> dict[str, api.Phase]:
        """The phase of each listed node."""

    @property
    def shards(self) -> dict[str, int]:
        """The shard of each listed node."""

    @property
    def now_us(self) -> Callable[[], int]:
        """The clock, in microseconds."""

    def attempt_streams(self, attempt: Attempt, body: bytes, rest: AnswerStream, heard_us: int) -> bool:
        """Handle the first bytes of an answer that is too long to buffer; returns whether it is used."""

    def attempt_ended(self, attempt: Attempt, end: AttemptResult) -> None:
        """Handle the end of an attempt."""


class OpenRequest:
    """A request from its arrival until it is answered and none of its attempts is in flight."""

    __slots__ = (
        "answer",
        "arrival",
        "attempts",
        "backstop",
        "deadline",
        "single_attempt",
        "payload",
        "attempts_sent",
        "arrived_at",
        "waited_us",
        "is_complete",
    )

    def __init__(
        self, arrival: api.Arrival, payload: Any, answer: Callable[[Answer], None], arrived_at: int, is_complete: bool
    ) -> None:
        self.arrival = arrival
        self.payload = payload
        self.is_complete = is_complete
        self.arrived_at = arrived_at
        self.deadline = arrived_at + arrival.time_left_us
        self.single_attempt = not is_complete  # its body is streamed to an attempt and not kept for another
        self.waited_us = 0  # from the arrival until an attempt reads the body; counts against the client's time
        self.answer: Callable[[Answer], None] | None = answer  # None once the request is answered
        self.attempts: dict[int, Attempt] = {}
        self.attempts_sent = 0
        self.backstop: Timer | None = None


class Attempt:
    """An attempt in flight; ``may_send`` is to be checked just before its bytes are written."""

    __slots__ = (
        "exchange",
        "give_up_at",
        "node",
        "number",
        "request",
        "shard",
        "sent_at",
        "stop",
        "timer",
        "write_before",
    )

    def __init__(
        self,
        exchange: AttemptOwner,
        request: OpenRequest,
        number: int,
        node: str,
        sent_at: int,
        give_up_at: int,
        write_before: int = 0,
    ) -> None:
        self.exchange = exchange
        self.request = request
        self.number = number
        self.node = node
        self.sent_at = sent_at
        self.give_up_at = give_up_at
        self.write_before = write_before  # none of it may be written from this time on; 0: no limit
        # Read now, as the node may be removed from the list before the attempt ends.
        self.shard = exchange.shards.get(node, -1)
        self.stop: Callable[[], None] | None = None
        self.timer: Timer | None = None

    def record_sent(self) -> None:
        """Record that its last byte has been handed to the network."""
        self.exchange.metrics.relayed += 1

    def begin_stream(self, body: bytes, rest: AnswerStream, heard_us: int) -> bool:
        """Report that a long answer has begun, with the time at which its header was received.

        Returns False if nobody waits for the answer.
        """
        return self.exchange.attempt_streams(self, body, rest, heard_us)

    def may_send(self) -> bool:
        """Return whether it may still be sent, after the wait for a connection."""
        # Not if the request is answered, its deadline or the time for a repeat has passed, or the node is draining.
        return (
            self.request.answer is not None
            and (not self.request.is_complete or self.exchange.now_us() < self.give_up_at)
            and (not self.write_before or self.exchange.now_us() < self.write_before)
            and self.exchange.phases.get(self.node) is api.Phase.ON
        )

    def begin_sending(self) -> int:
        """Record that its first byte is being written; returns the microseconds for which the answer is awaited."""
        request, now = self.request, self.exchange.now_us()
        if request.is_complete:
            return max(0, self.give_up_at - now)
        # The unread body may have arrived completely right after the request: the client's time includes this wait.
        request.waited_us = now - request.arrived_at
        return max(0, request.arrival.time_left_us - request.waited_us)

    def redirected(self, write_locations: WriteLocations, result: api.Result) -> api.Arrival | None:
        """Record the shard of a successful write; for a misplaced read, return the arrival with the correct shard.

        Returns None unless this head recently wrote the object at another shard that has a node in use.
        """
        arrival, nodes, now = self.request.arrival, self.exchange.phases, self.exchange.now_us()
        if result is api.Result.OK and arrival.write and arrival.key and self.shard >= 0:
            write_locations.record(now, arrival.volume, arrival.key, self.shard)
        if result is not api.Result.MISPLACED or arrival.write:
            return None
        shard = write_locations.find(now, arrival.volume, arrival.key)
        # If the recorded shard itself rejected the read, its time is over. A shard without nodes in use cannot answer.
        available = {self.exchange.shards.get(node) for node, phase in nodes.items() if phase is api.Phase.ON}
        return None if shard is None or shard not in available - {self.shard} else structs.replace(arrival, shard=shard)

    def end(self, end: AttemptResult) -> None:
        """Report the end; all calls after the first one are ignored."""
        self.exchange.attempt_ended(self, end)


Start = Callable[[Attempt], Callable[[], None]]
Probe = Callable[[str, Callable[[api.ProbeResult], None]], None]
