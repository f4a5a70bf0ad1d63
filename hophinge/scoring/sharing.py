"""What peers say of bricks: read from the board, aged, judged by one's own answers, and merged for one scorer."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Iterator, Mapping, Sequence
from itertools import islice

from msgspec import Struct

from hophinge.cluster.interface import Entry, Topic
from hophinge.scoring import encoding
from hophinge.scoring.interface import Weight
from hophinge.scoring.merge import APART, MIN_WORDS, SURE, Agreement, combined, hearsay, trimmed

BEAT_US = 5_000_000  # between changes of entry 0, that show that a member still speaks
FRESH_US = 15_000_000  # three beats, some of which may be lost, before a word begins to age
HALF_LIFE_US = 5_000_000  # in which it then comes to count for half
FORGOTTEN_US = 60_000_000  # it has counted for less than a hundredth for ten seconds
MAX_WORDS = 20_000  # that are looked at for one purpose in one tick: some tens of milliseconds
MAX_TAKEN = 500  # entries that are read in one tick; others that have changed are read in the next
SLICE = 500  # looks at entries or words in one go: under a millisecond
TAKING = 10  # looks that reading an entry counts as, beside one for each ten bytes of it
MAX_OWNERS = 1_000  # whose words and mistakes are kept, the default bound on members

Merge = Callable[[Sequence[tuple[float, float]]], float]


class Peer:
    """One member's words for one scorer."""

    __slots__ = ("agreement", "chunks", "heard_us", "words")

    def __init__(self, now_us: int) -> None:
        self.heard_us = now_us  # when anything of it last changed, by the own clock
        self.chunks: dict[int, dict[str, float]] = {}
        self.words: dict[str, float] = {}  # all its weights
        self.agreement = Agreement()

    def say(self, chunk: int, words: dict[str, float] | None) -> None:
        """Take one entry's weights, or that it is no more."""
        if words is None:
            self.chunks.pop(chunk, None)
        else:
            self.chunks[chunk] = words
        self.words = {node: word for part in self.chunks.values() for node, word in part.items()}

    def freshness(self, now_us: int) -> float:
        """Tell how much its word still counts, from 1 down to 0."""
        age = now_us - self.heard_us - FRESH_US
        return 1.0 if age <= 0 else 0.0 if age > FORGOTTEN_US - FRESH_US else 2.0 ** (-age / HALF_LIFE_US)


class Looks:
    """How much was done since a tick last stood still."""

    def __init__(self) -> None:
        self.done = 0

    def enough(self, more: int) -> bool:
        """Count what was done, and once more for having gone there; tells whether the tick should stand still now."""
        self.done += more + 1
        if self.done < SLICE:
            return False
        self.done = 0
        return True


