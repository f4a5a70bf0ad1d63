"""Settings: classes, plans, rules and what a deployment allows; 0 or empty where it states nothing."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


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


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; worth counts per request, aim and deadline from its first arrival."""

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
