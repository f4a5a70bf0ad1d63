"""Test doubles for scorers: candidates and views without a head."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from msgspec import Struct

from hophinge.core import interface as api
from hophinge.scoring.interface import Surroundings, View


class Candidate(Struct, frozen=True):
    """A candidate for a test; times in microseconds, `free` on the clock of the view."""

    node: str
    zone: int = 0
    free: float = 0.0
    units_out: float = 0.0
    lag: float = 0.0
    failures: int = 0
    warm: float = 1.0  # from 0 to 1

    @property
    def entry(self) -> api.NodeEntry:
        """Its entry in the node list."""
        return api.NodeEntry(self.node, self.zone, 0, api.Phase.ON, 1.0, 0)

    @property
    def free_at(self) -> float:
        """When its work should be done, in microseconds."""
        return self.free

    @property
    def recent_latency(self) -> float:
        """The recent latency of its answers, in microseconds."""
        return self.lag

    def warmth(self, now: int, slow_start_us: int) -> float:
        """Return how far it has warmed up, from 0 to 1."""
        return self.warm


def view(
    candidates: Sequence[Candidate],
    now_us: int = 0,
    key: str = "key",
    units: float = 1.0,
    drains: Collection[str] = (),
    demand: float = 0.0,
) -> View:
    """Create a view of a choice among candidates."""
    surroundings = Surroundings()
    surroundings.drains = drains
    surroundings.demand = lambda requested_key: demand if requested_key == key else 0.0
    arrival = api.Arrival("request", units, "volume", 0, -1, 1, key, 1_000_000, True, 0)
    return View.of(now_us, arrival, candidates, surroundings)
