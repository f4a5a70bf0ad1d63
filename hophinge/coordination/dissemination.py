"""Epidemic dissemination of small records: the newest stamp of a key wins, digests find what was missed.

News goes at once to some neighbours, each of which passes on what was new to it. What is lost on the way is found when
two members compare digests: marks of buckets first, rows of the buckets that differ, then only the records that lack.

`hophinge.cluster` keeps one stream of entries for each owner; here a key moves between owners (an instance beats at
whichever control member answers), so records are compared key by key.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from hophinge.coordination.codec import wire

BUCKETS = 16
MARK_BYTES = 8
LARGE_BYTES = 2_048  # a larger value is announced by its row to a neighbour, which asks for it if it lacks it
TOMBSTONE_S = 60.0  # how long a record that is gone counts in digests: longer than any member is cut off
FANOUT = 2  # neighbours that news is passed on to


@wire(50)
@dataclass(frozen=True, slots=True)
class Record:
    """A key's value under a stamp. `gone` marks the end of the key."""

    key: str
    stamp: tuple[int, int]
    value: bytes
    gone: bool = False


@wire(51)
@dataclass(frozen=True, slots=True)
class Digest:
    """The marks of all buckets."""

    marks: tuple[int, ...]


@wire(52)
@dataclass(frozen=True, slots=True)
class Rows:
    """Keys with their stamps; with a bucket's number, all that the sender holds in it."""

    bucket: int | None
    rows: tuple[tuple[str, tuple[int, int]], ...]


@wire(53)
@dataclass(frozen=True, slots=True)
class Push:
    """Records."""

    records: tuple[Record, ...]


@wire(54)
@dataclass(frozen=True, slots=True)
class Want:
    """Ask for records."""

    keys: tuple[str, ...]


Message = Digest | Rows | Push | Want


def bucket_of(key: str) -> int:
    """Tell a key's bucket."""
    return blake2b(key.encode(), digest_size=1).digest()[0] % BUCKETS


def _mark(key: str, stamp: tuple[int, int]) -> int:
    text = f"{key}\0{stamp[0]}\0{stamp[1]}".encode()
    return int.from_bytes(blake2b(text, digest_size=MARK_BYTES).digest(), "big")


@dataclass(slots=True)
class Held:
    """A record, and when it came."""

    record: Record
    at: float
    mark: int


class Replicas:
    """The records held by one member, and the marks of their buckets."""

    def __init__(self) -> None:
        self.held: dict[str, Held] = {}
        self.buckets: list[dict[str, Held]] = [{} for _ in range(BUCKETS)]

    def offer(self, now: float, record: Record) -> bool:
        """Take a record if it is newer than what is held; tells whether it was."""
        known = self.held.get(record.key)
        if known is not None and known.record.stamp >= record.stamp:
            return False
        held = Held(record, now, _mark(record.key, record.stamp))
        self.held[record.key] = held
        self.buckets[bucket_of(record.key)][record.key] = held
        return True

    def get(self, key: str) -> Record | None:
        """Tell a key's record."""
        held = self.held.get(key)
        return held.record if held is not None else None

    def _counts(self, now: float, held: Held) -> bool:
        return not held.record.gone or now - held.at < TOMBSTONE_S

    def marks(self, now: float) -> tuple[int, ...]:
        """Tell the marks of all buckets."""
        result = []
        for bucket in self.buckets:
            mark = 0
            for held in bucket.values():
                if self._counts(now, held):
                    mark ^= held.mark
            result.append(mark)
        return tuple(result)

    def rows(self, now: float, bucket: int) -> Rows:
        """Tell all keys of a bucket with their stamps."""
        held = [one for one in self.buckets[bucket].values() if self._counts(now, one)]
        return Rows(bucket, tuple((one.record.key, one.record.stamp) for one in held))

    def tidy(self, now: float) -> None:
        """Forget tombstones that no digest counts any more, after as long again."""
        old = [key for key, one in self.held.items() if one.record.gone and now - one.at > 2 * TOMBSTONE_S]
        for key in old:
            del self.held[key]
            del self.buckets[bucket_of(key)][key]


@dataclass
class Spread:
    """What a step of dissemination sends, and the records that were new to this member."""

    messages: list[tuple[str, Message]]
    news: list[Record]


class Dissemination:
    """One member's part of the epidemic."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.replicas = Replicas()
        self.neighbours: tuple[str, ...] = ()  # to whom news is passed on

    def publish(self, now: float, records: Iterable[Record], direct: Iterable[str] = ()) -> Spread:
        """Take own records; `direct` members get them whole."""
        news = [record for record in records if self.replicas.offer(now, record)]
        if not news:
            return Spread([], [])
        push = Push(tuple(news))
        messages: list[tuple[str, Message]] = [(address, push) for address in direct]
        return Spread(messages + self._pass_on(news, set(direct)), news)

    def _pass_on(self, news: list[Record], told: set[str]) -> list[tuple[str, Message]]:
        """Pass news on to some neighbours: small records whole, large ones by name."""
        others = [address for address in self.neighbours if address not in told]
        chosen = self.random.sample(others, min(FANOUT, len(others)))
        small = tuple(record for record in news if len(record.value) <= LARGE_BYTES)
        large = tuple((record.key, record.stamp) for record in news if len(record.value) > LARGE_BYTES)
        messages: list[tuple[str, Message]] = []
        for address in chosen:
            messages += [(address, Push(small))] if small else []
            messages += [(address, Rows(None, large))] if large else []
        return messages

    def digest(self, now: float) -> Digest:
        """Tell what to compare."""
        return Digest(self.replicas.marks(now))

    def handle(self, now: float, source: str, message: Message, direct: Iterable[str] = ()) -> Spread:
        """Take a message of another member; `direct` members get news whole."""
        match message:
            case Digest(marks=marks):
                mine = self.replicas.marks(now)
                differ = [number for number in range(min(len(mine), len(marks))) if mine[number] != marks[number]]
                return Spread([(source, self.replicas.rows(now, number)) for number in differ], [])
            case Rows():
                return Spread(self._compare(now, source, message), [])
            case Want(keys=keys):
                found = [record for key in keys if (record := self.replicas.get(key)) is not None]
                return Spread([(source, Push(tuple(found)))] if found else [], [])
            case Push(records=records):
                news = [record for record in records if self.replicas.offer(now, record)]
                if not news:
                    return Spread([], [])
                push = Push(tuple(news))
                told = [address for address in direct if address != source]
                messages: list[tuple[str, Message]] = [(address, push) for address in told]
                return Spread(messages + self._pass_on(news, {source, *told}), news)

    def _compare(self, now: float, source: str, rows: Rows) -> list[tuple[str, Message]]:
        """Ask for what is newer there, and send what is newer here."""
        theirs = dict(rows.rows)
        wanted: list[str] = []
        newer: list[Record] = []
        for key, stamp in theirs.items():
            held = self.replicas.held.get(key)
            if held is None or held.record.stamp < stamp:
                wanted.append(key)
            elif held.record.stamp > stamp:
                newer.append(held.record)
        if rows.bucket is not None and 0 <= rows.bucket < BUCKETS:
            mine = dict(self.replicas.rows(now, rows.bucket).rows)
            newer += [self.replicas.held[key].record for key in mine if key not in theirs]
        messages: list[tuple[str, Message]] = [(source, Want(tuple(wanted)))] if wanted else []
        messages += [(source, Push(tuple(newer)))] if newer else []
        return messages
