"""What the parts of a member share: time, lots, books, the agenda, and the one way out for datagrams."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence

from hophinge.cluster.actions import Action, Agenda, Changed, Send, Told
from hophinge.cluster.budget import FIRST_TOPIC, HEADERS, NEWS, PROBES, Budget
from hophinge.cluster.interface import Entry
from hophinge.cluster.messages import SUSPECT, TOPICS, Part, Record, packed
from hophinge.cluster.roster import Roster
from hophinge.cluster.rumours import Rumours
from hophinge.cluster.entries import Shelf
from hophinge.cluster.tuning import Limits, Tuning
from hophinge.cluster.wire import FIXED, MAX_BYTES, seal

RANKS = ("probes", "members", *(topic.value for topic in TOPICS))
PIGGYBACK = 500  # bytes of a probe's datagram: news beyond that goes with rounds of news


class Core:
    """One member's books and its mouth."""

    def __init__(
        self, me: Record, limits: Limits, tuning: Tuning, rng: random.Random, now_us: int, keys: Sequence[bytes]
    ) -> None:
        self.limits, self.tuning, self.rng, self.keys = limits, tuning, rng, list(keys)
        self.now_us = self.begun_us = now_us
        self.start = me.start
        self.reference = me.start  # what others' starts are held against
        self.starts = {me.start}  # of this process: it may have to count above what others remember
        self.sent = 0
        self.agenda = Agenda()
        self.out: list[Action] = []
        self.counters: Counter[str] = Counter()
        self.budget = Budget(limits.bytes_s, now_us)
        self.shelf = Shelf(me.name, me.start, limits, self.count, self._told, self._marked)
        self.roster = Roster(me, limits.members, now_us, self._marks, self.count)
        self.rumours = Rumours(self.shelf)
        self.health = 0  # how much this process doubts itself
        self.heard_us = now_us  # when anybody else was last heard
        self.woken_us = now_us  # when it last found itself late: no verdict of before counts
        self.slept_us = 0  # for how long it stood still in all
        self.silent = False

    def count(self, name: str) -> None:
        """Count something."""
        self.counters[name] += 1

    def doubt(self, by: int) -> None:
        """Doubt oneself more, or less."""
        self.health = min(self.tuning.health, max(0, self.health + by))

    def scaled(self, time_us: float) -> int:
        """Tell a time as long as this process's health asks for; one that is alone has waited long enough."""
        return int(time_us if self.alone else time_us * (1 + self.health))

    @property
    def alone(self) -> bool:
        """Tell whether nobody was heard for longer than any doubt of oneself explains: cut off, or the last one."""
        return self.now_us - max(self.heard_us, self.woken_us) >= self.tuning.alone_us and len(self.roster.live) > 1

    def jitter(self, time_us: int) -> int:
        """Tell a time drawn round another."""
        return int(time_us * self.rng.uniform(0.8, 1.2))

    def later(self, time_us: int, what: Callable[[], None]) -> None:
        """Do something after a time."""
        self.agenda.at(self.now_us + time_us, what)

    def put(self, record: Record) -> bool:
        """Hold a newer record, tell hearers where the standing is another, and spread it."""
        before, quiet = self.roster.record(record.name), self.alone and record.name != self.roster.me
        if before is not None and before.start != record.start and record.name != self.roster.me:
            self.shelf.forget(record.name)
        if not self.roster.put(record, self.now_us):
            return False
        if (before is None or before != record) and not quiet:
            self.rumours.member(record)  # who hears nobody may still be heard: it keeps its verdicts to itself
        if before is None or before.member() != record.member():
            self.out.append(Changed(record.member()))
        return True

    def lose_others(self) -> None:
        """Hold nothing of others any more, and remember none of them."""
        for name in [name for name in self.roster.held if name != self.roster.me]:
            self.roster.forget(name, self.now_us)
            self.shelf.forget(name)
            self.rumours.forget(name)
        self.roster.graves.clear()

    def say(self, address: str, parts: Sequence[Part], rank: int = PROBES, fill: bool = True) -> bool:
        """Send parts, and news where there is room; False where the bound of bytes leaves none."""
        if self.silent:
            return False
        self.budget.now(self.now_us)
        data = [packed(part) for part in parts]
        used = FIXED + len(self.roster.me.encode()) + 3 + sum(map(len, data))
        if used > self.budget.room(rank) or used > MAX_BYTES:
            self.count(f"unsent_{RANKS[rank]}")
            return False
        if fill:
            room = (PIGGYBACK if parts else MAX_BYTES) - used
            count = len(self.roster.live)
            for level in range(max(rank, NEWS), len(RANKS)):
                room = min(room, self.budget.push(level) - used)
                more = (
                    self.rumours.of_members(room, self.tuning.sends(count))
                    if level == NEWS
                    else self.rumours.of_topic(level - FIRST_TOPIC, room, count.bit_length() + 1)
                )
                data += more
                room -= sum(map(len, more))
                used += sum(map(len, more))
        if not data:
            return False
        self.sent += 1
        datagram = seal(self.keys[0], self.roster.me, self.start, self.sent, data)
        self.budget.spend(len(datagram))
        self.counters["bytes_sent"] += len(datagram) + HEADERS
        self.counters["datagrams_sent"] += 1
        self.out.append(Send(address, datagram))
        return True

    @property
    def spare(self) -> bool:
        """Tell whether there are bytes to spare for what matters least."""
        self.budget.now(self.now_us)
        return self.budget.room(len(RANKS) - 1) > 0

    def suspicion_us(self, confirmations: int) -> int:
        """Tell how long a suspicion lasts among those that count now."""
        return self.tuning.suspicion_us(len(self.roster.live), confirmations)

    def standing(self, name: str, standing: int, by: str) -> None:
        """Hold the same incarnation of a member under another standing."""
        record = self.roster.held[name].record
        self.put(Record(name, record.address, record.incarnation, standing, record.zone, record.role, record.build, by))

    def suspected(self, name: str) -> bool:
        """Tell whether a member is under suspicion."""
        record = self.roster.record(name)
        return record is not None and record.standing == SUSPECT

    def _told(self, entry: Entry, gone: bool) -> None:
        if self.silent:
            return  # nobody fetches it any more
        self.out.append(Told(entry, gone))
        if entry.owner in self.shelf.streams:
            self.rumours.stream(entry.owner, TOPICS.index(entry.topic), entry.version[1] - 1)

    def _marks(self, owner: str) -> bytes:
        return repr(self.shelf.marks(owner)).encode()

    def _marked(self, owner: str) -> None:
        self.roster.touch(owner)
