"""The weights of peers: read from replicated entries, aged, judged by own answers, and merged per scorer."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Iterator, Mapping, Sequence
from itertools import islice
from typing import NamedTuple

from msgspec import Struct

from hophinge.cluster.interface import Entry, EntryVersion, Topic
from hophinge.scoring import encoding
from hophinge.scoring.interface import Weight
from hophinge.scoring.merge import (
    MAX_AGREED_DIFFERENCE,
    MIN_JUDGING_EVIDENCE,
    MIN_REPORTS,
    Agreement,
    combine,
    trim_count,
    trimmed_mean,
)

HEARTBEAT_US = 5_000_000  # interval of changes of entry 0, which show that a member is alive
FRESH_US = 15_000_000  # three heartbeats, some of which may be lost, before weights begin to age
HALF_LIFE_US = 5_000_000  # in which weights then halve
FORGOTTEN_US = 60_000_000  # until a silent peer is removed; its weights count below a hundredth for ten seconds before
MAX_REPORTS = 20_000  # processed in one tick for judging, and as many for merging: some tens of milliseconds each
MAX_ENTRIES_READ = 500  # in one tick; other changed entries are read in the next
SLICE_STEPS = 500  # entries or reports processed at a time: under a millisecond
READ_STEPS = 10  # for decoding an entry, beside one for each ten bytes of it
MAX_OWNERS = 1_000  # whose weights and errors are stored: the default limit on members

# Merges the weights of peers, each with the trust in its peer, into one weight.
MergeFunction = Callable[[Sequence[tuple[float, float]]], float]


class PeerWeights:
    """The weights of one member for one scorer."""

    __slots__ = ("agreement", "last_changed_us", "weights", "weights_by_chunk")

    def __init__(self, now_us: int) -> None:
        self.last_changed_us = now_us  # when any of its entries last changed, by this head's clock
        self.weights_by_chunk: dict[int, dict[str, float]] = {}
        self.weights: dict[str, float] = {}  # of all chunks
        self.agreement = Agreement()

    def set_chunk(self, chunk: int, weights: dict[str, float] | None) -> None:
        """Replace the weights of one chunk; None: its entry was deleted."""
        if weights is None:
            self.weights_by_chunk.pop(chunk, None)
        else:
            self.weights_by_chunk[chunk] = weights
        self.weights = {node: weight for chunk in self.weights_by_chunk.values() for node, weight in chunk.items()}

    def freshness(self, now_us: int) -> float:
        """Return how much its weights still count, from 1 down to 0."""
        age = now_us - self.last_changed_us - FRESH_US
        if age <= 0:
            return 1.0
        return 0.0 if age > FORGOTTEN_US - FRESH_US else 2.0 ** (-age / HALF_LIFE_US)


class WorkSlice:
    """Counts the work done since a tick last yielded."""

    def __init__(self) -> None:
        self.steps = 0

    def should_yield(self, steps: int) -> bool:
        """Count work and one step for the iteration itself; returns whether the tick should yield now."""
        self.steps += steps + 1
        if self.steps < SLICE_STEPS:
            return False
        self.steps = 0
        return True


class PeerReport(NamedTuple):
    """What one peer contributes to a merge."""

    weights: dict[str, float]
    freshness: float  # from 0 to 1
    trust: float


class SharedWeights:
    """The weights of all peers for one scorer."""

    def __init__(self, version: str, merge: MergeFunction = trimmed_mean) -> None:
        self.version = version
        self.merge = merge
        self.peers: dict[str, PeerWeights] = {}

    def apply_entry(self, now_us: int, owner: str, chunk: int, version: str, weights: dict[str, float]) -> None:
        """Apply a peer's entry."""
        if owner not in self.peers and len(self.peers) >= MAX_OWNERS:
            return
        peer = self.peers.setdefault(owner, PeerWeights(now_us))
        peer.last_changed_us = now_us
        peer.set_chunk(chunk, weights)

    def remove_entry(self, owner: str, chunk: int) -> None:
        """Remove a peer's entry; the trust in the peer stays until it is forgotten."""
        if (peer := self.peers.get(owner)) is not None:
            peer.set_chunk(chunk, None)

    def clear_peer(self, owner: str) -> None:
        """Drop the weights of a peer that has departed and returned: its earlier entries are not valid any more."""
        if (peer := self.peers.get(owner)) is not None:
            peer.weights_by_chunk = {}
            peer.weights = {}

    def judge_peers(self, now_us: int, own: Mapping[str, Weight]) -> Iterator[None]:
        """Compare fresh reports with own weights, in slices; forget peers that have been silent for long."""
        reliable = {node: weight.value for node, weight in own.items() if weight.evidence >= MIN_JUDGING_EVIDENCE}
        max_reports = MAX_REPORTS // max(1, len(self.peers))
        accused = [node for node, value in reliable.items() if value > MAX_AGREED_DIFFERENCE][:max_reports]
        work = WorkSlice()
        for owner, peer in list(self.peers.items()):
            if now_us - peer.last_changed_us > FORGOTTEN_US:
                del self.peers[owner]
            elif peer.weights_by_chunk and now_us - peer.last_changed_us <= FRESH_US:
                peer.agreement.compare(reliable, accused, peer.weights, max_reports)
                if work.should_yield(min(max_reports, len(peer.weights)) + len(accused)):
                    yield

    def merge_weights(
        self, now_us: int, own: Mapping[str, Weight], nodes: Container[str], merged: dict[str, float]
    ) -> Iterator[None]:
        """Compute the weights to use, in slices, of backends that this head lists; neutral ones are left out."""
        reports: list[PeerReport] = []
        report_counts = {node: 0 for node, weight in own.items() if weight.value > 0.0 and node in nodes}
        total_freshness = 0.0
        max_reports = MAX_REPORTS // max(1, len(self.peers))
        work = WorkSlice()
        for peer in self.peers.values():
            freshness = peer.freshness(now_us)
            if peer.weights_by_chunk and freshness > 0.0:
                reports.append(PeerReport(peer.weights, freshness, peer.agreement.trust))
                total_freshness += freshness
                for node in islice(peer.weights, max_reports):
                    if node in nodes:
                        report_counts[node] = report_counts.get(node, 0) + 1
                if work.should_yield(min(max_reports, len(peer.weights))):
                    yield
        merged |= {node: own[node].value for node in report_counts if node in own and own[node].value > 0.0}
        # The merge trims reports by too few peers anyway; a flood of them must not delay this head's work.
        trimmed = trim_count(max(len(reports), MIN_REPORTS)) if self.merge is trimmed_mean else 0
        reported = [node for node, count in report_counts.items() if count > trimmed]
        reported.sort(key=lambda node: (-report_counts[node], node))
        for node in reported[: MAX_REPORTS // max(1, len(reports))]:
            weighted = [(weights.get(node, 0.0) * freshness, trust) for weights, freshness, trust in reports]
            weight = combine(own.get(node), self.merge(weighted), total_freshness / len(reports))
            if weight > 0.0:
                merged[node] = weight
            if work.should_yield(len(weighted)):
                yield


class ReadEntry(Struct, gc=False):
    """The version of an entry as last read, and the last pass in which the entry existed."""

    version: EntryVersion
    last_pass: int


class EntryReader:
    """Reads entries as they change, and passes them on by scorer; invalid ones are dropped and counted by owner."""

    def __init__(self, own_name: str, shared: Mapping[str, SharedWeights]) -> None:
        self.own_name = own_name
        self.shared = shared
        self.entries_read: dict[tuple[str, str], ReadEntry] = {}
        self.passes = 0  # over all entries
        self.departed: set[str] = set()  # owners without any entries left
        self.invalid_entries: dict[str, int] = {}  # by owner
        self.other_versions: dict[str, int] = {}  # entries of another version of a scorer, by owner

    def read(self, now_us: int, entries: Iterable[Entry]) -> Iterator[None]:
        """Read all current entries, in slices; an unchanged one costs one step."""
        self.passes += 1
        present_owners: set[str] = set()
        read_count = 0
        work = WorkSlice()
        for entry in entries:
            steps = 0
            if entry.owner == self.own_name or entry.topic is not Topic.WEIGHTS:
                continue
            owned_key = entry.owner, entry.key
            present_owners.add(entry.owner)
            last_read = self.entries_read.get(owned_key)
            if last_read is not None:
                last_read.last_pass = self.passes
            if (last_read is None or last_read.version != entry.version) and read_count < MAX_ENTRIES_READ:
                read_count += 1
                self.entries_read[owned_key] = ReadEntry(entry.version, self.passes)
                self._read_entry(now_us, entry)
                steps = READ_STEPS + len(entry.value) // 10
            if work.should_yield(steps):
                yield
        for owner, key in list(self.entries_read):
            if work.should_yield(0):
                yield
            if self.entries_read[owner, key].last_pass == self.passes:
                continue
            del self.entries_read[owner, key]
            # A live owner deletes an entry on purpose. A departed member loses all entries; its last weights age like
            # those of a silent one, as otherwise the few members on one side of a partition would judge alone.
            if owner in present_owners:
                self._remove_entry(owner, key)
            else:
                self.departed.add(owner)
        self.departed = {
            owner for owner in self.departed if any(owner in shared.peers for shared in self.shared.values())
        }

    def _read_entry(self, now_us: int, entry: Entry) -> None:
        if entry.owner in self.departed:
            self.departed.discard(entry.owner)
            for shared_weights in self.shared.values():
                shared_weights.clear_peer(entry.owner)
        try:
            scorer, chunk = encoding.parse_key(entry.key)
            version, weights = encoding.decode(chunk, entry.value)
        except encoding.InvalidEntryError:
            self._count(self.invalid_entries, entry.owner)
            return self._remove_entry(entry.owner, entry.key)  # its earlier content is not valid any more
        shared = self.shared.get(scorer)
        if shared is None:
            return None  # a scorer that is not in use here
        if version != shared.version:
            self._count(self.other_versions, entry.owner)
            return self._remove_entry(entry.owner, entry.key)
        return shared.apply_entry(now_us, entry.owner, chunk, version, weights)

    def _remove_entry(self, owner: str, key: str) -> None:
        try:
            scorer, chunk = encoding.parse_key(key)
        except encoding.InvalidEntryError:
            return
        if (shared := self.shared.get(scorer)) is not None:
            shared.remove_entry(owner, chunk)

    def _count(self, counts: dict[str, int], owner: str) -> None:
        if owner in counts or len(counts) < MAX_OWNERS:
            counts[owner] = counts.get(owner, 0) + 1
