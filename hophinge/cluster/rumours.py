"""News on its way: what goes out with the next datagrams, the least told first, and how often it still may."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from msgspec import Struct

from hophinge.cluster.budget import FIRST_TOPIC, NEWS
from hophinge.cluster.copies import newest
from hophinge.cluster.messages import TOPICS, Record, packed
from hophinge.cluster.entries import Shelf
from hophinge.cluster.wire import ROOM

MAX_AT_ONCE = 16  # records in one datagram
HARDLY_TOLD = 4  # times that news was sent
MAX_TIMES = 64  # more than any number of members asks for
MIN_ROOM = 120  # bytes: hardly a record or an entry is shorter


class News(Struct):
    """One word about a member, packed, or a stream of entries and the count above which it is news."""

    sends: int
    data: bytes = b""
    base: int = 0


class Pending:
    """News by name, and by how often it was told: the least told, of these the oldest, comes first."""

    def __init__(self) -> None:
        self.by_name: dict[str, News] = {}
        self.told: list[dict[str, None]] = []  # names by times told: nobody sorts all for each datagram

    def __bool__(self) -> bool:
        return bool(self.by_name)

    def add(self, name: str, news: News) -> None:
        """Take news, in the place of what was there."""
        self.drop(name)
        self.by_name[name] = news
        self._level(news.sends)[name] = None

    def drop(self, name: str) -> None:
        """Tell it no more."""
        news = self.by_name.pop(name, None)
        if news is not None:
            del self.told[news.sends][name]

    def first(self) -> list[tuple[str, News]]:
        """Tell what comes first, as much as one datagram may have."""
        names: Iterator[str] = itertools.chain.from_iterable(self.told)
        return [(name, self.by_name[name]) for name in itertools.islice(names, MAX_AT_ONCE)]

    def sent(self, name: str, most: int) -> None:
        """Count that it was told; after so often it is news no more."""
        news = self.by_name[name]
        del self.told[news.sends][name]
        news.sends += 1
        if news.sends >= most:
            del self.by_name[name]
        else:
            self._level(news.sends)[name] = None

    def _level(self, sends: int) -> dict[str, None]:
        while len(self.told) <= sends:
            self.told.append({})
        return self.told[sends]


class Rumours:
    """News of members by name, and of streams by topic and owner; a newer word takes the place of an older."""

    def __init__(self, shelf: Shelf) -> None:
        self.shelf = shelf
        self.members = Pending()
        self.streams = [Pending() for _ in TOPICS]

    def member(self, record: Record) -> None:
        """Spread a word about a member."""
        self.members.add(record.name, News(0, packed(record)))

    def stream(self, owner: str, topic: int, base: int) -> None:
        """Spread what a stream has above a count; news that has hardly been told is told again with it."""
        news = self.streams[topic].by_name.get(owner)
        if news is not None and news.sends < HARDLY_TOLD:
            base = min(base, news.base)
        self.streams[topic].add(owner, News(0, base=base))

    def known(self, owner: str, topic: int) -> None:
        """Somebody has told what is held here already: it need not go out so often any more."""
        if owner in self.streams[topic].by_name:
            self.streams[topic].sent(owner, MAX_TIMES)

    def forget(self, name: str) -> None:
        """Spread nothing more of a member."""
        for pending in (self.members, *self.streams):
            pending.drop(name)

    @property
    def rank(self) -> int | None:
        """Tell the rank of the first news there is: of members, then the topics; None where there is none."""
        if self.members:
            return NEWS
        return next((rank for rank, streams in enumerate(self.streams, FIRST_TOPIC) if streams), None)

    def of_members(self, room: int, sends: int) -> list[bytes]:
        """Take what is to be told of members, in so much room; each goes out so often."""
        parts = []
        for name, news in self.members.first() if room > 0 else []:
            if len(news.data) > room:
                continue
            room -= len(news.data)
            parts.append(news.data)
            self.members.sent(name, sends)
        return parts

    def of_topic(self, topic: int, room: int, sends: int) -> list[bytes]:
        """Take what is to be told under a topic."""
        streams = self.streams[topic]
        parts = []
        for owner, news in streams.first() if room >= MIN_ROOM else []:
            if room < MIN_ROOM:
                break
            delta = newest(self.shelf, owner, topic, news.base, room)
            data = packed(delta) if delta is not None else b""
            if not data or len(data) > room:
                if room > ROOM - MIN_ROOM:
                    streams.drop(owner)  # too much for any datagram, or gone: comparisons bring it
                continue
            room -= len(data)
            parts.append(data)
            streams.sent(owner, sends)
        return parts
