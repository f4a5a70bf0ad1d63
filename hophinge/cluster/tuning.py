"""The figures by which members probe, suspect, spread and forget; all members of an installation use the same."""

from __future__ import annotations

import math

from msgspec import Struct

SECOND = 1_000_000  # microseconds


class Limits(Struct, frozen=True):
    """Bounds of one process."""

    bytes_s: int = 20_000  # sent at most in any second, headers of UDP and IPv4 counted
    members: int = 1_000  # known at most, the dead that are not forgotten among them
    entries: int = 2_000  # of one member at most
    entry_bytes: int = 256_000  # of one member's entries at most, keys counted


class Tuning(Struct, frozen=True):
    """Times in microseconds."""

    period_us: int = SECOND  # one member is probed in each
    timeout_us: int = 300_000  # of a direct probe: many times a round trip in one installation
    helpers: int = 3  # asked to probe in one's place
    health: int = 8  # the most that a process doubts itself: its times grow up to 9 times
    suspicion: float = 4.0  # shortest time of a suspicion, in periods, times log10 of the members
    patience: float = 4.0  # the longest is so many times the shortest, until others confirm
    spread_us: int = 200_000  # between rounds of news, while there is any
    fanout: int = 3  # members told in one round
    repeat: int = 3  # a piece of news goes out so often, times log10 of the members, and 2
    sync_us: int = SECOND  # between comparisons with a random member
    hurry_us: int = 250_000  # the same while the last comparison found differences
    rejoin_us: int = 5 * SECOND  # between tries to reach a seed or a dead member again
    first_pause_us: int = 500_000  # between tries while nobody is there: grows, with jitter, to the longest
    longest_pause_us: int = 20 * SECOND
    alone_us: int = 10 * SECOND  # of silence from everybody: from then on this process counts as alone
    sweep: int = 20  # members that one who is alone probes in a period
    late_us: int = 250_000  # a timer later than this is a reason to doubt oneself
    dead_us: int = 600 * SECOND  # the dead are listed so long
    grave_us: int = 24 * 3600 * SECOND  # and their incarnation is remembered so long
    tombstone_us: int = 600 * SECOND  # what was taken back is told so long
    overrule_us: int = 5 * SECOND  # between two corrections of what others hold for one's own

    def shortest_us(self, members: int) -> float:
        """Tell the shortest time of a suspicion among so many."""
        return self.suspicion * max(1.0, math.log10(max(members, 1))) * self.period_us

    def suspicion_us(self, members: int, confirmations: int) -> int:
        """Tell a suspicion's time: it shrinks with the logarithm of independent confirmations (Lifeguard)."""
        least = self.shortest_us(members)
        most = least * self.patience
        if members - 2 < self.helpers:
            return int(least)  # there are too few others to wait for
        part = math.log(confirmations + 1) / math.log(self.helpers + 1)
        return int(max(least, most - (most - least) * part))

    def sends(self, members: int) -> int:
        """Tell how often one process passes a piece of news on."""
        return math.ceil(self.repeat * math.log10(members + 1)) + 2
