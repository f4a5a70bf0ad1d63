"""A head's scorers: loads those that the operator's file names and connects them to the scheduler and to peers.

Results of attempts come from the exchange, the weights of peers from the cluster's replicated entries.
"""

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

TICK_S = 1.0  # between merges of weights: long compared with a response, short compared with a repair
BUILT_IN: dict[str, ModuleType] = {"latency": latency, "suspicion": suspicion, "outlook": outlook}


def usage() -> tuple[int, int, int]:
    """Return this thread's CPU time in ns, its voluntary context switches and a count of garbage collections.

    hophinge/scoring/guard.py decides by them whether a slow call was the scorer's fault; reading them takes 1.5 us.
    The collector's third count changes with each collection except those of the youngest generation. These take less
    time than a call's budget, so they do not excuse a slow call; the others do.
    """
    return time.thread_time_ns(), resource.getrusage(resource.RUSAGE_THREAD).ru_nvcsw, gc.get_count()[2]


def find(name: str) -> Kind:
    """Return the scorer of a name, a built-in one or that of an installed package's entry point.

    Only that package is imported. Raises a HophingeError if the scorer is missing, ambiguous or unusable.
    """
    manager = pluggy.PluginManager(PROJECT)
    manager.add_hookspecs(Spec)
    try:
        if name in BUILT_IN:
            manager.register(BUILT_IN[name], name)
        elif len(providers := {point.value for point in entry_points(group=GROUP, name=name)}) > 1:
            # pluggy would take the first that it finds, which depends on the order of sys.path.
            raise ScorerUnusableError(f"scorer {name!r} has several entry points: {', '.join(sorted(providers))}")
        elif not manager.load_setuptools_entrypoints(GROUP, name):
            raise ScorerUnknownError(f"[scoring] scorers: there is no scorer {name!r}")
        kinds = manager.hook.hophinge_scorer()
    except HophingeError:
        raise
    except Exception as error:  # raised by the package's own code
        raise ScorerUnusableError(f"scorer {name!r} cannot be loaded: {type(error).__name__}: {error}") from error
    if len(kinds) != 1 or not isinstance(kinds[0], Kind):
        raise ScorerUnusableError(f"the package of scorer {name!r} has no hophinge_scorer hook that returns a Kind")
    kind: Kind = kinds[0]
    if kind.name != name or not 0 < len(name) <= MAX_SCORER_CHARS or not isinstance(kind.parameters, type):
        raise ScorerUnusableError(
            f"the plug-in of scorer {name!r} provides {kind.name!r}, or its parameters are not a type"
        )
    if kind.interface != INTERFACE:
        raise ScorerInterfaceError(
            f"scorer {name!r} was written for version {kind.interface} of the interface, this is {INTERFACE}"
        )
    return kind


def parameters(kind: Kind, rows: dict[str, Any]) -> Any:
    """Return a scorer's parameters, validated by its schema; raises ScorerParametersError naming the key."""
    section = f"[scoring.parameters.{kind.name}]"
    # Checked here too, as a package's schema may allow unknown keys: a misspelt key would be ignored.
    known = [field.encode_name for field in msgspec.structs.fields(kind.parameters)]
    for key in rows:
        if key not in known:
            raise ScorerParametersError(
                f"{section} {key}: there is no such key; there are: {', '.join(known) or 'none'}"
            )
    try:
        return msgspec.convert(rows, kind.parameters)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$")
        key = re.sub(r"^\.|`$", "", path)
        raise ScorerParametersError(f"{section} {key + ': ' if key else ''}{reason}") from error


def make(config: ScoringConfig, setting: Setting) -> tuple[dict[str, Scorer], dict[str, str]]:
    """Create the scorers of a configuration; returns them and the versions of their weights, both by name."""
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
            raise ScorerUnusableError(f"scorer {name!r} cannot be created: {type(error).__name__}: {error}") from error
        versions[name] = kind.weights
    for name in config.parameters:
        if name not in scorers:
            raise ScorerParametersError(f"[scoring.parameters.{name}]: [scoring] scorers does not list {name!r}")
    return scorers, versions


