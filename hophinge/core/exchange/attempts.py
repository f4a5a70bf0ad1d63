"""Open requests, and the attempts of each that are out."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from msgspec import structs

from hophinge.core import interface as api
from hophinge.core.exchange.types import Answer, AttemptResult, AnswerStream, Timer
from hophinge.core.request_metrics import RequestMetrics
from hophinge.core.write_locations import WriteLocations


class AttemptOwner(Protocol):
    """The exchange as one of its attempts needs it."""

    @property
    def metrics(self) -> RequestMetrics:
        """The metrics of the requests."""

    @property
    def phases(self) -> dict[str, api.Phase]:
        """Return the phase of each node listed."""

    @property
    def shards(self) -> dict[str, int]:
        """Return the shard of each node listed."""

    @property
    def now_us(self) -> Callable[[], int]:
        """The clock, in microseconds."""

    def attempt_streams(self, attempt: Attempt, body: bytes, rest: AnswerStream, heard_us: int) -> bool:
        """Take the first part of an answer that is too long to be held."""

    def attempt_ended(self, attempt: Attempt, end: AttemptResult) -> None:
        """Take the end of an attempt."""


class OpenRequest:
    """A request from its arrival until it is answered and no attempt of it is out."""

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
        self.single_attempt = not is_complete  # its body is held only until an attempt takes it, whole by then or not
        self.waited_us = 0  # while nobody took a body that is on its way; its last byte may have come since then
        self.answer: Callable[[Answer], None] | None = answer  # None once the one answer is given
        self.attempts: dict[int, Attempt] = {}
        self.attempts_sent = 0
        self.backstop: Timer | None = None


class Attempt:
    """One attempt that is out; ``may_go`` is to be asked just before its bytes are written."""

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
        # until: none of it is written from then on
        self.sent_at = sent_at
        self.give_up_at = give_up_at
        self.write_before = write_before
        self.shard = exchange.shards.get(node, -1)  # its node may be forgotten before it ends
        self.stop: Callable[[], None] | None = None
        self.timer: Timer | None = None

    def record_sent(self) -> None:
        """Note that its last byte has been handed to the network."""
        self.exchange.metrics.relayed += 1

    def begin_stream(self, body: bytes, rest: AnswerStream, heard_us: int) -> bool:
        """Report that a long answer has begun, and when its head came; False where nobody waits for it."""
        return self.exchange.attempt_streams(self, body, rest, heard_us)

    def may_send(self) -> bool:
        """Guard drains, answered requests, deadlines and windows for repeats after a wait for a connection."""
        # A request that is answered or whose time is over must not reach a node, nor anything a node that drains.
        return (
            self.request.answer is not None
            and (not self.request.is_complete or self.exchange.now_us() < self.give_up_at)
            and (not self.write_before or self.exchange.now_us() < self.write_before)
            and self.exchange.phases.get(self.node) is api.Phase.ON
        )

    def begin_sending(self) -> int:
        """Note that its first byte goes now; tell how long it will be waited for, in microseconds."""
        request, now = self.request, self.exchange.now_us()
        if request.is_complete:
            return max(0, self.give_up_at - now)
        # What has come and was not taken is not seen: the client's time may have run since the body's beginning.
        request.waited_us = now - request.arrived_at
        return max(0, request.arrival.time_left_us - request.waited_us)

    def redirected(self, write_locations: WriteLocations, result: api.Result) -> api.Arrival | None:
        """Note where a write went; tell the request that finds a read's object, if this head wrote it elsewhere."""
        arrival, nodes, now = self.request.arrival, self.exchange.phases, self.exchange.now_us()
        if result is api.Result.OK and arrival.write and arrival.key and self.shard >= 0:
            write_locations.record(now, arrival.volume, arrival.key, self.shard)
        if result is not api.Result.MISPLACED or arrival.write:
            return None
        shard = write_locations.find(now, arrival.volume, arrival.key)
        # Turned away at the same shard, it is over. A shard that no node in use holds is asked for in vain.
        held = {self.exchange.shards.get(node) for node, phase in nodes.items() if phase is api.Phase.ON}
        return None if shard is None or shard not in held - {self.shard} else structs.replace(arrival, shard=shard)

    def end(self, end: AttemptResult) -> None:
        """Report the end; whatever comes after the first one is void."""
        self.exchange.attempt_ended(self, end)


Start = Callable[[Attempt], Callable[[], None]]
Probe = Callable[[str, Callable[[api.ProbeResult], None]], None]
