"""The interfaces of the event loop and the gate, and the results of requests and attempts."""

from __future__ import annotations

from asyncio import Future
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from msgspec import Struct

from hophinge.core import interface as api


class Timer(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the timer."""


class Loop(Protocol):
    """The clock and the timers of the event loop, in microseconds."""

    def now_us(self) -> int:
        """Return the current time of the clock that all times refer to."""

    def call_at(self, when_us: int, callback: Callable[[], None]) -> Timer:
        """Call the callback at a time."""

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call the callback in the next loop iteration."""


class Verdict(Enum):
    """The outcome of a request for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    ABSENT = "absent"  # a node answered that the object does not exist


class AnswerStream(Protocol):
    """The rest of a streamed answer after its first bytes; the reader sets the pace."""

    @property
    def length(self) -> int | None:
        """The length of the whole body, including the first bytes; None if the node did not state it."""

    async def read(self) -> bytes:
        """Return the next bytes, empty at the end; raises an error if the answer broke off."""

    def close(self) -> None:
        """Stop reading, whether the stream has ended or not."""


class Answer(Struct, frozen=True):
    """The final answer of a request."""

    verdict: Verdict
    body: bytes = b""
    retry_after_us: int = 0
    shard: int = -1  # of the node that served it
    stream: AnswerStream | None = None  # the receiver closes it


def answer_callback(done: Future[Answer]) -> Callable[[Answer], None]:
    """Return an answer callback that sets a future.

    The future of a client that has disconnected is cancelled before its frontend reports the departure; an answer in
    between is dropped.
    """

    def set_answer(answer: Answer) -> None:
        if not done.done():
            done.set_result(answer)

    return set_answer


class AttemptResult(Struct, frozen=True):
    """The end of an attempt, as the backend client reports it."""

    result: api.Result
    body: bytes = b""
    used: int = 0
    elsewhere: float = 0.0
    report: dict[str, float] = {}
    absent: bool = False  # with OK: the node answered that the object does not exist


class Gate(Protocol):
    """Admission before the scheduler: admits, queues or rejects requests and bounds the nodes that they may use."""

    def admit(self, now_us: int, arrival: api.Arrival) -> api.Bounds | api.WaitAtGate | int:
        """Return the bounds of an admitted or queued request, or the microseconds to retry after for a rejected one."""

    def release(self, now_us: int) -> list[tuple[str, int]]:
        """Return the requests that wait no longer, with 0 if admitted, else with the microseconds to retry after."""

    @property
    def next_release_us(self) -> int:
        """When `release` is to be called at the latest, in microseconds; 0: no request waits."""

    def answered(self, now_us: int, bounds: api.Bounds) -> None:
        """Record that a request has its final answer, or that its client has disconnected."""

    def ended(self, now_us: int, node: str, result: api.Result) -> None:
        """Record the result of an attempt at a node."""

    def nodes(self, now_us: int, event: api.NodeList) -> None:
        """Apply a node list, or changes to it."""
