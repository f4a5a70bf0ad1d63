"""What is held of each member by the newest word about it, and of those that are forgotten their last incarnation."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterator

from msgspec import Struct

from hophinge.cluster.interface import Member
from hophinge.cluster.messages import LEFT, Record
from hophinge.cluster.messages import mark as mark_of

BUCKETS = 32  # by which members are compared: of 1,000 members about 31 in each, two datagrams of rows
GRAVES_PART = 4  # times the most members are remembered after they are forgotten


class Held(Struct):
    """One member. Times are of the last change of standing and of its last answer to a probe of one's own."""

    record: Record
    since_us: int
    heard_us: int = -1
    accusers: frozenset[str] = frozenset()
    slept_us: int = 0  # how long this process had stood still in all when a suspicion began
    verifying: bool = False  # a word that it is dead is being checked
    rival: Record | None = None  # a newer process under its name at another address
    bucket: int = 0
    mark: int = 0  # as it stands in its bucket
    member: Member | None = None  # the record as other parts see it


def bucket(name: str) -> int:
    """Tell a name's bucket."""
    return zlib.crc32(name.encode()) % BUCKETS


class Roster:
    """Members by name, this one's own among them."""

    def __init__(
        self, me: Record, most: int, now_us: int, marks: Callable[[str], bytes], count: Callable[[str], None]
    ) -> None:
        self.me, self.most, self.marks, self.count = me.name, most, marks, count
        self.held: dict[str, Held] = {}
        # Incarnation, when it was forgotten, and its address where it did not leave by its will.
        self.graves: OrderedDict[str, tuple[int, int, str]] = OrderedDict()
        self.buckets = [0] * BUCKETS
        self.live: dict[str, None] = {}  # names of those that count
        self.by_bucket: list[set[str]] = [set() for _ in range(BUCKETS)]  # the same, by bucket
        self.put(me, now_us)

    @property
    def own(self) -> Record:
        """Tell one's own record."""
        return self.held[self.me].record

    def record(self, name: str) -> Record | None:
        """Tell the newest word about a member."""
        held = self.held.get(name)
        return held.record if held is not None else None

    def put(self, record: Record, now_us: int) -> bool:
        """Hold a record; False where there is no room for one more."""
        held = self.held.get(record.name)
        if held is None:
            if len(self.held) >= self.most and record.name != self.me:
                self.count("members_over_bound")
                return False
            held = self.held[record.name] = Held(record, now_us, bucket=bucket(record.name))
            self.graves.pop(record.name, None)
        else:
            if held.record.start != record.start:
                held.heard_us, held.rival = -1, None
            if held.record.incarnation != record.incarnation or not record.counts:
                held.accusers = frozenset()
            held.record, held.since_us, held.verifying = record, now_us, False
        held.member = record.member()
        if record.counts:
            self.live[record.name] = None
            self.by_bucket[held.bucket].add(record.name)
        else:
            self.live.pop(record.name, None)
            self.by_bucket[held.bucket].discard(record.name)
        self.touch(record.name)
        return True

    def touch(self, name: str) -> None:
        """Mark anew what is held of a member: its record or its entries have changed."""
        held = self.held.get(name)
        if held is None:
            return
        mark = 0
        if held.record.counts:
            mark = mark_of(b"%d %s %s" % (held.record.incarnation, name.encode(), self.marks(name)))
        self.buckets[held.bucket] ^= held.mark ^ mark
        held.mark = mark

    def members(self) -> Iterator[Member]:
        """Tell all members, by name."""
        for name in sorted(self.held):
            yield self.held[name].member or self.held[name].record.member()

    def forget(self, name: str, now_us: int) -> None:
        """Strike a member off, and remember its incarnation against those that still speak of it."""
        held = self.held.pop(name)
        self.live.pop(name, None)
        self.by_bucket[held.bucket].discard(name)
        self.buckets[held.bucket] ^= held.mark
        record = held.record
        self.graves[name] = (record.incarnation, now_us, record.address if record.standing != LEFT else "")
        while len(self.graves) > self.most * GRAVES_PART:
            self.graves.popitem(last=False)

    def grave(self, name: str) -> int:
        """Tell the last incarnation of a forgotten member; -1 where there is none."""
        return self.graves[name][0] if name in self.graves else -1

    def clear_graves(self, before_us: int) -> None:
        """Let graves go that were dug before a time."""
        while self.graves and next(iter(self.graves.values()))[1] < before_us:
            self.graves.popitem(last=False)

    def lost(self) -> list[str]:
        """Tell the addresses of those that are forgotten and did not leave by their will."""
        return [address for _, _, address in self.graves.values() if address]

    def others(self) -> list[Record]:
        """Tell the records of others that count."""
        return [self.held[name].record for name in self.live if name != self.me]

    def of_bucket(self, number: int) -> Iterator[Record]:
        """Tell the records that count of one bucket, by name."""
        for name in sorted(self.by_bucket[number]):
            yield self.held[name].record
