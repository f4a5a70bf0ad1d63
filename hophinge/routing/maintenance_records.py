"""Maintenance records: disruption budgets, outages, and releases of new builds to heads.

Only the control service uses them; they are not sent to heads. JSON field names are given where they differ.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

ROUNDING = 1e-9


class DisruptionBudget(Struct, frozen=True):
    """How many heads or backends may be out of service at once, in total and per zone.

    A negative value means no bound; if several bounds apply, the strictest one counts.
    """

    max_count: int = msgspec.field(default=-1, name="most")
    max_share: float = msgspec.field(default=-1.0, name="part")
    max_zone_count: int = msgspec.field(default=-1, name="zone_most")
    max_zone_share: float = msgspec.field(default=-1.0, name="zone_part")

    def allowed_out(self, total: int) -> int:
        """Return how many of `total` may be out of service at once."""
        return _strictest(self.max_count, self.max_share, total)

    def allowed_out_of_zone(self, size: int) -> int:
        """Return how many may be out of service at once in a zone of `size`."""
        return _strictest(self.max_zone_count, self.max_zone_share, size)


def _strictest(max_count: int, max_share: float, total: int) -> int:
    bounds = [max_count] if max_count >= 0 else []
    if max_share >= 0:
        bounds.append(int(max_share * total + ROUNDING))
    return min(bounds, default=total)


class MaintenanceRule(Struct, frozen=True, tag="maintenance"):
    """Limits on planned maintenance: how much may be out of service deliberately."""

    heads: DisruptionBudget | None = None  # None: no head may be out of service
    backends: DisruptionBudget | None = msgspec.field(default=None, name="bricks")
    # Heads that must send requests to a returned, warm backend before its permit is released for another one.
    min_serving_heads: int = msgspec.field(default=2, name="served")
    # Capacity of one backend in units/s, to check that pools keep enough capacity for reserves; 0: unknown.
    backend_capacity: float = msgspec.field(default=0.0, name="capacity")
    # Heads that an operator declared to be permanently removed.
    retired_heads: tuple[str, ...] = msgspec.field(default=(), name="retired")
    # Permits released by an operator, without evidence of the return.
    released_permits: tuple[str, ...] = msgspec.field(default=(), name="free")

    @property
    def key(self) -> str:
        """Key of the record within the document."""
        return "maintenance/*"


class Outage(Struct, frozen=True, tag="outage"):
    """Backends and heads that are to be out of service for as long as the record exists."""

    name: str
    backends: tuple[str, ...] = msgspec.field(default=(), name="bricks")
    heads: tuple[str, ...] = ()
    ignored_heads: tuple[str, ...] = msgspec.field(default=(), name="without")  # their confirmation is not awaited

    @property
    def key(self) -> str:
        """Key of the record within the document."""
        return f"outage/{self.name}"


class Release(Struct, frozen=True, tag="release"):
    """A build that heads are to run, rolled out by restarts in waves."""

    name: str
    build: str
    heads: tuple[str, ...] = ()  # empty: all
    # Increasing cumulative shares of the heads; the very first head is restarted alone.
    waves: tuple[float, ...] = (1.0,)
    soak_us: int = msgspec.field(default=30_000_000, name="settle_us")  # between waves
    # Maximum time from the stop of a head until it is back.
    return_timeout_us: int = msgspec.field(default=300_000_000, name="patience_us")
    # The release halts if the failure share of a wave exceeds that of the other heads by more than this.
    max_failure_share: float = msgspec.field(default=0.02, name="refused")
    command: str = msgspec.field(default="go", name="word")  # "go", "halt" or "back"
    resume_count: int = msgspec.field(default=0, name="again")  # incremented by an operator to resume a halted release

    @property
    def key(self) -> str:
        """Key of the record within the document."""
        return f"release/{self.name}"
