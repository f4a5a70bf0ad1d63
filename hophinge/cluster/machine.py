"""One member as a machine: datagrams and time in, datagrams and news out; no I/O, no clock and no lots of its own."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence

from hophinge.cluster.actions import Action, SteppedBack
from hophinge.cluster.core import Core
from hophinge.cluster.errors import ClusterUnusableError
from hophinge.cluster.interface import Entry, Member, Role, Topic
from hophinge.cluster.joining import Joiner
from hophinge.cluster.membership import Membership
from hophinge.cluster.messages import (
    NAME_BYTES,
    START_BITS,
    TOPICS,
    Ack,
    Clash,
    Delta,
    Digest,
    Nack,
    Part,
    Ping,
    PingRequest,
    Record,
    Summary,
)
from hophinge.cluster.reconcile import Reconciler
from hophinge.cluster.tuning import Limits, Tuning
from hophinge.cluster.wire import Opener

WINDOWS_PART = 3  # times the most members: senders whose windows against replay are kept
TIDY_US = 10_000_000  # between looks for what may be forgotten


class Cluster:
    """A member. Drive it: `handle` whenever a datagram comes, and when `next_us` is reached; carry out what it tells.

    `start` is larger with each process under the name: tenths of milliseconds by the wall clock do. Where the clock was
    set back, others tell what they remember and the machine counts above it.
    """

    def __init__(
        self,
        name: str,
        address: str,
        start: int,
        seeds: Sequence[str],
        keys: Sequence[bytes],
        rng: random.Random,
        now_us: int,
        *,
        zone: str = "",
        role: Role = Role.HEAD,
        build: str = "",
        limits: Limits | None = None,
        tuning: Tuning | None = None,
    ) -> None:
        if not 0 < len(name.encode()) <= NAME_BYTES:
            raise ClusterUnusableError(f"name: {name!r} has {len(name.encode())} bytes, not 1 to {NAME_BYTES}")
        limits, tuning = limits or Limits(), tuning or Tuning()
        me = Record(name, address, start << START_BITS, zone=zone, role=role.value, build=build)
        self.core = Core(me, limits, tuning, rng, now_us, keys)
        self.opener = Opener(keys, WINDOWS_PART * limits.members, self.core.count)
        self.membership = Membership(self.core)
        self.prober = self.membership.prober
        self.reconciler = Reconciler(self.core)
        self.joiner = Joiner(self.core, seeds, self.reconciler.summary)
        self.core.later(self.core.rng.randrange(1, tuning.spread_us), self._spread)
        self.core.later(TIDY_US, self._tidy)
        for part in (self.prober, self.reconciler, self.joiner):
            part.begin()

    @property
    def me(self) -> str:
        """Tell this member's name."""
        return self.core.roster.me

    @property
    def next_us(self) -> int | None:
        """Tell when `handle` is to be called even if no datagram comes; None: this member is silent for good."""
        return None if self.core.silent else self.core.agenda.next_us

    def members(self) -> tuple[Member, ...]:
        """Tell all members that are not forgotten, by name."""
        return tuple(self.core.roster.members())

    def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Set an own entry; raises EntryRefusedError and changes nothing where there is no room for it."""
        self.core.shelf.put(topic, key, value)

    def drop(self, topic: Topic, key: str) -> None:
        """Take an own entry back; one that is not there is no error."""
        self.core.shelf.drop(topic, key)

    def entries(self, topic: Topic) -> Iterator[Entry]:
        """Tell what is held under a topic, of members that count."""
        return self.core.shelf.entries(TOPICS.index(topic), iter(list(self.core.roster.live)))

    def rekey(self, keys: Sequence[bytes]) -> None:
        """Send under the first key from now on, and take datagrams under each."""
        self.core.keys = self.opener.keys = list(keys)

    def handle(self, now_us: int, source: str = "", data: bytes | None = None) -> list[Action]:
        """Take time, and a datagram if one came; tell what is to be done."""
        core = self.core
        self._awake(now_us)
        if not core.silent and data is not None:
            self._received(source, data)
        while not core.silent and (what := core.agenda.due(core.now_us)) is not None:
            what()
        done, core.out = core.out, []
        return done

    def seek(self, now_us: int, seeds: Sequence[str]) -> list[Action]:
        """Take seeds' addresses, host:port; the first ones are tried at once."""
        first, self.joiner.seeds = not self.joiner.seeds, list(seeds)
        self.core.now_us = self.core.shelf.now_us = max(now_us, self.core.now_us)
        if first:
            self.joiner.try_seeds()
        return self.handle(now_us)

    def leave(self, now_us: int) -> list[Action]:
        """Tell others that this member leaves, and be silent."""
        self.core.now_us = self.core.shelf.now_us = max(now_us, self.core.now_us)
        self.membership.leaving = True
        self.joiner.leave()
        done, self.core.out = self.core.out, []
        return done

    def _awake(self, now_us: int) -> None:
        """Take the time; a process that finds itself late doubts itself before it doubts others."""
        core = self.core
        next_us = core.agenda.next_us
        late_us = now_us - next_us if next_us is not None else 0
        core.now_us = core.shelf.now_us = max(now_us, core.now_us)
        if late_us > core.tuning.late_us:
            core.count("late")
            core.doubt(1 + late_us // core.tuning.period_us)
            core.woken_us = now_us
            core.slept_us += late_us
            if late_us > core.tuning.grave_us // 2:
                # Others may have forgotten even that somebody died: what is held here is worth nothing.
                core.lose_others()

    def _received(self, source: str, data: bytes) -> None:
        opened = self.opener.open(data)
        if opened is None:
            return
        core = self.core
        core.counters["bytes_received"] += len(data)
        if opened.name == core.roster.me and opened.start in core.starts:
            return core.count("dropped_own")
        if core.alone:
            self.membership.company()
        core.heard_us = core.now_us
        for part in opened.parts:
            self._part(source, opened.name, part)
            if core.silent:
                return

    def _part(self, source: str, sender: str, part: Part) -> None:
        if isinstance(part, Record):
            self.membership.word(part, sender, source)
        elif isinstance(part, Ping):
            self.membership.word(part.record, sender, source)
            self.prober.pinged(source, part)
        elif isinstance(part, Ack):
            self.prober.acked(sender, part)
        elif isinstance(part, PingRequest):
            self.prober.asked(source, part)
        elif isinstance(part, Nack):
            self.prober.nacked(part)
        elif isinstance(part, Delta):
            self.reconciler.delta(source, part)
        elif isinstance(part, Summary):
            self.reconciler.compared(source, part)
        elif isinstance(part, Digest):
            self.reconciler.digest(source, part)
        elif isinstance(part, Clash) and (why := self.membership.clash(part)):
            self.core.lose_others()  # what is held would only grow old from here on
            self.core.silent = True
            self.core.out.append(SteppedBack(why))

    def _spread(self) -> None:
        core = self.core
        rank = core.rumours.rank
        if rank is not None:
            others = core.roster.others()
            for record in core.rng.sample(others, min(core.tuning.fanout, len(others))):
                core.say(record.address, [], rank)
        core.later(core.jitter(core.tuning.spread_us), self._spread)

    def _tidy(self) -> None:
        core = self.core
        core.roster.clear_graves(core.now_us - core.tuning.grave_us)
        core.shelf.tidy(core.now_us - core.tuning.tombstone_us)
        core.later(TIDY_US, self._tidy)
