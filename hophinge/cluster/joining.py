"""Reaching others: by seeds at the start and for as long as nobody is there, then now and then those that were lost.

Of those that died and are forgotten one is hailed each turn, by lot: a fixed rate however many they are.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from hophinge.cluster.core import Core
from hophinge.cluster.messages import LEFT, Part, Ping, Record

SEEDS_AT_ONCE = 3  # of those that are tried in one turn
GROWTH = 1.6  # of the pause with each turn in vain
FAREWELLS = 8  # members that are told of a leave


class Joiner:
    """Tries seeds, with growing pauses while nobody is there."""

    def __init__(self, core: Core, seeds: Sequence[str], greeting: Callable[[], Part]) -> None:
        self.core, self.greeting = core, greeting
        self.seeds = list(seeds)
        self.pause_us = core.tuning.first_pause_us

    def begin(self) -> None:
        """Try at once, and go on."""
        self.core.later(0, self.turn)

    def turn(self) -> None:
        """Try some seeds; with others there, one seed that is not among them or one of the dead."""
        core = self.core
        others = {record.address for record in core.roster.others()}
        self.knock(others)
        if not others:
            self.try_seeds()
            core.later(core.jitter(self.pause_us), self.turn)
            self.pause_us = min(core.tuning.longest_pause_us, int(self.pause_us * GROWTH))
            return
        self.pause_us = core.tuning.first_pause_us
        lost = [seed for seed in self.seeds if seed not in others and seed != core.roster.own.address]
        lost += [
            held.record.address
            for held in core.roster.held.values()
            if not held.record.counts and held.record.standing != LEFT
        ]
        if lost:
            self.hail(core.rng.choice(lost))
        core.later(core.jitter(core.tuning.rejoin_us), self.turn)

    def knock(self, others: Collection[str]) -> None:
        """Hail one of those that died and are forgotten: a cut may have outlasted the memory of its other side."""
        lost = [address for address in self.core.roster.lost() if address not in others]
        if lost:
            self.hail(self.core.rng.choice(lost))

    def try_seeds(self) -> None:
        """Hail some seeds."""
        seeds = [seed for seed in self.seeds if seed != self.core.roster.own.address]
        for seed in self.core.rng.sample(seeds, min(SEEDS_AT_ONCE, len(seeds))):
            self.hail(seed)

    def hail(self, address: str) -> None:
        """Ask whoever is at an address to answer, and to compare."""
        ping = Ping(self.core.rng.randrange(2**32), "", self.core.roster.own)
        self.core.say(address, [ping, self.greeting()], fill=False)

    def leave(self) -> None:
        """Tell some members that this one leaves; they tell the rest."""
        core = self.core
        own = core.roster.own
        gone = Record(own.name, own.address, own.incarnation, LEFT, own.zone, own.role, own.build)
        others = core.roster.others()
        for record in core.rng.sample(others, min(FAREWELLS, len(others))):
            core.say(record.address, [gone], fill=False)
        core.silent = True
