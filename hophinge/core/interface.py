"""The interface of hophinge: settings, events and actions, in whole microseconds. Nothing is decided.

A figure that a deployment does not state is 0, a list that it does not state is empty. Events and actions are made by
the thousand a second, hence msgspec's types; those that hold no container are of no interest to the collector.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from msgspec import Struct


class Effect(Enum):
    """What a repeat of a request of this class would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """Which nodes drop a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Discovery(Enum):
    """Whether node lists come unasked."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


class Phase(Enum):
    """What the node list says of a node."""

    ON = "on"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a node list event holds."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"
    ERROR = "error"


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; worth counts per request, aim and deadline from its first arrival."""

    aim_us: int
    deadline_us: int
    effect: Effect
    scope: DedupScope
    dedup_window_us: int
    worth: float
    late_worth: float
    in_order: bool
    stream: bool
    name: str = ""


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's figures for each of its volumes, in units a second over all gateways and nodes."""

    rate: float
    reserve: float
    weight: float
    price: float
    limit: float
    limit_burst: float
    limit_slack: float
    name: str = ""


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules."""

    answer_grace_us: int
    drain_grace_us: int
    fall_multiple: float
    fall_us: int
    cold_share: float
    cold_us: int
    cold_units: float
    budget_free: float
    budget_share: float
    budget_us: int
    settle_us: int
    ask_within_us: int


@dataclass(frozen=True, slots=True)
class Allowed:
    """What a deployment permits its gateways."""

    attempts: int
    second_copies: bool
    cancel: bool
    probes: bool
    retry_after_us: int
    connect_timeout_us: int = 0
    conn_idle_us: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told at start."""

    me: int
    gateways: int
    tick_us: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules
    allowed: Allowed
    discovery: Discovery
    mean_units: float
    most_units: float
    share_worth: float
    spare_worth: float
    meter_us: int
    tells_elsewhere: bool
    report_fields: tuple[str, ...]
    report_in_answers: bool
    probe_price: float
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    shards: int = 0


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node of a list; started_us is 0 when it started long ago, kind is its machine kind's number."""

    node: str
    zone: int
    shard: int
    phase: Phase
    weight: float
    started_us: int
    kind: int = 0


@dataclass(frozen=True, slots=True)
class NodeList:
    """A node list, or what changed in it."""

    kind: ListKind
    entries: tuple[NodeEntry, ...]


class Bounds(Protocol):
    """What one request may use, as whoever narrows the module's choice has it; the module never goes beyond."""

    @property
    def attempts(self) -> int:
        """Tell how many attempts it may have, the first among them; 0: as the deployment allows."""

    @property
    def second_copy_us(self) -> int:
        """Tell after how long a second copy may go while the first is out; 0: none."""

    @property
    def version(self) -> int:
        """Tell a number that changes with the nodes that may be taken."""

    def takes(self, node: str, shard: int) -> bool:
        """Tell whether a node may be used; shard is negative where any will do."""

    def repeat(self, now_us: int, attempts: int) -> bool:
        """Take one attempt beyond the so many that it had from its budget; False: there is none left."""


class Seen(Protocol):
    """A node as the module's book has it, to be read and never written."""

    @property
    def entry(self) -> NodeEntry:
        """Tell its entry in the list."""

    @property
    def free(self) -> float:
        """Tell when what was sent to it from here should be done, in microseconds."""

    @property
    def units_out(self) -> float:
        """Tell the units sent to it from here and not answered."""

    @property
    def lag(self) -> float:
        """Tell what its answers took lately, in microseconds."""

    @property
    def failures(self) -> int:
        """Tell its trials in a row that failed."""

    def warmth(self, now: int, cold_us: int) -> float:
        """Tell how far it has warmed up since it started, from 0 to 1."""


class Scorers(Protocol):
    """Whoever adds times to nodes before the one that frees earliest is chosen; it can bring in none."""

    def added_us(self, now_us: int, ask: Arrival, nodes: Sequence[Seen]) -> Mapping[str, float]:
        """Tell added microseconds by node, 0 or more; a node that is not named gets none. It never raises."""


class Waits(Struct, frozen=True):
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
    keyless: bool = False       # bears no key that nodes could drop a repeat by, whatever its class says


class Outcome(Struct, frozen=True):
    """The one end of an attempt; used is 1 + percent of the plan's rate in a finished meter period, or 0."""

    request: str
    attempt: int
    node: str
    result: Result
    elapsed_us: int
    finished: bool
    used: int
    elsewhere: float
    report: Mapping[str, float]


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


class TimerDue(Struct, frozen=True, gc=False):
    """A timer that the scheduler set."""

    token: int


Event = NodeList | Arrival | Outcome | StreamStarted | Departure | ProbeResult | TimerDue


class Send(Struct, frozen=True, gc=False):
    """Start an attempt, given up at give_up_us (0: when the client gives up)."""

    request: str
    node: str
    give_up_us: int


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
