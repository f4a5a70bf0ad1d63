"""Scorers of a head: found by their names in the operator's file, wired to the module, the exchange and the board."""

from __future__ import annotations

import asyncio
import gc
import re
import resource
import time
from collections.abc import Callable, Iterator, Sequence
from importlib.metadata import entry_points
from types import ModuleType
from typing import Any

import msgspec
import pluggy

from hophinge.cluster.interface import ReplicatedEntries, Topic
from hophinge.core import interface as api
from hophinge.core.errors import HophingeError
from hophinge.core.exchange import Exchange
from hophinge.head.watchdog import Watchdog
from hophinge.head.sections import ScoringConfig
from hophinge.popularity.interface import Demand
from hophinge.scoring import latency, outlook, suspicion
from hophinge.scoring.encoding import MAX_SCORER_CHARS
from hophinge.scoring.engine import DeleteEntry, ScoringEngine, PutEntry
from hophinge.scoring.errors import (
    ScorerInterfaceError,
    ScorerParametersError,
    ScorerUnknownError,
    ScorerUnusableError,
)
from hophinge.scoring.interface import GROUP, INTERFACE, PROJECT, Kind, Scorer, Setting, Spec, Surroundings

TICK_S = 1.0  # between merges: long against an answer, short against a repair
BUILT_IN: dict[str, ModuleType] = {"latency": latency, "suspicion": suspicion, "outlook": outlook}


def usage() -> tuple[int, int, int]:
    """Return what this thread has used so far, as hophinge/scoring/guard.py wants it; takes 1.5 us.

    The collector's third count changes with each collection but those of the youngest objects, which take less than a
    call may: only these are an excuse.
    """
    return time.thread_time_ns(), resource.getrusage(resource.RUSAGE_THREAD).ru_nvcsw, gc.get_count()[2]


def find(name: str) -> Kind:
    """Find a scorer by its name: built in, else by entry points of installed packages; no other one is imported."""
    manager = pluggy.PluginManager(PROJECT)
    manager.add_hookspecs(Spec)
    try:
        if name in BUILT_IN:
            manager.register(BUILT_IN[name], name)
        elif len(bring := {point.value for point in entry_points(group=GROUP, name=name)}) > 1:
            # pluggy would take the first that it finds, which changes with the order of folders.
            raise ScorerUnusableError(f"scorer {name!r} is brought by several: {', '.join(sorted(bring))}")
        elif not manager.load_setuptools_entrypoints(GROUP, name):
            raise ScorerUnknownError(f"[scoring] scorers: there is no scorer {name!r}")
        kinds = manager.hook.hophinge_scorer()
    except HophingeError:
        raise
    except Exception as error:  # another package's import or code
        raise ScorerUnusableError(f"scorer {name!r} cannot be loaded: {type(error).__name__}: {error}") from error
    if len(kinds) != 1 or not isinstance(kinds[0], Kind):
        raise ScorerUnusableError(f"the package of scorer {name!r} has no hophinge_scorer, or it tells no Kind")
    kind: Kind = kinds[0]
    if kind.name != name or not 0 < len(name) <= MAX_SCORER_CHARS or not isinstance(kind.parameters, type):
        raise ScorerUnusableError(f"the plug-in of scorer {name!r} brings {kind.name!r}, or states no parameters")
    if kind.interface != INTERFACE:
        raise ScorerInterfaceError(
            f"scorer {name!r} was made for version {kind.interface} of the interface, this is {INTERFACE}"
        )
    return kind


def parameters(kind: Kind, rows: dict[str, Any]) -> Any:
    """Check a scorer's parameters against the form that it states."""
    place = f"[scoring.parameters.{kind.name}]"
    # Checked here too, as a package's form may let unknown keys pass: one that is misspelt would do nothing.
    known = [field.encode_name for field in msgspec.structs.fields(kind.parameters)]
    for key in rows:
        if key not in known:
            raise ScorerParametersError(f"{place} {key}: there is no such key; there are: {', '.join(known) or 'none'}")
    try:
        return msgspec.convert(rows, kind.parameters)
    except msgspec.ValidationError as error:
        what, _, path = str(error).partition(" - at `$")
        key = re.sub(r"^\.|`$", "", path)
        raise ScorerParametersError(f"{place} {key + ': ' if key else ''}{what}") from error


def make(config: ScoringConfig, setting: Setting) -> tuple[dict[str, Scorer], dict[str, str]]:
    """Make the scorers of a configuration; tells besides the versions of their weights."""
    scorers: dict[str, Scorer] = {}
    versions = {}
    for name in config.scorers:
        if name in scorers:
            raise ScorerParametersError(f"[scoring] scorers: {name!r} is named twice")
        kind = find(name)
        checked = parameters(kind, config.parameters.get(name, {}))
        try:
            scorers[name] = kind.make(checked, setting)
        except Exception as error:
            raise ScorerUnusableError(f"scorer {name!r} cannot be made: {type(error).__name__}: {error}") from error
        versions[name] = kind.weights
    for name in config.parameters:
        if name not in scorers:
            raise ScorerParametersError(f"[scoring.parameters.{name}]: scorers does not name {name!r}")
    return scorers, versions


