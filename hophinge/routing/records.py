"""The forms of the service document as records: what the stream carries and what the tables are compiled from.

Times are microseconds, rates units a second, shares parts of 1. A field that a form does not state is 0 or empty.
"""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec
from msgspec import Struct

from hophinge.routing.bounds import Maintenance, Outage, Release

ANY = "*"  # in a name, for a scope that a form leaves open


class Plan(Struct, frozen=True, tag="plan"):
    """What a plan's volumes may count on; it only lowers what the platform's plan of that name states."""

    name: str
    reserve: float = -1.0  # units/s; negative: as the platform states
    weight: float = -1.0

    @property
    def key(self) -> str:
        """Tell the name that the stream knows it by."""
        return f"plan/{self.name}"


class Pool(Struct, frozen=True, tag="pool"):
    """Bricks by zone, machine kind or name; all that is stated must fit."""

    name: str
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    backends: tuple[str, ...] = msgspec.field(default=(), name="bricks")
    at_least: int = 1  # live bricks; with fewer, those of the next pool join
    open: int = 0  # requests for each live brick, beyond which new ones spill over; 0: no bound

    @property
    def key(self) -> str:
        """Tell the name that the stream knows it by."""
        return f"pool/{self.name}"


class Tenant(Struct, frozen=True, tag="tenant"):
    """Whose volumes these are, on the platform's front; object buckets know their tenant themselves."""

    name: str
    volumes: tuple[str, ...] = ()
    reserve: float = 0.0  # units/s over all heads
    weight: float = 1.0  # in what no reserve takes
    queue: int = 0  # requests that may wait for a turn at a head; 0: as the spare form states
    connections: int = 0  # of clients at a head whose last request was of it; 0: no bound of its own

    @property
    def key(self) -> str:
        """Tell the name that the stream knows it by."""
        return f"tenant/{self.name}"


class Scope(Struct, frozen=True):
    """What a route or a limit is for; an empty part stands for any."""

    tenant: str = ""
    volume: str = ""
    klass: str = ""

    @property
    def key(self) -> str:
        """Tell it as a part of a name."""
        return "/".join(part or ANY for part in (self.tenant, self.volume, self.klass))


class Route(Struct, frozen=True, tag="route"):
    """The pools that a scope's requests may use, first choice first."""

    scope: Scope
    pools: tuple[str, ...]
    otherwise: str = "refuse"  # or "any": where no brick of its pools is live

    @property
    def key(self) -> str:
        """Tell the name that the stream knows it by."""
        return f"route/{self.scope.key}"


class Limit(Struct, frozen=True, tag="limit"):
    """What a scope's requests may take at this head, all of them together."""

    scope: Scope
    rate: float = 0.0  # units/s; 0: no bound
    burst_us: int = 0  # of the rate, that may be saved up
    open: int = 0  # requests without their answer; 0: no bound
    bytes_in: float = 0.0  # bytes/s of long bodies, up to a second's worth at once; 0: no bound
    bytes_out: float = 0.0

    @property
    def key(self) -> str:
        """Tell the name that the stream knows it by."""
        return f"limit/{self.scope.key}"


class Retries(Struct, frozen=True, tag="retries"):
    """Further attempts of a class's requests."""

    klass: str = ""  # empty: each class without a form of its own
    attempts: int = 0  # at most, the first among them; 0: as the platform allows
    budget: float = -1.0  # further attempts as a part of first ones; negative: no bound of its own
    free: int = 0  # further attempts in each window that need no first ones
    second_copy_us: int = 0  # after which a second copy may go while the first is out; 0: none

    @property
    def key(self) -> str:
        """Tell the name that the stream knows it by."""
        return f"retries/{self.klass or ANY}"


class Spare(Struct, frozen=True, tag="spare"):
    """How each head shares what no reserve takes; without this form nothing waits before the module."""

    depth: float  # units at the module at once, reserved ones too, beyond which no spare one leaves
    wait_us: int = 50_000  # at most, for a turn
    queue: int = 256  # requests of one tenant that may wait
    leases: bool = False  # shares of reserves follow demand between heads; else each head has its even part
    capacity: float = 0.0  # units/s of one head, which all reserves together must fit; 0: not known

    @property
    def key(self) -> str:
        """Tell the name that the stream knows it by."""
        return f"spare/{ANY}"


class Eject(Struct, frozen=True, tag="eject"):
    """When a brick that fails is left alone, and for how long."""

    errors: float  # part of its attempts
    over_us: int
    rest_us: int
    at_most: float  # part of the live bricks
    least: int = 5  # attempts in the window before anything is concluded

    @property
    def key(self) -> str:
        """Tell the name that the stream knows it by."""
        return f"eject/{ANY}"


class Rollout(Struct, frozen=True, tag="rollout"):
    """How the control service hands a version out; heads are not told."""

    first: tuple[str, ...] = ()  # heads, by name
    waves: tuple[float, ...] = (1.0,)  # shares of the known heads, rising
    hold_us: int = 0  # from the last acknowledgement of a wave to the next wave
    patience_us: int = 10_000_000  # for a wave's connected heads to answer
    failures: float = 1.0  # part of its requests that fails beyond what was usual: trouble
    on_trouble: str = "hold"  # or "rollback"

    @property
    def key(self) -> str:
        """Tell the name that the control service knows it by."""
        return f"rollout/{ANY}"


UPKEEP = (Maintenance, Outage, Release)  # kept by the control service, and not part of a version
Record = Plan | Pool | Tenant | Route | Limit | Retries | Eject | Spare | Rollout | Maintenance | Outage | Release

_ENCODER = msgspec.json.Encoder(order="deterministic")
_DECODER: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


def encode(record: Record) -> bytes:
    """Write a record as JSON, always the same bytes for the same record."""
    return _ENCODER.encode(record)


def decode(body: bytes) -> Record:
    """Read a record back; raises ValueError for what is none, unknown fields are passed over."""
    record: Any = _DECODER.decode(body)
    return record  # type: ignore[no-any-return]


def fingerprint(name: str, body: bytes) -> int:
    """Tell a 128-bit hash of one named record.

    The sum of these modulo 2**128 stands for a whole set (an additive multiset hash): it follows a change of one
    record without a look at the others. It guards against loss and mix-ups, not against whoever forges records.
    """
    digest = hashlib.blake2b(body, digest_size=16, person=b"hophinge", key=name.encode()[:64]).digest()
    return int.from_bytes(digest, "big")


SUM = 1 << 128
