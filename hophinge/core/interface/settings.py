"""Settings: classes, plans, rules and what a deployment allows; 0 or empty where not configured."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request of a class may be repeated."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The nodes that deduplicate the repeats of a keyed request: all, those of its zone, or those of its shard."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Discovery(Enum):
    """Whether node lists are pushed or have to be requested."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; its value is per request, target latency and deadline count from the first arrival."""

    target_latency_us: int
    deadline_us: int
    effect: Effect
    scope: DedupScope
    dedup_window_us: int
    value: float
    late_value: float
    in_order: bool
    stream: bool
    name: str = ""


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan, for each of its volumes over all gateways and nodes.

    `rate`, `reserve` and `limit` are in units per second, `limit_burst` and `limit_slack` in units.
    """

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
    """The parameters of the rules."""

    answer_grace_us: int
    drain_grace_us: int
    overload_multiple: float
    overload_window_us: int
    slow_start_share: float
    slow_start_us: int
    slow_start_units: float
    budget_free: float
    budget_share: float
    budget_us: int
    key_block_us: int
    watch_within_us: int


@dataclass(frozen=True, slots=True)
class Allowed:
    """What a deployment permits its gateways."""

    attempts: int
    hedging: bool
    cancel: bool
    probes: bool
    retry_after_us: int
    connect_timeout_us: int = 0
    conn_idle_us: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    """The whole configuration that a gateway gets at its start."""

    me: int
    gateways: int
    tick_us: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules
    allowed: Allowed
    discovery: Discovery
    mean_units: float
    max_units: float
    share_value: float
    spare_value: float
    meter_us: int
    tells_elsewhere: bool
    report_fields: tuple[str, ...]
    report_in_answers: bool
    probe_price: float
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    shards: int = 0
