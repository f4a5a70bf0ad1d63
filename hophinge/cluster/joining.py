"""Contacting other members: through seeds while this one is alone, later members that were lost.

Of the members that died and are forgotten one is contacted each round, chosen at random: a fixed rate however many
there are.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from hophinge.cluster.core import Core
from hophinge.cluster.messages import LEFT, Message, Ping

SEEDS_PER_ATTEMPT = 3  # contacted in one round
BACKOFF_FACTOR = 1.6  # growth of the backoff with each failed round
LEAVE_FANOUT = 8  # members that are notified of a leave


class Joiner:
    """Contacts seeds, with increasing backoff while no other member is known."""

    def __init__(self, core: Core, seeds: Sequence[str], make_summary: Callable[[], Message]) -> None:
        self.core = core
        self.make_summary = make_summary
        self.seeds = list(seeds)
        self.backoff_us = core.tuning.initial_backoff_us

    def start(self) -> None:
        """Schedule the first round at once."""
        self.core.call_later(0, self.run_round)

    def run_round(self) -> None:
        """Contact some seeds if no other member is known, else a missing seed or a dead member."""
        core = self.core
        others = {record.address for record in core.members.others()}
        self.contact_forgotten(others)
        if not others:
            self.contact_seeds()
            core.call_later(core.jitter(self.backoff_us), self.run_round)
            self.backoff_us = min(core.tuning.max_backoff_us, int(self.backoff_us * BACKOFF_FACTOR))
            return
        self.backoff_us = core.tuning.initial_backoff_us
        lost = [seed for seed in self.seeds if seed not in others and seed != core.members.own_record.address]
        lost += [
            tracked.record.address
            for tracked in core.members.tracked.values()
            if not tracked.record.is_live and tracked.record.state != LEFT
        ]
        if lost:
            self.contact(core.rng.choice(lost))
        core.call_later(core.jitter(core.tuning.rejoin_interval_us), self.run_round)

    def contact_forgotten(self, live_addresses: Collection[str]) -> None:
        """Contact one member that died and is forgotten: a partition may last longer than the memory of either side."""
        lost = [address for address in self.core.members.lost_addresses() if address not in live_addresses]
        if lost:
            self.contact(self.core.rng.choice(lost))

    def contact_seeds(self) -> None:
        """Contact some seeds, chosen at random."""
        seeds = [seed for seed in self.seeds if seed != self.core.members.own_record.address]
        for seed in self.core.rng.sample(seeds, min(SEEDS_PER_ATTEMPT, len(seeds))):
            self.contact(seed)

    def contact(self, address: str) -> None:
        """Ping any member at an address, with a summary for it to compare."""
        ping = Ping(self.core.rng.randrange(2**32), "", self.core.members.own_record)
        self.core.send(address, [ping, self.make_summary()], piggyback=False)

    def announce_leave(self) -> None:
        """Notify some members that this one leaves; they gossip it to the others."""
        core = self.core
        left = core.members.own_record.with_state(LEFT)
        others = core.members.others()
        for record in core.rng.sample(others, min(LEAVE_FANOUT, len(others))):
            core.send(record.address, [left], piggyback=False)
        core.is_silent = True
