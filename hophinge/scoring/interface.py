"""The public interface of scorers: what one reads of a choice, what it returns, and how a package provides one.

A scorer adds times to the permissible candidates; the one that is then free first is chosen. It cannot add a candidate,
and none of its faults reaches a request: see hophinge/scoring/guard.py.
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
    """What a head knows beside its own measurements; the composition of the head sets and updates it."""

    def __init__(self, cold_us: int = 0) -> None:
        self.cold_us = cold_us  # for which a backend that has started counts as cold
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
        return cls(now_us, tuple([one.entry.node for one in seen]), ask, seen, surroundings, {})

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
        kept: tuple[int, ...] | None = self._kept.get("zones")
        if kept is None:
            kept = self._kept["zones"] = tuple([one.entry.zone for one in self._seen])
        return kept

    @property
    def wait_us(self) -> tuple[float, ...]:
        """The microseconds until the work that this head has sent there should be done, as the head estimates."""
        now = self.now_us
        kept: tuple[float, ...] | None = self._kept.get("wait_us")
        if kept is None:
            kept = self._kept["wait_us"] = tuple([max(0.0, one.free_at - now) for one in self._seen])
        return kept

    @property
    def lag_us(self) -> tuple[float, ...]:
        """The recent latency of answers in microseconds; 0.0 without an answer."""
        kept: tuple[float, ...] | None = self._kept.get("lag_us")
        if kept is None:
            kept = self._kept["lag_us"] = tuple([one.recent_latency for one in self._seen])
        return kept

    @property
    def units_out(self) -> tuple[float, ...]:
        """The units that this head has sent there and that are not answered."""
        kept: tuple[float, ...] | None = self._kept.get("units_out")
        if kept is None:
            kept = self._kept["units_out"] = tuple([one.units_out for one in self._seen])
        return kept

    @property
    def failures(self) -> tuple[int, ...]:
        """The number of attempts that failed in a row."""
        kept: tuple[int, ...] | None = self._kept.get("failures")
        if kept is None:
            kept = self._kept["failures"] = tuple([one.failures for one in self._seen])
        return kept

    @property
    def warmth(self) -> tuple[float, ...]:
        """How far each has warmed up since it started, from 0 to 1."""
        now, cold_us = self.now_us, self._surroundings.cold_us
        kept: tuple[float, ...] | None = self._kept.get("warmth")
        if kept is None:
            kept = self._kept["warmth"] = tuple([one.warmth(now, cold_us) for one in self._seen])
        return kept

    @property
    def draining(self) -> tuple[bool, ...]:
        """Whether each is being drained, or soon will be."""
        kept: tuple[bool, ...] | None = self._kept.get("draining")
        if kept is None:
            drains = self._surroundings.drains
            kept = self._kept["draining"] = tuple([node in drains for node in self.nodes])
        return kept

    @property
    def demand(self) -> float:
        """The predicted requests per second for the key; 0.0 if unknown."""
        kept: float | None = self._kept.get("demand")
        if kept is None:
            kept = self._kept["demand"] = self._surroundings.demand(self._ask.key)
        return kept


class Weight(Struct, frozen=True, gc=False):
    """What a scorer has learned of a backend: 0.0 is neutral, 1.0 the worst; evidence: own answers that it rests on."""

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
        """Do periodic work, once a second and not while a request waits; what is not in `nodes` may be forgotten."""
        return

    def weights(self, now_us: int) -> Mapping[str, Weight]:
        """Return own weights by backend, to be shared; a missing backend is neutral."""
        return {}

    def merged(self, now_us: int, weights: Mapping[str, float]) -> None:
        """Handle own weights merged with those of peers, by backend; a missing backend is neutral."""
        return


class Setting(Struct, frozen=True):
    """What a scorer gets when it is created, in microseconds."""

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
