"""Records of the service document: what the discovery stream carries and routing tables are compiled from.

Times are in microseconds, rates in units a second, shares are fractions of 1. A field that a form does not state is 0
or empty. Records travel and are stored as JSON, whose field names are given where they differ.
"""

from __future__ import annotations

import hashlib
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from hophinge.routing.maintenance_records import MaintenanceRule, Outage, Release

ANY = "*"  # in a record's key, for a part of the scope that the form leaves open
FINGERPRINT_MODULUS = 1 << 128


class PlanOverride(Struct, frozen=True, tag="plan"):
    """What volumes of a plan may rely on; it can only lower what the platform's plan of that name states."""

    name: str
    reserve: float = -1.0  # units/s; negative: as the platform states
    weight: float = -1.0

    @property
    def key(self) -> str:
        """Name of the record on the stream."""
        return f"plan/{self.name}"


class Pool(Struct, frozen=True, tag="pool"):
    """Backends by zone, machine kind or name; one belongs to the pool if it matches all that are stated."""

    name: str
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    backends: tuple[str, ...] = msgspec.field(default=(), name="bricks")
    # With fewer live backends, those of the next pool of a route join.
    min_backends: int = msgspec.field(default=1, name="at_least")
    # Open requests for each live backend, above which new ones spill over to the next pool; 0: no bound.
    max_open: int = msgspec.field(default=0, name="open")

    @property
    def key(self) -> str:
        """Name of the record on the stream."""
        return f"pool/{self.name}"


class TenantRule(Struct, frozen=True, tag="tenant"):
    """A tenant of the platform's front and its volumes; tenants of object buckets are those of the accounts."""

    name: str
    volumes: tuple[str, ...] = ()
    reserve: float = 0.0  # units/s over all heads
    weight: float = 1.0  # share of the capacity that no reserve uses
    max_queued: int = msgspec.field(default=0, name="queue")  # requests at a head; 0: as `SpareSharing` states
    max_connections: int = msgspec.field(default=0, name="connections")  # of clients at a head; 0: no bound

    @property
    def key(self) -> str:
        """Name of the record on the stream."""
        return f"tenant/{self.name}"


class Scope(Struct, frozen=True):
    """Requests that a route or limit applies to; an empty part matches any."""

    tenant: str = ""
    volume: str = ""
    klass: str = ""

    @property
    def key(self) -> str:
        """The scope within the name of a record."""
        return "/".join(part or ANY for part in (self.tenant, self.volume, self.klass))


class Route(Struct, frozen=True, tag="route"):
    """Pools that the requests of a scope may use, in order of preference."""

    scope: Scope
    pools: tuple[str, ...]
    otherwise: str = "refuse"  # or "any", where no backend of its pools is live

    @property
    def key(self) -> str:
        """Name of the record on the stream."""
        return f"route/{self.scope.key}"


class Limit(Struct, frozen=True, tag="limit"):
    """What all requests of a scope together may use at one head."""

    scope: Scope
    rate: float = 0.0  # units/s; 0: no bound
    burst_us: int = 0  # time of the rate that may be saved up
    max_open: int = msgspec.field(default=0, name="open")  # requests that are not answered yet; 0: no bound
    bytes_in: float = 0.0  # bytes/s of long bodies, with a burst of a second; 0: no bound
    bytes_out: float = 0.0

    @property
    def key(self) -> str:
        """Name of the record on the stream."""
        return f"limit/{self.scope.key}"


class RetryRule(Struct, frozen=True, tag="retries"):
    """Retries and hedged attempts of a request class."""

    klass: str = ""  # empty: each class that has no rule of its own
    max_attempts: int = msgspec.field(default=0, name="attempts")  # with the first one; 0: as the platform allows
    budget_share: float = msgspec.field(default=-1.0, name="budget")  # retries by first attempts; negative: no bound
    min_retries: int = msgspec.field(default=0, name="free")  # in each window, whatever the share
    hedge_delay_us: int = msgspec.field(default=0, name="second_copy_us")  # before a hedged attempt; 0: none

    @property
    def key(self) -> str:
        """Name of the record on the stream."""
        return f"retries/{self.klass or ANY}"


class SpareSharing(Struct, frozen=True, tag="spare"):
    """How each head shares the capacity that no reserve uses; without this record no request waits for admission."""

    max_units: float = msgspec.field(name="depth")  # in flight, reserved ones too, above which no spare one is admitted
    max_wait_us: int = msgspec.field(default=50_000, name="wait_us")
    max_queued: int = msgspec.field(default=256, name="queue")  # requests of one tenant
    uses_leases: bool = msgspec.field(default=False, name="leases")  # shares of reserves follow demand; else even ones
    head_capacity: float = msgspec.field(
        default=0.0, name="capacity"
    )  # units/s, that all reserves must fit; 0: unknown

    @property
    def key(self) -> str:
        """Name of the record on the stream."""
        return f"spare/{ANY}"


class EjectionRule(Struct, frozen=True, tag="eject"):
    """When a backend that fails is ejected, and for how long."""

    max_error_share: float = msgspec.field(name="errors")  # of its attempts
    window_us: int = msgspec.field(name="over_us")
    ejection_us: int = msgspec.field(name="rest_us")
    max_ejected_share: float = msgspec.field(name="at_most")  # of the live backends
    min_attempts: int = msgspec.field(default=5, name="least")  # in the window, before it is judged

    @property
    def key(self) -> str:
        """Name of the record on the stream."""
        return f"eject/{ANY}"


class RolloutRule(Struct, frozen=True, tag="rollout"):
    """How the control service rolls a version out; heads are not told of it."""

    first: tuple[str, ...] = ()  # names of heads
    waves: tuple[float, ...] = (1.0,)  # rising shares of the known heads
    soak_us: int = msgspec.field(default=0, name="hold_us")  # from a wave's last acknowledgement to the next wave
    acknowledge_timeout_us: int = msgspec.field(default=10_000_000, name="patience_us")  # for a wave's connected heads
    # Share of requests that may fail beyond what was usual before.
    max_failure_share: float = msgspec.field(default=1.0, name="failures")
    on_failure: str = msgspec.field(default="hold", name="on_trouble")  # or "rollback"

    @property
    def key(self) -> str:
        """Name of the record at the control service."""
        return f"rollout/{ANY}"


MAINTENANCE_RECORDS = (MaintenanceRule, Outage, Release)  # kept by the control service, and not part of a version
Record = (
    PlanOverride
    | Pool
    | TenantRule
    | Route
    | Limit
    | RetryRule
    | EjectionRule
    | SpareSharing
    | RolloutRule
    | MaintenanceRule
    | Outage
    | Release
)

_ENCODER = msgspec.json.Encoder(order="deterministic")
_DECODER: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


class RecordMistake(NamedTuple):
    """What is wrong with the record of a key."""

    key: str
    text: str


def encode(record: Record) -> bytes:
    """Encode a record as JSON; equal records have equal bytes."""
    return _ENCODER.encode(record)


def decode(body: bytes) -> Record:
    """Decode a record; raises ValueError, unknown fields are ignored."""
    record: Any = _DECODER.decode(body)
    return record  # type: ignore[no-any-return]  # a decoder of a union has no precise type


def fingerprint(name: str, body: bytes) -> int:
    """Return a 128-bit hash of one named record.

    The sum of these hashes modulo 2**128 identifies a set of records (an additive multiset hash): a change of one
    record updates it without a look at the others. It guards against loss and mix-ups, not against forgery.
    """
    digest = hashlib.blake2b(body, digest_size=16, person=b"hophinge", key=name.encode()[:64]).digest()
    return int.from_bytes(digest, "big")