class Shared:
    """All that peers say for one scorer."""

    def __init__(self, version: str, merge: Merge = hearsay) -> None:
        self.version, self.merge = version, merge
        self.peers: dict[str, Peer] = {}

    def take(self, now_us: int, owner: str, chunk: int, version: str, words: dict[str, float]) -> None:
        """Take a peer's entry as it now is."""
        if owner not in self.peers and len(self.peers) >= MAX_OWNERS:
            return
        peer = self.peers.setdefault(owner, Peer(now_us))
        peer.heard_us = now_us
        peer.say(chunk, words)

    def gone(self, owner: str, chunk: int) -> None:
        """Take that a peer's entry is no more; its judgement stays until the peer is forgotten."""
        if (peer := self.peers.get(owner)) is not None:
            peer.say(chunk, None)

    def begin_anew(self, owner: str) -> None:
        """Take that a peer which was gone speaks again: what it said before is not its word any more."""
        if (peer := self.peers.get(owner)) is not None:
            peer.chunks = {}
            peer.words = {}

    def judge(self, now_us: int, own: Mapping[str, Weight]) -> Iterator[None]:
        """Compare fresh words with one's own answers, in slices; forget who has long been silent."""
        sure = {node: weight.value for node, weight in own.items() if weight.evidence >= SURE}
        most = MAX_WORDS // max(1, len(self.peers))
        accused = [node for node, value in sure.items() if value > APART][:most]
        looks = Looks()
        for owner, peer in list(self.peers.items()):
            if now_us - peer.heard_us > FORGOTTEN_US:
                del self.peers[owner]
            elif peer.chunks and now_us - peer.heard_us <= FRESH_US:
                peer.agreement.compare(sure, accused, peer.words, most)
                if looks.enough(min(most, len(peer.words)) + len(accused)):
                    yield

    def weights(
        self, now_us: int, own: Mapping[str, Weight], nodes: Container[str], found: dict[str, float]
    ) -> Iterator[None]:
        """Find the weights to use, in slices, of bricks in this head's own list; neutral ones are left out."""
        heard: list[tuple[dict[str, float], float, float]] = []
        named = {node: 0 for node, weight in own.items() if weight.value > 0.0 and node in nodes}
        fresh, most = 0.0, MAX_WORDS // max(1, len(self.peers))
        looks = Looks()
        for peer in self.peers.values():
            part = peer.freshness(now_us)
            if peer.chunks and part > 0.0:
                heard.append((peer.words, part, peer.agreement.trust))
                fresh += part
                for node in islice(peer.words, most):
                    if node in nodes:
                        named[node] = named.get(node, 0) + 1
                if looks.enough(min(most, len(peer.words))):
                    yield
        found |= {node: own[node].value for node in named if node in own and own[node].value > 0.0}
        # What too few say is cut off by the merge anyway; a flood of accusations must not keep this head from its work.
        few = trimmed(max(len(heard), MIN_WORDS)) if self.merge is hearsay else 0
        told = [node for node, number in named.items() if number > few]
        for node in sorted(told, key=lambda node: (-named[node], node))[: MAX_WORDS // max(1, len(heard))]:
            words = [(said.get(node, 0.0) * part, trust) for said, part, trust in heard]
            if (weight := combined(own.get(node), self.merge(words), fresh / len(heard))) > 0.0:
                found[node] = weight
            if looks.enough(len(words)):
                yield


class Last(Struct, gc=False):
    """An entry as it was last read, and in which reading it was last there."""

    version: tuple[int, int]
    held: int


class Reader:
    """Entries of the board as they change, sorted to scorers; what is none is dropped and counted by owner."""

    def __init__(self, me: str, shared: Mapping[str, Shared]) -> None:
        self.me, self.shared = me, shared
        self.versions: dict[tuple[str, str], Last] = {}
        self.reading = 0  # how often all entries were looked at
        self.left: set[str] = set()  # owners of which all entries are gone
        self.bad: dict[str, int] = {}  # entries dropped, by owner
        self.other_versions: dict[str, int] = {}  # entries of another version of a scorer, by owner

    def read(self, now_us: int, entries: Iterable[Entry]) -> Iterator[None]:
        """Take all entries that are held now, in slices; those that have not changed cost a look."""
        self.reading += 1
        speak: set[str] = set()
        taken, looks = 0, Looks()
        for entry in entries:
            cost = 0
            if entry.owner == self.me or entry.topic is not Topic.WEIGHTS:
                continue
            at = entry.owner, entry.key
            speak.add(entry.owner)
            if (last := self.versions.get(at)) is not None:
                last.held = self.reading
            if (last is None or last.version != entry.version) and taken < MAX_TAKEN:
                taken += 1
                self.versions[at] = Last(entry.version, self.reading)
                self._take(now_us, entry)
                cost = TAKING + len(entry.value) // 10
            if looks.enough(cost):
                yield
        for at in list(self.versions):
            if looks.enough(0):
                yield
            if self.versions[at].held == self.reading:
                continue
            del self.versions[at]
            # Who takes an entry back says so. Of a member that is gone all are; what it said last ages, as of one that
            # has fallen silent: else a split would make the few that are left the judges of everything at once.
            if at[0] in speak:
                self._gone(*at)
            else:
                self.left.add(at[0])
        self.left = {owner for owner in self.left if any(owner in shared.peers for shared in self.shared.values())}

    def _take(self, now_us: int, entry: Entry) -> None:
        if entry.owner in self.left:
            self.left.discard(entry.owner)
            for one in self.shared.values():
                one.begin_anew(entry.owner)
        try:
            scorer, chunk = encoding.place(entry.key)
            version, words = encoding.decode(chunk, entry.value)
        except encoding.UnusableError:
            self._count(self.bad, entry.owner)
            return self._gone(entry.owner, entry.key)  # what it said before is not its word any more
        shared = self.shared.get(scorer)
        if shared is None:
            return None  # a scorer that is not at work here
        if version != shared.version:
            self._count(self.other_versions, entry.owner)
            return self._gone(entry.owner, entry.key)
        return shared.take(now_us, entry.owner, chunk, version, words)

    def _gone(self, owner: str, key: str) -> None:
        try:
            scorer, chunk = encoding.place(key)
        except encoding.UnusableError:
            return
        if (shared := self.shared.get(scorer)) is not None:
            shared.gone(owner, chunk)

    def _count(self, counts: dict[str, int], owner: str) -> None:
        if owner in counts or len(counts) < MAX_OWNERS:
            counts[owner] = counts.get(owner, 0) + 1
