"""Records of the service document, which the discovery stream carries and routing tables are compiled from.

Times are in microseconds, rates in units per second, shares are fractions of 1. A field that a form leaves out is 0 or
empty unless its default says otherwise. Records are sent and stored as JSON; JSON field names are given where they
differ.
"""

from __future__ import annotations

import hashlib
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from hophinge.routing.maintenance_records import MaintenanceRule, Outage, Release

ANY = "*"  # in a record's key, for a part of the scope that matches any value
FINGERPRINT_MODULUS = 1 << 128


class PlanOverride(Struct, frozen=True, tag="plan"):
    """Reserve and weight of the volumes of a plan; they can only lower those of the platform's plan of that name."""

    name: str
    reserve: float = -1.0  # units/s; negative: as in the platform's plan
    weight: float = -1.0  # negative: as in the platform's plan

    @property
    def key(self) -> str:
        """Key of the record on the discovery stream."""
        return f"plan/{self.name}"


class Pool(Struct, frozen=True, tag="pool"):
    """Backends by zone, machine kind or name; a backend belongs to the pool if it matches all criteria that are set."""

    name: str
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    backends: tuple[str, ...] = msgspec.field(default=(), name="bricks")
    # With fewer usable backends, a route adds those of its next pool.
    min_backends: int = msgspec.field(default=1, name="at_least")
    # Open requests per usable backend; at this number new requests spill over to the next pool. 0: no bound.
    max_open: int = msgspec.field(default=0, name="open")

    @property
    def key(self) -> str:
        """Key of the record on the discovery stream."""
        return f"pool/{self.name}"


class TenantRule(Struct, frozen=True, tag="tenant"):
    """A tenant that the service document defines, with its volumes; tenants of object buckets come from accounts."""

    name: str
    volumes: tuple[str, ...] = ()
    reserve: float = 0.0  # units/s, summed over all heads
    weight: float = 1.0  # relative share of the capacity that no reserve uses
    max_queued: int = msgspec.field(default=0, name="queue")  # requests at a head; 0: as in `SpareSharing`
    max_connections: int = msgspec.field(default=0, name="connections")  # client connections at a head; 0: no bound

    @property
    def key(self) -> str:
        """Key of the record on the discovery stream."""
        return f"tenant/{self.name}"


class Scope(Struct, frozen=True):
    """The requests that a route or limit applies to; an empty field matches any value."""

    tenant: str = ""
    volume: str = ""
    klass: str = ""

    @property
    def key(self) -> str:
        """The scope as part of a record's key."""
        return "/".join(part or ANY for part in (self.tenant, self.volume, self.klass))


class Route(Struct, frozen=True, tag="route"):
    """Pools that the requests of a scope may use, in order of preference."""

    scope: Scope
    pools: tuple[str, ...]
    otherwise: str = "refuse"  # if no backend of the pools is usable: "refuse" or "any" backend

    @property
    def key(self) -> str:
        """Key of the record on the discovery stream."""
        return f"route/{self.scope.key}"


class Limit(Struct, frozen=True, tag="limit"):
    """Limits on what all requests of a scope together may use at one head."""

    scope: Scope
    rate: float = 0.0  # units/s; 0: no bound
    burst_us: int = 0  # bucket depth, as the time in which the rate fills it
    max_open: int = msgspec.field(default=0, name="open")  # unanswered requests; 0: no bound
    bytes_in: float = 0.0  # bytes/s of long bodies, with a burst of one second; 0: no bound
    bytes_out: float = 0.0

    @property
    def key(self) -> str:
        """Key of the record on the discovery stream."""
        return f"limit/{self.scope.key}"


