"""The scorers of one head: called for each choice and each result; their weights are merged once a second."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Iterator, Mapping, Sequence

from msgspec import Struct

from hophinge.cluster.interface import Entry
from hophinge.core import interface as api
from hophinge.scoring import encoding
from hophinge.scoring.guard import Guard, Usage
from hophinge.scoring.interface import Scorer, Surroundings
from hophinge.scoring.merge import trimmed_mean
from hophinge.scoring.sharing import HEARTBEAT_US, EntryReader, MergeFunction, SharedWeights


class PutEntry(Struct, frozen=True):
    """Publish an own entry under the topic of weights."""

    key: str
    value: bytes


class DeleteEntry(Struct, frozen=True):
    """Delete an own entry."""

    key: str


class ScoringEngine:
    """The `Scorers` of the scheduler, and an observer of results; it never raises to its callers."""

    def __init__(
        self,
        scorers: Mapping[str, Scorer],
        versions: Mapping[str, str],
        max_added_us: float,
        budget_us: float,
        clock_ns: Callable[[], int],
        log: Callable[[str], None],
        surroundings: Surroundings,
        merge: MergeFunction = trimmed_mean,
        usage: Usage = lambda: (0, 0, 0),
    ) -> None:
        self.guard = Guard(scorers, max_added_us, budget_us, clock_ns, log, usage)
        self.surroundings = surroundings
        self.shared = {name: SharedWeights(version, merge) for name, version in versions.items() if version}
        self.reader: EntryReader | None = None  # set if there are peers
        self.published: dict[str, bytes] = {}  # own entries as last published
        self.omitted_backends = 0  # backends without space in the own entries at the last tick

    def share_as(self, own_name: str) -> None:
        """Share weights from now on, under this member's name."""
        self.reader = EntryReader(own_name, self.shared)

    def added_us(self, now_us: int, arrival: api.Arrival, nodes: Sequence[api.NodeObservation]) -> dict[str, float]:
        """Return the added microseconds by candidate; see hophinge/core/interface/protocols.py."""
        return self.guard.added_us(now_us, arrival, nodes, self.surroundings)

    def heard(self, now_us: int, node: str, result: api.Result, elapsed_us: int) -> None:
        """Pass the result of an attempt on to the scorers."""
        self.guard.heard(now_us, node, result, elapsed_us)

    def tick(self, now_us: int, nodes: Container[str], entries: Iterable[Entry] = ()) -> list[PutEntry | DeleteEntry]:
        """Let scorers learn, merge weights, and return the changes to publish; `nodes` are the listed backends."""
        actions: list[PutEntry | DeleteEntry] = []
        for _ in self.slices(now_us, nodes, entries, actions):
            pass
        return actions

    def slices(
        self, now_us: int, nodes: Container[str], entries: Iterable[Entry], actions: list[PutEntry | DeleteEntry]
    ) -> Iterator[None]:
        """Do the work of `tick` in slices, between which the head serves requests; appends to `actions` at the end.

        `nodes` must not change meanwhile, and the entries of an owner must be a consistent snapshot. The next tick may
        begin only after the last slice.
        """
        for scorer in self.guard.scorers:
            self.guard.tick(now_us, nodes, scorer)
            yield
        if self.reader is None:
            return
        yield from self.reader.read(now_us, entries)
        entries_to_publish: dict[str, bytes] = {}
        omitted = 0
        for name, shared in self.shared.items():
            own = self.guard.weights(now_us, name)
            if own is None:
                continue  # an excluded scorer publishes nothing, instead of reporting all backends as healthy
            yield
            yield from shared.judge_peers(now_us, own)
            merged: dict[str, float] = {}
            yield from shared.merge_weights(now_us, own, nodes, merged)
            self.guard.merged(now_us, name, merged)
            yield
            listed = {node: weight.value for node, weight in own.items() if node in nodes}
            values, omitted_now = encoding.encode(shared.version, now_us // HEARTBEAT_US, listed)
            omitted += omitted_now
            entries_to_publish |= {encoding.entry_key(name, chunk): value for chunk, value in values.items()}
            yield
        self.omitted_backends = omitted
        actions += [DeleteEntry(key) for key in self.published.keys() - entries_to_publish.keys()]
        actions += [
            PutEntry(key, value) for key, value in entries_to_publish.items() if self.published.get(key) != value
        ]

    def confirm(self, action: PutEntry | DeleteEntry) -> None:
        """Record that an action was performed; the next tick repeats those that were not."""
        if isinstance(action, PutEntry):
            self.published[action.key] = action.value
        else:
            self.published.pop(action.key, None)

    def reinstate_all(self) -> None:
        """Reinstate all excluded scorers, by an operator's command."""
        for scorer in self.guard.scorers:
            scorer.exclusion.reinstate()
