"""News on its way: what goes out with the next datagrams, the least told first, and how often it still may."""

from __future__ import annotations

import heapq

from msgspec import Struct

from hophinge.cluster.budget import FIRST_TOPIC, NEWS
from hophinge.cluster.copies import newest
from hophinge.cluster.messages import TOPICS, Record, packed
from hophinge.cluster.shelf import Shelf
from hophinge.cluster.wire import ROOM

MOST_AT_ONCE = 16       # records in one datagram
HARDLY_TOLD = 4         # times that news was sent
LEAST_ROOM = 120        # bytes: hardly a record or an entry is shorter


class News(Struct):
    """One word about a member, packed, or a stream of entries and the count above which it is news."""

    sends: int
    data: bytes = b""
    base: int = 0


class Rumours:
    """News of members by name, and of streams by topic and owner; a newer word takes the place of an older."""

    def __init__(self, shelf: Shelf) -> None:
        self.shelf = shelf
        self.members: dict[str, News] = {}
        self.streams: list[dict[str, News]] = [{} for _ in TOPICS]

    def member(self, record: Record) -> None:
        """Spread a word about a member."""
        self.members[record.name] = News(0, packed(record))

    def stream(self, owner: str, topic: int, base: int) -> None:
        """Spread what a stream has above a count; news that has hardly been told is told again with it."""
        news = self.streams[topic].get(owner)
        if news is not None and news.sends < HARDLY_TOLD:
            base = min(base, news.base)
        self.streams[topic][owner] = News(0, base=base)

    def known(self, owner: str, topic: int) -> None:
        """Somebody has told what is held here already: it need not go out so often any more."""
        news = self.streams[topic].get(owner)
        if news is not None:
            news.sends += 1

    def forget(self, name: str) -> None:
        """Spread nothing more of a member."""
        self.members.pop(name, None)
        for streams in self.streams:
            streams.pop(name, None)

    @property
    def rank(self) -> int | None:
        """Tell the rank of the first news there is: of members, then the topics; None where there is none."""
        if self.members:
            return NEWS
        return next((rank for rank, streams in enumerate(self.streams, FIRST_TOPIC) if streams), None)

    def of_members(self, room: int, sends: int) -> list[bytes]:
        """Take what is to be told of members, in so much room; each goes out so often."""
        parts = []
        for name, news in heapq.nsmallest(MOST_AT_ONCE, self.members.items(), key=lambda one: one[1].sends):
            if len(news.data) > room:
                continue
            room -= len(news.data)
            parts.append(news.data)
            self._sent(self.members, name, news, sends)
        return parts

    def of_topic(self, topic: int, room: int, sends: int) -> list[bytes]:
        """Take what is to be told under a topic."""
        streams = self.streams[topic]
        parts = []
        for owner, news in heapq.nsmallest(MOST_AT_ONCE, streams.items(), key=lambda one: one[1].sends):
            if room < LEAST_ROOM:
                break
            delta = newest(self.shelf, owner, topic, news.base, room)
            data = packed(delta) if delta is not None else b""
            if not data or len(data) > room:
                if room > ROOM - LEAST_ROOM:
                    del streams[owner]      # too much for any datagram, or gone: comparisons bring it
                continue
            room -= len(data)
            parts.append(data)
            self._sent(streams, owner, news, sends)
        return parts

    @staticmethod
    def _sent(among: dict[str, News], name: str, news: News, sends: int) -> None:
        news.sends += 1
        if news.sends >= sends:
            del among[name]