class Scoring:
    """The scorers of one head; raises a HophingeError if they cannot be created."""

    def __init__(
        self,
        config: ScoringConfig,
        exchange: Exchange,
        log: Callable[[str], None],
        clock_ns: Callable[[], int] = time.perf_counter_ns,
    ) -> None:
        settings = exchange.settings
        target_us = min(klass.target_latency_us for klass in settings.classes)
        setting = Setting(target_us, target_us * config.most_part)
        self.config = config
        self.exchange = exchange
        self.log = log
        self.surroundings = Surroundings(settings.rules.slow_start_us)
        scorers, versions = make(config, setting)
        self.engine = ScoringEngine(
            scorers, versions, setting.most_us, config.budget_us, clock_ns, log, self.surroundings, usage=usage
        )
        self.entries: ReplicatedEntries | None = None
        self.logged_error = ""  # the last error that was logged
        exchange.scheduler.scorers = self.engine
        exchange.on_attempt_ended = self.record_attempt

    def share(self, own_name: str, entries: ReplicatedEntries) -> None:
        """Share weights with peers under the name of this member, if the configuration enables it."""
        if self.config.share:
            self.entries = entries
            self.engine.share_as(own_name)

    def use_demand(self, demand: Demand) -> None:
        """Let the scorers read a demand forecast."""
        self.surroundings.demand = demand.requests_per_second

    def record_attempt(self, node: str, result: api.Result, elapsed_us: int) -> None:
        """Pass the result of an attempt to the scorers; called by the exchange."""
        self.engine.heard(self.exchange.now_us(), node, result, elapsed_us)

    async def run(self) -> None:
        """Tick and interrupt scorers that hang, until cancelled."""
        watchdog = Watchdog(self.engine.guard, self.log)
        watchdog.start()
        try:
            while True:
                await asyncio.sleep(TICK_S)
                for _ in self.slices():
                    await asyncio.sleep(0)  # so that requests go first
        finally:
            watchdog.stop()

    def slices(self) -> Iterator[None]:
        """Let the scorers learn, merge peers' weights and publish own ones, in slices; an error is only logged."""
        try:
            entries = self.entries.entries(Topic.WEIGHTS) if self.entries is not None else ()
            nodes = frozenset(self.exchange.phases)  # a copy, as it may change between slices
            actions: list[PutEntry | DeleteEntry] = []
            yield from self.engine.slices(self.exchange.now_us(), nodes, entries, actions)
            self._carry_out(actions)
        except Exception as error:
            self._log_error(f"scorers' tick failed: {type(error).__name__}: {error}")

    def tick(self) -> None:
        """Run all slices of a tick at once."""
        for _ in self.slices():
            pass

    def _carry_out(self, actions: Sequence[PutEntry | DeleteEntry]) -> None:
        if self.entries is None:
            return
        for action in actions:
            try:
                if isinstance(action, PutEntry):
                    self.entries.put(Topic.WEIGHTS, action.key, action.value)
                else:
                    self.entries.delete(Topic.WEIGHTS, action.key)
            except HophingeError as error:
                self._log_error(error.one_line())  # retried at the next tick
                continue
            self.engine.confirm(action)

    def _log_error(self, text: str) -> None:
        """Log an error, unless it is the same as the last one."""
        if text != self.logged_error:
            self.logged_error = text
            self.log(text)

    def resume(self) -> None:
        """Call the excluded scorers again, at an operator's command."""
        self.engine.reinstate_all()

    def status(self) -> str:
        """Return the scorers' state, as JSON for operators."""
        now, reader = self.exchange.now_us(), self.engine.reader
        rows: dict[str, Any] = {
            "interface": INTERFACE,
            "most_us": self.engine.guard.max_added_us,
            "budget_us": self.config.budget_us,
            "scorers": {
                scorer.name: {
                    "at_work": scorer.exclusion.is_callable(now),
                    "off_until_told": scorer.exclusion.is_disabled,
                    "back_in_s": max(0, scorer.exclusion.excluded_until_us - now) / 1e6,
                    "mistakes": scorer.exclusion.failures,
                    **scorer.counts,
                }
                for scorer in self.engine.guard.scorers
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
            "scorers_left_out": sum(not scorer.exclusion.is_callable(now) for scorer in scorers),
            "scorers_off": sum(scorer.exclusion.is_disabled for scorer in scorers),
            "weights_bad_total": sum(reader.invalid_entries.values()) if reader is not None else 0,
        }
