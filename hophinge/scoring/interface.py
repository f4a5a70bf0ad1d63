"""The public interface of scorers: their view of a choice, what they return, and how a package provides one.

A scorer adds times to the permissible candidates; the candidate that is then free first is chosen. A scorer cannot add
candidates, and none of its failures affects a request: see hophinge/scoring/guard.py.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Container, Mapping, Sequence
from typing import Any

import pluggy
from msgspec import Struct

from hophinge.core import interface as api

INTERFACE = 1  # increases with each incompatible change
GROUP = "hophinge.scorers"  # of entry points
PROJECT = "hophinge"

scorer_spec = pluggy.HookspecMarker(PROJECT)
scorer_impl = pluggy.HookimplMarker(PROJECT)


def _no_demand(key: str) -> float:
    return 0.0


class Surroundings:
    """What a head knows besides its own measurements; the head's other components set and update it."""

    def __init__(self, cold_us: int = 0) -> None:
        self.cold_us = cold_us  # how long a backend counts as cold after its start
        self.drains: Collection[str] = frozenset()  # backends that are being drained, or soon will be
        self.demand: Callable[[str], float] = _no_demand  # predicted requests per second by key


class View(Struct, frozen=True):
    """The candidates of one choice: each property is a tuple in the order of `nodes`.

    A property is computed when it is first read and shared by all scorers of the choice; unread ones cost nothing.
    """

    now_us: int  # on the head's clock
    nodes: tuple[str, ...]  # the candidates' names
    _ask: api.Arrival
    _seen: Sequence[api.NodeObservation]
    _surroundings: Surroundings
    _kept: dict[str, Any]

    @classmethod
    def of(cls, now_us: int, ask: api.Arrival, seen: Sequence[api.NodeObservation], surroundings: Surroundings) -> View:
        """Create the view of a choice."""
        return cls(now_us, tuple([observation.entry.node for observation in seen]), ask, seen, surroundings, {})

    def __len__(self) -> int:
        return len(self.nodes)

    @property
    def key(self) -> str:
        """The key of the object that is to be placed."""
        return self._ask.key

    @property
    def units(self) -> float:
        """The units of work of the request."""
        return self._ask.units

    @property
    def zones(self) -> tuple[int, ...]:
        """The zones, as numbers of the node list."""
        cached: tuple[int, ...] | None = self._kept.get("zones")
        if cached is None:
            cached = self._kept["zones"] = tuple([observation.entry.zone for observation in self._seen])
        return cached

    @property
    def wait_us(self) -> tuple[float, ...]:
        """The estimated microseconds until the work that this head has sent there is done."""
        now = self.now_us
        cached: tuple[float, ...] | None = self._kept.get("wait_us")
        if cached is None:
            cached = self._kept["wait_us"] = tuple([max(0.0, observation.free_at - now) for observation in self._seen])
        return cached

    @property
    def lag_us(self) -> tuple[float, ...]:
        """The recent latency of answers in microseconds; 0.0 without an answer."""
        cached: tuple[float, ...] | None = self._kept.get("lag_us")
        if cached is None:
            cached = self._kept["lag_us"] = tuple([observation.recent_latency for observation in self._seen])
        return cached

    @property
    def units_out(self) -> tuple[float, ...]:
        """The units that this head has sent there and that are not answered yet."""
        cached: tuple[float, ...] | None = self._kept.get("units_out")
        if cached is None:
            cached = self._kept["units_out"] = tuple([observation.units_out for observation in self._seen])
        return cached

    @property
    def failures(self) -> tuple[int, ...]:
        """The attempts that failed since the last served one, without those sent before a backoff ended."""
        cached: tuple[int, ...] | None = self._kept.get("failures")
        if cached is None:
            cached = self._kept["failures"] = tuple([observation.failures for observation in self._seen])
        return cached

    @property
    def warmth(self) -> tuple[float, ...]:
        """How far each has warmed up since it started, from 0 to 1."""
        now, cold_us = self.now_us, self._surroundings.cold_us
        cached: tuple[float, ...] | None = self._kept.get("warmth")
        if cached is None:
            cached = self._kept["warmth"] = tuple([observation.warmth(now, cold_us) for observation in self._seen])
        return cached

    @property
    def draining(self) -> tuple[bool, ...]:
        """Whether each is being drained, or soon will be."""
        cached: tuple[bool, ...] | None = self._kept.get("draining")
        if cached is None:
            drains = self._surroundings.drains
            cached = self._kept["draining"] = tuple([node in drains for node in self.nodes])
        return cached

    @property
    def demand(self) -> float:
        """The predicted requests per second for the key; 0.0 if unknown."""
        cached: float | None = self._kept.get("demand")
        if cached is None:
            cached = self._kept["demand"] = self._surroundings.demand(self._ask.key)
        return cached


class Weight(Struct, frozen=True, gc=False):
    """What a scorer has learned about a backend.

    `value` is from 0.0, neutral, to 1.0, the worst; `evidence` is the number of own answers that it is based on.
    """

    value: float
    evidence: float


class Scorer:
    """Base class of scorers; all calls come from one thread, and none may block."""

    def added_us(self, view: View) -> list[float]:
        """Return the added microseconds of each candidate, in the order of `view.nodes`: floats, 0.0 or more."""
        raise NotImplementedError

    def heard(self, now_us: int, node: str, result: api.Result, elapsed_us: int) -> None:
        """Handle the result of this head's own attempt at a backend."""
        return

    def tick(self, now_us: int, nodes: Container[str]) -> None:
        """Do periodic work, once a second and not while a request waits; backends not in `nodes` may be dropped."""
        return

    def weights(self, now_us: int) -> Mapping[str, Weight]:
        """Return own weights by backend, to be shared; a missing backend is neutral."""
        return {}

    def merged(self, now_us: int, weights: Mapping[str, float]) -> None:
        """Handle own weights merged with those of peers, by backend; a missing backend is neutral."""
        return


class Setting(Struct, frozen=True):
    """The settings that a scorer is created with, in microseconds."""

    aim_us: int  # the tightest latency target of the installation's classes
    most_us: float  # the longest time that all scorers together may add


class Kind(Struct, frozen=True):
    """How a package provides a scorer."""

    name: str  # under which [scoring] lists it
    interface: int  # the INTERFACE that it was written for
    parameters: type[Struct]  # the schema of [scoring.parameters.NAME]
    make: Callable[[Any, Setting], Scorer]  # from the validated parameters
    weights: str = ""  # version of the meaning of its weights; empty: it shares none


class Spec:
    """The hooks of a plug-in."""

    @scorer_spec
    def hophinge_scorer(self) -> Kind:
        """Return the scorer that this plug-in provides."""
        raise NotImplementedError