class RetryRule(Struct, frozen=True, tag="retries"):
    """Retries and hedged attempts of a request class."""

    klass: str = ""  # empty: every class without a rule of its own
    max_attempts: int = msgspec.field(default=0, name="attempts")  # including the first one; 0: as the platform allows
    # Ratio of retries to first attempts; negative: no bound.
    budget_share: float = msgspec.field(default=-1.0, name="budget")
    min_retries: int = msgspec.field(default=0, name="free")  # allowed in each window regardless of the share
    hedge_delay_us: int = msgspec.field(default=0, name="second_copy_us")  # before a hedged attempt; 0: no hedging

    @property
    def key(self) -> str:
        """Key of the record on the discovery stream."""
        return f"retries/{self.klass or ANY}"


class SpareSharing(Struct, frozen=True, tag="spare"):
    """How each head shares the capacity that no reserve uses; without this record requests never wait for admission."""

    # Units in flight, including reserved ones, beyond which no spare request is admitted.
    max_units: float = msgspec.field(name="depth")
    max_wait_us: int = msgspec.field(default=50_000, name="wait_us")
    max_queued: int = msgspec.field(default=256, name="queue")  # queued requests of one tenant
    # Whether the heads' shares of reserves follow demand, by leases; otherwise they are even.
    uses_leases: bool = msgspec.field(default=False, name="leases")
    # Capacity of one head in units/s, which bounds the sum of all reserves; 0: unknown.
    head_capacity: float = msgspec.field(default=0.0, name="capacity")

    @property
    def key(self) -> str:
        """Key of the record on the discovery stream."""
        return f"spare/{ANY}"


class EjectionRule(Struct, frozen=True, tag="eject"):
    """When a failing backend is ejected, and for how long."""

    max_error_share: float = msgspec.field(name="errors")  # of a backend's attempts; it is ejected at this share
    window_us: int = msgspec.field(name="over_us")
    ejection_us: int = msgspec.field(name="rest_us")
    max_ejected_share: float = msgspec.field(name="at_most")  # of the live backends
    min_attempts: int = msgspec.field(default=5, name="least")  # in the window; with fewer, a backend is not ejected

    @property
    def key(self) -> str:
        """Key of the record on the discovery stream."""
        return f"eject/{ANY}"


class RolloutRule(Struct, frozen=True, tag="rollout"):
    """How the control service rolls out a version; this record is not sent to heads."""

    first: tuple[str, ...] = ()  # names of the heads of the first wave
    waves: tuple[float, ...] = (1.0,)  # increasing cumulative shares of the known heads
    soak_us: int = msgspec.field(default=0, name="hold_us")  # from a wave's last acknowledgement to the next wave
    # How long to wait for the acknowledgements of a wave's connected heads.
    acknowledge_timeout_us: int = msgspec.field(default=10_000_000, name="patience_us")
    # Share of requests that may fail in excess of the share before the rollout.
    max_failure_share: float = msgspec.field(default=1.0, name="failures")
    on_failure: str = msgspec.field(default="hold", name="on_trouble")  # "hold" or "rollback"

    @property
    def key(self) -> str:
        """Key of the record at the control service."""
        return f"rollout/{ANY}"


MAINTENANCE_RECORDS = (MaintenanceRule, Outage, Release)  # used by the control service only; not part of a version
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
    """A mistake in the record with this key."""

    key: str
    text: str


def encode(record: Record) -> bytes:
    """Encode a record as JSON; equal records have equal encodings."""
    return _ENCODER.encode(record)


def decode(body: bytes) -> Record:
    """Decode a record; raises ValueError if it is invalid. Unknown fields are ignored."""
    record: Any = _DECODER.decode(body)
    return record  # type: ignore[no-any-return]  # a decoder of a union has no precise type


def fingerprint(name: str, body: bytes) -> int:
    """Return a 128-bit hash of one named record.

    The sum of these hashes modulo 2**128 identifies a set of records (an additive multiset hash): a change of one
    record updates the sum without reading the others. It detects lost or swapped records, but not forged ones.
    """
    digest = hashlib.blake2b(body, digest_size=16, person=b"hophinge", key=name.encode()[:64]).digest()
    return int.from_bytes(digest, "big")
