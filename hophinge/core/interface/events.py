"""The events that the scheduler handles and the actions that it returns.

Thousands are created per second, hence msgspec structs; those without containers are not tracked by the garbage
collector.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from hophinge.core.interface.nodes import NodeList, Result
from hophinge.core.interface.protocols import Bounds


class WaitAtGate(Struct, frozen=True):
    """The gate has queued a request; a later `Gate.release` admits or rejects it."""

    bounds: Bounds


class Arrival(Struct, frozen=True, gc=False):
    """A client's request.

    `shard` is negative for a new object, which any shard may take. `time_left_us` is how long the client still waits.
    `gateways` is how many gateways send requests of the volume, 0 if unknown. `klass` and `plan` are indexes into the
    settings.
    """

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
    keyless: bool = False  # without an idempotency key, so that nodes cannot drop a repeat, whatever its class
    is_background: bool = False  # no client waits for it: it uses no reserve and does not count in any fair share


class Outcome(Struct, frozen=True):
    """The end of an attempt, reported once.

    `used` is 1 + the percentage of the plan's rate that the volume used in a finished meter period; 0 if not reported.
    `finished` is true if the request needs no further answer. `moved` is the request with the shard corrected, if its
    data turned out to be at another shard.
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
    """An attempt began to stream: its answer to the client, or with `upward` the request body to the backend."""

    request: str
    attempt: int
    elapsed_us: int = 0
    upward: bool = False


class Departure(Struct, frozen=True, gc=False):
    """The client has disconnected; no answer is needed."""

    request: str


class ProbeResult(Struct, frozen=True):
    """The result of a probe."""

    node: str
    result: Result
    elapsed_us: int
    report: Mapping[str, float]


class TimerExpired(Struct, frozen=True, gc=False):
    """A timer that the scheduler set has expired."""

    token: int


Event = NodeList | Arrival | Outcome | StreamStarted | Departure | ProbeResult | TimerExpired


class Send(Struct, frozen=True, gc=False, repr_omit_defaults=True):
    """Start an attempt, not after `until_us` (0: no limit); it times out at `give_up_us` (0: client's deadline)."""

    request: str
    node: str
    give_up_us: int
    until_us: int = 0


class Cancel(Struct, frozen=True, gc=False):
    """Cancel an attempt."""

    request: str
    attempt: int


class Refuse(Struct, frozen=True, gc=False):
    """Final answer: refused; the client may safely retry after `retry_after_us` (0: no advice)."""

    request: str
    retry_after_us: int


class Fail(Struct, frozen=True, gc=False):
    """Final answer: failed; the request may have had an effect."""

    request: str


class Probe(Struct, frozen=True, gc=False):
    """Ask a node for its load."""

    node: str


class SetTimer(Struct, frozen=True, gc=False):
    """Request a `TimerExpired` after `delay_us`."""

    token: int
    delay_us: int


class Watch(Struct, frozen=True, gc=False):
    """Subscribe to node list changes."""


class Log(Struct, frozen=True, gc=False):
    """Write a line to the operators' log."""

    text: str


Action = Send | Cancel | Refuse | Fail | Probe | SetTimer | Watch | Log
