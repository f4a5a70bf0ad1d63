"""What the exchange asks of a loop and a gate, and how requests and attempts end."""

from __future__ import annotations

from asyncio import Future
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from msgspec import Struct

from hophinge.core import interface as api


class Timer(Protocol):
    """A timer that can be taken back."""

    def cancel(self) -> None:
        """Take the timer back."""


class Loop(Protocol):
    """Time as the exchange needs it; every wait is a timer of its own."""

    def now_us(self) -> int:
        """Return the time on the one clock."""

    def call_at(self, when_us: int, callback: Callable[[], None]) -> Timer:
        """Call back at a time."""

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call back in the loop's next turn."""


class Verdict(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    ABSENT = "absent"  # a node holds the place where it would be, and it is not there


class AnswerStream(Protocol):
    """What follows the first part of an answer that has begun; whoever reads sets the pace."""

    @property
    def length(self) -> int | None:
        """Return how long the whole body is, first part included, where its node said so."""

    async def read(self) -> bytes:
        """Read on; nothing at the end, an error where the answer is spoilt."""

    def close(self) -> None:
        """Read no more, whether it has ended or not."""


class Answer(Struct, frozen=True):
    """The one final answer of a request."""

    verdict: Verdict
    body: bytes = b""
    retry_after_us: int = 0
    shard: int = -1  # of the node that served it
    stream: AnswerStream | None = None  # its reader closes it


def answer_callback(done: Future[Answer]) -> Callable[[Answer], None]:
    """Make the `answer` of a front that awaits it in a future.

    The future of a client that has gone is cancelled before its front gets to say so: there is nobody to tell then.
    """

    def give(answer: Answer) -> None:
        if not done.done():
            done.set_result(answer)

    return give


class AttemptResult(Struct, frozen=True):
    """How an attempt ended, as the back saw it."""

    result: api.Result
    body: bytes = b""
    used: int = 0
    elsewhere: float = 0.0
    report: dict[str, float] = {}
    absent: bool = False  # with OK: the node did its work and found nothing


class Gate(Protocol):
    """Whoever stands before the module: it turns requests away and narrows what the module may choose from."""

    def admit(self, now_us: int, arrival: api.Arrival) -> api.Bounds | api.WaitAtGate | int:
        """Return a request's bounds, or after how many microseconds it may come again where it is refused."""

    def release(self, now_us: int) -> list[tuple[str, int]]:
        """Return which requests wait no longer: 0 where one is let in, else after how long it may come again."""

    @property
    def next_release_us(self) -> int:
        """Return when `turn` is to be called at the latest; 0: nothing waits."""

    def answered(self, now_us: int, bounds: api.Bounds) -> None:
        """Note that a request has its final answer, or that its client has gone."""

    def ended(self, now_us: int, node: str, result: api.Result) -> None:
        """Note how an attempt at a node ended."""

    def nodes(self, now_us: int, event: api.NodeList) -> None:
        """Take a node list, or what changed in it."""
