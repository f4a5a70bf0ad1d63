"""The public interface of scorers: what one sees of a choice, what it may say, and how a package brings one.

A scorer adds times to candidates that the module has found permissible; the one that then frees earliest is chosen. It
can bring in none, and nothing that it does wrong reaches a request: see hophinge/scoring/guard.py.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Container, Mapping, Sequence
from typing import Any

import pluggy
from msgspec import Struct

from hophinge.core import interface as api

INTERFACE = 1  # grows where a scorer written for the one before would no longer work
GROUP = "hophinge.scorers"  # of entry points
PROJECT = "hophinge"

scorer_spec = pluggy.HookspecMarker(PROJECT)
scorer_impl = pluggy.HookimplMarker(PROJECT)


def _no_demand(key: str) -> float:
    return 0.0


class Surroundings:
    """What a head knows besides its books; whoever composes the head sets it, and changes it as it learns."""

    def __init__(self, cold_us: int = 0) -> None:
        self.cold_us = cold_us  # for which a started brick counts as cold
        self.drains: Collection[str] = frozenset()  # bricks that are being drained, or soon will be
        self.demand: Callable[[str], float] = _no_demand  # predicted requests a second by key


class View(Struct, frozen=True):
    """The candidates of one choice, to be read: one tuple a property, all in the order of `nodes`.

    A property is made when it is first read and shared by all scorers of the choice; what none reads costs nothing.
    """

    now_us: int  # on the head's one clock
    nodes: tuple[str, ...]  # the candidates' names
    _ask: api.Arrival
    _seen: Sequence[api.NodeObservation]
    _surroundings: Surroundings
    _kept: dict[str, Any]

    @classmethod
    def of(cls, now_us: int, ask: api.Arrival, seen: Sequence[api.NodeObservation], surroundings: Surroundings) -> View:
        """Make the view of a choice."""
        return cls(now_us, tuple([one.entry.node for one in seen]), ask, seen, surroundings, {})

    def __len__(self) -> int:
        return len(self.nodes)

    @property
    def key(self) -> str:
        """Tell the key of the object that looks for a place."""
        return self._ask.key

    @property
    def units(self) -> float:
        """Tell the units of work that the request is worth."""
        return self._ask.units

    @property
    def zones(self) -> tuple[int, ...]:
        """Tell their zones, by the numbers of the node list."""
        kept: tuple[int, ...] | None = self._kept.get("zones")
        if kept is None:
            kept = self._kept["zones"] = tuple([one.entry.zone for one in self._seen])
        return kept

    @property
    def wait_us(self) -> tuple[float, ...]:
        """Tell in how many microseconds what was sent there from here should be done, by the head's book."""
        now = self.now_us
        kept: tuple[float, ...] | None = self._kept.get("wait_us")
        if kept is None:
            kept = self._kept["wait_us"] = tuple([max(0.0, one.free_at - now) for one in self._seen])
        return kept

    @property
    def lag_us(self) -> tuple[float, ...]:
        """Tell what their answers took lately, in microseconds; 0.0 where none was heard."""
        kept: tuple[float, ...] | None = self._kept.get("lag_us")
        if kept is None:
            kept = self._kept["lag_us"] = tuple([one.recent_latency for one in self._seen])
        return kept

    @property
    def units_out(self) -> tuple[float, ...]:
        """Tell the units sent there from here and not answered."""
        kept: tuple[float, ...] | None = self._kept.get("units_out")
        if kept is None:
            kept = self._kept["units_out"] = tuple([one.units_out for one in self._seen])
        return kept

    @property
    def failures(self) -> tuple[int, ...]:
        """Tell their trials in a row that failed."""
        kept: tuple[int, ...] | None = self._kept.get("failures")
        if kept is None:
            kept = self._kept["failures"] = tuple([one.failures for one in self._seen])
        return kept

    @property
    def warmth(self) -> tuple[float, ...]:
        """Tell how far each has warmed up since it started, from 0 to 1."""
        now, cold_us = self.now_us, self._surroundings.cold_us
        kept: tuple[float, ...] | None = self._kept.get("warmth")
        if kept is None:
            kept = self._kept["warmth"] = tuple([one.warmth(now, cold_us) for one in self._seen])
        return kept

    @property
    def draining(self) -> tuple[bool, ...]:
        """Tell which are being drained, or soon will be."""
        kept: tuple[bool, ...] | None = self._kept.get("draining")
        if kept is None:
            drains = self._surroundings.drains
            kept = self._kept["draining"] = tuple([node in drains for node in self.nodes])
        return kept

    @property
    def demand(self) -> float:
        """Tell the key's predicted requests a second; 0.0 where nothing is known."""
        kept: float | None = self._kept.get("demand")
        if kept is None:
            kept = self._kept["demand"] = self._surroundings.demand(self._ask.key)
        return kept


class Weight(Struct, frozen=True, gc=False):
    """What a scorer has learned of a brick: 0.0 neutral, 1.0 the worst; evidence: own answers that it rests on."""

    value: float
    evidence: float


class Scorer:
    """Base of scorers; all calls come from one thread, and none may wait for anything."""

    def added_us(self, view: View) -> list[float]:
        """Tell added microseconds for each candidate, in the order of `view.nodes`: floats, 0.0 or more."""
        raise NotImplementedError

    def heard(self, now_us: int, node: str, result: api.Result, elapsed_us: int) -> None:
        """Take how an attempt at a brick ended, from this head's own answers."""
        return

    def tick(self, now_us: int, nodes: Container[str]) -> None:
        """Do what need not be done while a request waits: once a second; what is not in `nodes` may be forgotten."""
        return

    def weights(self, now_us: int) -> Mapping[str, Weight]:
        """Tell own weights by brick, to be shared; a brick that is not named is neutral."""
        return {}

    def merged(self, now_us: int, weights: Mapping[str, float]) -> None:
        """Take own weights merged with what peers say, by brick; a brick that is not named is neutral."""
        return


class Setting(Struct, frozen=True):
    """What a scorer is told when it is made, in microseconds."""

    aim_us: int  # the tightest aim of the installation's classes
    most_us: float  # the longest time that all scorers together may add


class Kind(Struct, frozen=True):
    """How a package brings a scorer."""

    name: str  # by which [scoring] names it
    interface: int  # INTERFACE of the version that it was written for
    parameters: type[Struct]  # the form of [scoring.parameters.NAME]
    make: Callable[[Any, Setting], Scorer]  # from the checked parameters
    weights: str = ""  # version of what its weights mean; empty: it shares none


class Spec:
    """What a plug-in is asked for."""

    @scorer_spec
    def hophinge_scorer(self) -> Kind:
        """Tell the scorer that this plug-in brings."""
        raise NotImplementedError