class Scoring:
    """Scorers at work in one head; raises a HophingeError where they cannot be made."""

    def __init__(
        self,
        config: ScoringConfig,
        exchange: Exchange,
        log: Callable[[str], None],
        clock_ns: Callable[[], int] = time.perf_counter_ns,
    ) -> None:
        settings = exchange.settings
        aim_us = min(klass.target_latency_us for klass in settings.classes)
        setting = Setting(aim_us, aim_us * config.most_part)
        self.config = config
        self.exchange = exchange
        self.log = log
        self.surroundings = Surroundings(settings.rules.slow_start_us)
        scorers, versions = make(config, setting)
        self.engine = ScoringEngine(
            scorers, versions, setting.most_us, config.budget_us, clock_ns, log, self.surroundings, usage=usage
        )
        self.board: ReplicatedEntries | None = None
        self.refused = ""  # why the board took no entry, as it was last logged
        exchange.scheduler.scorers = self.engine
        exchange.on_attempt_ended = self.heard

    def share(self, me: str, board: ReplicatedEntries) -> None:
        """Share weights with peers as the member `me`, where the configuration says so."""
        if self.config.share:
            self.board = board
            self.engine.share_as(me)

    def expect(self, demand: Demand) -> None:
        """Use predicted demand."""
        self.surroundings.demand = demand.requests_per_second

    def heard(self, node: str, result: api.Result, elapsed_us: int) -> None:
        """Take how an attempt ended; the exchange's hook."""
        self.engine.heard(self.exchange.now_us(), node, result, elapsed_us)

    async def run(self) -> None:
        """Tick, and break scorers that hang, until cancelled."""
        watchdog = Watchdog(self.engine.guard, self.log)
        watchdog.start()
        try:
            while True:
                await asyncio.sleep(TICK_S)
                for _ in self.slices():
                    await asyncio.sleep(0)  # requests first
        finally:
            watchdog.stop()

    def slices(self) -> Iterator[None]:
        """Learn, merge and tell peers, in slices; what goes wrong is logged, as nothing of it may end the head."""
        try:
            entries = self.board.entries(Topic.WEIGHTS) if self.board is not None else ()
            nodes = frozenset(self.exchange.phases)  # as it is now: it changes between slices
            actions: list[PutEntry | DeleteEntry] = []
            yield from self.engine.slices(self.exchange.now_us(), nodes, entries, actions)
            self._carry_out(actions)
        except Exception as error:
            self._refused(f"scorers' tick failed: {type(error).__name__}: {error}")

    def tick(self) -> None:
        """Do all slices in one go."""
        for _ in self.slices():
            pass

    def _carry_out(self, actions: Sequence[PutEntry | DeleteEntry]) -> None:
        if self.board is None:
            return
        for action in actions:
            try:
                if isinstance(action, PutEntry):
                    self.board.put(Topic.WEIGHTS, action.key, action.value)
                else:
                    self.board.delete(Topic.WEIGHTS, action.key)
            except HophingeError as error:
                self._refused(error.one_line())  # tried again with the next tick
                continue
            self.engine.confirm(action)

    def _refused(self, what: str) -> None:
        if what != self.refused:
            self.refused = what
            self.log(what)

    def resume(self) -> None:
        """Take an operator's word that scorers which are left out may be asked again."""
        self.engine.reinstate_all()

    def status(self) -> str:
        """Return the scorers' state, as JSON for operators."""
        now, reader = self.exchange.now_us(), self.engine.reader
        rows: dict[str, Any] = {
            "interface": INTERFACE,
            "most_us": self.engine.guard.max_added_us,
            "budget_us": self.config.budget_us,
            "scorers": {
                one.name: {
                    "at_work": one.exclusion.is_callable(now),
                    "off_until_told": one.exclusion.is_disabled,
                    "back_in_s": max(0, one.exclusion.excluded_until_us - now) / 1e6,
                    "mistakes": one.exclusion.failures,
                    **one.counts,
                }
                for one in self.engine.guard.scorers
            },
        }
        if reader is not None:
            rows["peers"] = {
                name: {
                    owner: {
                        "trust": round(peer.agreement.trust, 3),
                        "counts_for": round(peer.freshness(now), 3),
                        "bricks": len(peer.weights),
                    }
                    for owner, peer in shared.peers.items()
                }
                for name, shared in self.engine.shared.items()
            }
            rows |= {
                "entries_bad": reader.invalid_entries,
                "entries_of_other_versions": reader.other_versions,
                "bricks_without_room": self.engine.omitted_backends,
            }
        return msgspec.json.format(msgspec.json.encode(rows), indent=1).decode() + "\n"

    def gauges(self) -> dict[str, float]:
        """Return the metrics that alerts use."""
        now, reader = self.exchange.now_us(), self.engine.reader
        scorers = self.engine.guard.scorers
        return {
            "scorers_left_out": sum(not one.exclusion.is_callable(now) for one in scorers),
            "scorers_off": sum(one.exclusion.is_disabled for one in scorers),
            "weights_bad_total": sum(reader.invalid_entries.values()) if reader is not None else 0,
        }
