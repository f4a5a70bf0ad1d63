"""Limits of a member, and the parameters of the protocol, which are the same for all members of an installation."""

from __future__ import annotations

import math

from msgspec import Struct

SECOND = 1_000_000  # microseconds


class Limits(Struct, frozen=True):
    """Limits of one process."""

    bytes_s: int = 20_000  # sent at most in any second, headers of UDP and IPv4 included
    members: int = 1_000  # tracked at most, dead ones that are not forgotten included
    entries: int = 2_000  # of one member at most
    entry_bytes: int = 256_000  # of one member's entries at most, keys included


class Tuning(Struct, frozen=True):
    """Parameters of the protocol; times in microseconds."""

    probe_interval_us: int = SECOND  # one member is probed in each
    probe_timeout_us: int = 300_000  # of a direct probe: many times a round trip in one installation
    indirect_probes: int = 3  # members that are asked to probe indirectly
    max_health_score: int = 8  # timeouts are extended up to 9 times
    suspicion_multiplier: float = 4.0  # shortest suspicion in probe intervals, times log10 of the members
    max_suspicion_multiplier: float = 4.0  # the longest suspicion in shortest ones, until others confirm it
    gossip_interval_us: int = 200_000  # between rounds of gossip, while there are updates
    gossip_fanout: int = 3  # members that a round of gossip is sent to
    retransmit_multiplier: int = 3  # an update is sent this often, times log10 of the members, and 2 times more
    sync_interval_us: int = SECOND  # between rounds of anti-entropy
    fast_sync_interval_us: int = 250_000  # the same while the last round found differences
    rejoin_interval_us: int = 5 * SECOND  # between attempts to reach a seed or a dead member again
    initial_backoff_us: int = 500_000  # between attempts while no other member is known; increases with jitter
    max_backoff_us: int = 20 * SECOND
    isolation_timeout_us: int = 10 * SECOND  # without any datagram: from then on this member counts as isolated
    isolated_probes: int = 20  # members that an isolated member probes in a period
    stall_threshold_us: int = 250_000  # a timer that is later than this lowers the health of this process
    dead_retention_us: int = 600 * SECOND  # for how long dead members are listed
    incarnation_retention_us: int = 24 * 3600 * SECOND  # for how long their incarnation is remembered
    tombstone_retention_us: int = 600 * SECOND  # for how long tombstones are replicated
    supersede_interval_us: int = 5 * SECOND  # between two corrections of wrong replicas of own entries

    def min_suspicion_us(self, members: int) -> float:
        """Return the shortest suspicion timeout among a number of members."""
        return self.suspicion_multiplier * max(1.0, math.log10(max(members, 1))) * self.probe_interval_us

    def suspicion_us(self, members: int, confirmations: int) -> int:
        """Return a suspicion timeout, which shrinks with the logarithm of independent confirmations (Lifeguard)."""
        shortest_us = self.min_suspicion_us(members)
        longest_us = shortest_us * self.max_suspicion_multiplier
        if members - 2 < self.indirect_probes:
            return int(shortest_us)  # there are too few others to wait for
        fraction = math.log(confirmations + 1) / math.log(self.indirect_probes + 1)
        return int(max(shortest_us, longest_us - (longest_us - shortest_us) * fraction))

    def max_sends(self, members: int) -> int:
        """Return how often one process sends an update."""
        return math.ceil(self.retransmit_multiplier * math.log10(members + 1)) + 2
