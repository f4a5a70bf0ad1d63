"""Events that come in and actions that go out, made by the thousand a second, hence msgspec's types.

Those that hold no container are of no interest to the collector.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from hophinge.core.interface.nodes import NodeList, Result
from hophinge.core.interface.protocols import Bounds


class WaitAtGate(Struct, frozen=True):
    """A request that is not let in yet; the gate's `turn` tells what becomes of it."""

    bounds: Bounds


class Arrival(Struct, frozen=True, gc=False):
    """A client's request; shard is negative for a new object, time_left_us is what its client still waits."""

    request: str
    units: float
    volume: str
    klass: int
    shard: int
    gateways: int
    key: str
    time_left_us: int
    write: bool
    plan: int
    bounds: Bounds | None = None
    keyless: bool = False  # bears no key that nodes could drop a repeat by, whatever its class says
    is_background: bool = False  # nobody waits for it: it has no reserve, and counts in nobody's fair part


class Outcome(Struct, frozen=True):
    """The one end of an attempt; used is 1 + percent of the plan's rate in a finished meter period, or 0.

    `moved` is the request as it stands from here, where its data have turned out to lie at another shard.
    """

    request: str
    attempt: int
    node: str
    result: Result
    elapsed_us: int
    finished: bool
    used: int
    elsewhere: float
    report: Mapping[str, float]
    moved: Arrival | None = None


class StreamStarted(Struct, frozen=True, gc=False):
    """An attempt's answer has begun to reach the client; upward: its request's body is still on its way instead."""

    request: str
    attempt: int
    elapsed_us: int = 0
    upward: bool = False


class Departure(Struct, frozen=True, gc=False):
    """The client is gone; no answer is owed."""

    request: str


class ProbeResult(Struct, frozen=True):
    """The end of a probe."""

    node: str
    result: Result
    elapsed_us: int
    report: Mapping[str, float]


class TimerExpired(Struct, frozen=True, gc=False):
    """A timer that the scheduler set."""

    token: int


Event = NodeList | Arrival | Outcome | StreamStarted | Departure | ProbeResult | TimerExpired


class Send(Struct, frozen=True, gc=False, repr_omit_defaults=True):
    """Start an attempt, before until_us (0: whenever), given up at give_up_us (0: when the client gives up)."""

    request: str
    node: str
    give_up_us: int
    until_us: int = 0


class Cancel(Struct, frozen=True, gc=False):
    """Stop waiting for an attempt."""

    request: str
    attempt: int


class Refuse(Struct, frozen=True, gc=False):
    """Final answer: refused, a retry is harmless after retry_after_us (0: no advice)."""

    request: str
    retry_after_us: int


class Fail(Struct, frozen=True, gc=False):
    """Final answer: failed, no promise about the effect."""

    request: str


class Probe(Struct, frozen=True, gc=False):
    """Ask a node for its load."""

    node: str


class SetTimer(Struct, frozen=True, gc=False):
    """Ask for a TimerDue after delay_us."""

    token: int
    delay_us: int


class Watch(Struct, frozen=True, gc=False):
    """Ask for node list changes from now on."""


class Log(Struct, frozen=True, gc=False):
    """A line for the operators."""

    text: str


Action = Send | Cancel | Refuse | Fail | Probe | SetTimer | Watch | Log
