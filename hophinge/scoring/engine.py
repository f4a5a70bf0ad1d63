"""Scorers at work in one head: asked at each choice, told of each end, and once a second merged with what peers say."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Iterator, Mapping, Sequence

from msgspec import Struct

from hophinge.cluster.interface import Entry
from hophinge.core import interface as api
from hophinge.scoring import encoding
from hophinge.scoring.guard import Guard, Usage
from hophinge.scoring.interface import Scorer, Surroundings
from hophinge.scoring.merge import hearsay
from hophinge.scoring.sharing import BEAT_US, Merge, Reader, Shared


class Put(Struct, frozen=True):
    """Set an own entry under the topic of weights."""

    key: str
    value: bytes


class Drop(Struct, frozen=True):
    """Take an own entry back."""

    key: str


class Engine:
    """The module's `Scorers`, and whoever hears outcomes; it never raises to either."""

    def __init__(
        self,
        scorers: Mapping[str, Scorer],
        versions: Mapping[str, str],
        most_us: float,
        budget_us: float,
        clock_ns: Callable[[], int],
        log: Callable[[str], None],
        surroundings: Surroundings,
        merge: Merge = hearsay,
        usage: Usage = lambda: (0, 0, 0),
    ) -> None:
        self.guard = Guard(scorers, most_us, budget_us, clock_ns, log, usage)
        self.surroundings = surroundings
        self.shared = {name: Shared(version, merge) for name, version in versions.items() if version}
        self.reader: Reader | None = None  # where there are peers
        self.told: dict[str, bytes] = {}  # own entries as they were last set
        self.left_out = 0  # bricks that an own entry had no room for, lately

    def share_as(self, me: str) -> None:
        """Share weights from now on, as this member."""
        self.reader = Reader(me, self.shared)

    def added_us(self, now_us: int, ask: api.Arrival, nodes: Sequence[api.NodeObservation]) -> dict[str, float]:
        """Tell added microseconds by candidate; see hophinge/core/interface.py."""
        return self.guard.added_us(now_us, ask, nodes, self.surroundings)

    def heard(self, now_us: int, node: str, result: api.Result, elapsed_us: int) -> None:
        """Take how an attempt ended."""
        self.guard.heard(now_us, node, result, elapsed_us)

    def tick(self, now_us: int, nodes: Container[str], entries: Iterable[Entry] = ()) -> list[Put | Drop]:
        """Learn, merge and tell what to set on the board; `nodes` are the bricks that are listed here."""
        actions: list[Put | Drop] = []
        for _ in self.slices(now_us, nodes, entries, actions):
            pass
        return actions

    def slices(
        self, now_us: int, nodes: Container[str], entries: Iterable[Entry], actions: list[Put | Drop]
    ) -> Iterator[None]:
        """Do the same in slices: whatever comes in between is served; `actions` are there at the end.

        `nodes` must not change meanwhile, and `entries` tells each owner's as they were at one moment. The next tick
        may begin only after the last slice.
        """
        for one in self.guard.scorers:
            self.guard.tick(now_us, nodes, one)
            yield
        if self.reader is None:
            return
        yield from self.reader.read(now_us, entries)
        wanted: dict[str, bytes] = {}
        left_out = 0
        for name, shared in self.shared.items():
            own = self.guard.weights(now_us, name)
            if own is None:
                continue  # who is left out says nothing, rather than that all is well
            yield
            yield from shared.judge(now_us, own)
            found: dict[str, float] = {}
            yield from shared.weights(now_us, own, nodes, found)
            self.guard.merged(now_us, name, found)
            yield
            values, more = encoding.encode(
                shared.version, now_us // BEAT_US, {node: one.value for node, one in own.items() if node in nodes}
            )
            left_out += more
            wanted |= {encoding.key(name, chunk): value for chunk, value in values.items()}
            yield
        self.left_out = left_out
        actions += [Drop(key) for key in self.told.keys() - wanted.keys()]
        actions += [Put(key, value) for key, value in wanted.items() if self.told.get(key) != value]

    def done(self, action: Put | Drop) -> None:
        """Take that an action was carried out; one that was not comes again with the next tick."""
        if isinstance(action, Put):
            self.told[action.key] = action.value
        else:
            self.told.pop(action.key, None)

    def resume(self) -> None:
        """Take an operator's word that scorers which were left out may be asked again."""
        for one in self.guard.scorers:
            one.pauses.told_on()
