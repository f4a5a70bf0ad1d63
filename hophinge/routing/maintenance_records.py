"""Records on maintenance: how much may be out of service, what is to be out, and which build heads are to run.

The control service keeps them; heads are not told of them. Field names of the JSON are given where they differ.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

ROUNDING = 1e-9


class DisruptionBudget(Struct, frozen=True):
    """How many of a kind may be out at once, in all and in one zone; negative: no bound. The strictest bound counts."""

    max_count: int = msgspec.field(default=-1, name="most")
    max_share: float = msgspec.field(default=-1.0, name="part")
    max_zone_count: int = msgspec.field(default=-1, name="zone_most")
    max_zone_share: float = msgspec.field(default=-1.0, name="zone_part")

    def allowed_out(self, total: int) -> int:
        """Return how many of `total` may be out."""
        return _strictest(self.max_count, self.max_share, total)

    def allowed_out_of_zone(self, size: int) -> int:
        """Return how many may be out of a zone that has `size`."""
        return _strictest(self.max_zone_count, self.max_zone_share, size)


def _strictest(max_count: int, max_share: float, total: int) -> int:
    bounds = [max_count] if max_count >= 0 else []
    if max_share >= 0:
        bounds.append(int(max_share * total + ROUNDING))
    return min(bounds, default=total)


class MaintenanceRule(Struct, frozen=True, tag="maintenance"):
    """What may be out of service on purpose."""

    heads: DisruptionBudget | None = None  # None: none may be out
    backends: DisruptionBudget | None = msgspec.field(default=None, name="bricks")
    # Heads that must send requests to a warm backend again before another one may go out in its place.
    min_serving_heads: int = msgspec.field(default=2, name="served")
    # Units/s of one backend, for the capacity that pools must keep for reserves; 0: unknown.
    backend_capacity: float = msgspec.field(default=0.0, name="capacity")
    retired_heads: tuple[str, ...] = msgspec.field(default=(), name="retired")  # gone for good, says an operator
    released_permits: tuple[str, ...] = msgspec.field(default=(), name="free")  # by an operator, not by evidence

    @property
    def key(self) -> str:
        """Name of the record within the document."""
        return "maintenance/*"


class Outage(Struct, frozen=True, tag="outage"):
    """Backends and heads that are to be out for as long as the record is there."""

    name: str
    backends: tuple[str, ...] = msgspec.field(default=(), name="bricks")
    heads: tuple[str, ...] = ()
    ignored_heads: tuple[str, ...] = msgspec.field(default=(), name="without")  # whose confirmation is not awaited

    @property
    def key(self) -> str:
        """Name of the record within the document."""
        return f"outage/{self.name}"


class Release(Struct, frozen=True, tag="release"):
    """A build that heads are to run, introduced in waves of restarts."""

    name: str
    build: str
    heads: tuple[str, ...] = ()  # empty: all
    waves: tuple[float, ...] = (1.0,)  # rising shares of the heads; the very first head goes alone
    soak_us: int = msgspec.field(default=30_000_000, name="settle_us")  # between waves
    return_timeout_us: int = msgspec.field(default=300_000_000, name="patience_us")  # from a head's stop to its return
    # Share of a wave's requests that may fail beyond the share of the other heads; above it the release halts.
    max_failure_share: float = msgspec.field(default=0.02, name="refused")
    command: str = msgspec.field(default="go", name="word")  # or "halt", or "back"
    resume_count: int = msgspec.field(default=0, name="again")  # raised by operators to resume a halted release

    @property
    def key(self) -> str:
        """Name of the record within the document."""
        return f"release/{self.name}"
