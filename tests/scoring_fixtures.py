"""Test doubles for scorers: a clock, candidates, entries that several heads share."""

from __future__ import annotations

import textwrap
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path

from hophinge.cluster.interface import Entry, EntryVersion, Topic
from hophinge.core.choice.node_state import NodeState
from hophinge.core.interface import Arrival, NodeEntry, Phase
from hophinge.scoring import encoding
from hophinge.scoring.engine import PutEntry, ScoringEngine
from hophinge.scoring.interface import GROUP, Scorer, Setting, Surroundings, View
from hophinge.scoring.suspicion import Parameters, Suspicion

MAX_US = 75_000.0
VERSION = "suspicion-1"
SETTING = Setting(300_000, MAX_US)
ASK = Arrival("r", 1.0, "v", 0, -1, 1, "key", 1_000_000, True, 0)


class Clock:
    """A clock in nanoseconds that only a slow scorer advances, with the scorer's own usage."""

    def __init__(self) -> None:
        self.ns = self.cpu_ns = self.waits = self.collections = 0

    def __call__(self) -> int:
        return self.ns

    def usage(self) -> tuple[int, int, int]:
        return self.cpu_ns, self.waits, self.collections


def observations(*names: str, started_us: int = 0) -> list[NodeState]:
    return [NodeState(NodeEntry(name, at % 3, at, Phase.ON, 1.0, started_us)) for at, name in enumerate(names)]


class ScriptedScorer(Scorer):
    """A scorer that behaves as a test defines."""

    def __init__(self, say: Callable[[View], object]) -> None:
        self.say = say

    def added_us(self, view: View) -> list[float]:
        return self.say(view)  # type: ignore[return-value]    # misbehaviour includes wrong types


def engine(
    scorers: Mapping[str, Scorer],
    clock: Clock | None = None,
    log: list[str] | None = None,
    versions: Mapping[str, str] | None = None,
    surroundings: Surroundings | None = None,
) -> ScoringEngine:
    clock = clock or Clock()
    return ScoringEngine(
        scorers,
        versions or {},
        MAX_US,
        200.0,
        clock,
        ([] if log is None else log).append,
        surroundings or Surroundings(),
        usage=clock.usage,
    )


def sharer(name: str = "me") -> tuple[ScoringEngine, Suspicion]:
    """Return a head with one scorer that shares its weights."""
    scorer = Suspicion(Parameters(), SETTING)
    head = engine({"suspicion": scorer}, versions={"suspicion": VERSION})
    head.share_as(name)
    return head, scorer


def install(site: Path, package: str, points: Mapping[str, str], text: str | None = None) -> None:
    """Create a package as if it were installed in a directory; `points` are its scorers' modules by name."""
    folder = site / f"{package}-1.0.dist-info"
    folder.mkdir(parents=True)
    (folder / "METADATA").write_text(f"Metadata-Version: 2.1\nName: {package}\nVersion: 1.0\n")
    (folder / "entry_points.txt").write_text(
        f"[{GROUP}]\n" + "".join(f"{name} = {target}\n" for name, target in points.items())
    )
    if text is not None:
        (site / f"{package}.py").write_text(textwrap.dedent(text))


class ReplicatedEntries:
    """The replicated entries of a fleet; each change is visible at once."""

    def __init__(self) -> None:
        self.current: dict[tuple[str, str], Entry] = {}
        self.count = 0

    def put(self, owner: str, key: str, value: bytes) -> None:
        self.count += 1
        self.current[owner, key] = Entry(owner, Topic.WEIGHTS, key, EntryVersion(1, self.count), value)

    def publish(self, owner: str, heartbeat: int, weights: Mapping[str, float], version: str = VERSION) -> None:
        """Publish a member's weights of the scorer `suspicion`, valid or not."""
        for chunk, value in encoding.encode(version, heartbeat, weights)[0].items():
            self.put(owner, encoding.entry_key("suspicion", chunk), value)

    def entries(self) -> Iterable[Entry]:
        return list(self.current.values())

    def tick(self, now_us: int, name: str, head: ScoringEngine, nodes: Iterable[str]) -> None:
        for action in head.tick(now_us, set(nodes), self.entries()):
            if isinstance(action, PutEntry):
                self.put(name, action.key, action.value)
            else:
                del self.current[name, action.key]
            head.confirm(action)
