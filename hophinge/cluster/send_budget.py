"""The limit on the bytes that a member may send: a token bucket that reserves a share for more important messages."""

from __future__ import annotations

HEADER_BYTES = 28  # of IPv4 and UDP, sent with each datagram
BURST_FRACTION = 0.25  # of a second's bytes may be sent at once; the rest is refilled over the second
MIN_BURST_BYTES = 1_300  # one datagram with its headers

# Ranks of messages: probes and acknowledgements, records of members, then one for each topic in its order.
PROBE_RANK = 0
MEMBER_RANK = 1
FIRST_TOPIC_RANK = 2

GOSSIP_FRACTION = 0.75  # of the bucket: below it, entries of later topics are sent only to members that lack them
RESERVE_FRACTION = 0.16  # of the bucket that each rank leaves to those before it


class SendBudget:
    """A token bucket: never more than `bytes_s` within a second, as burst and refill together make up that many."""

    def __init__(self, bytes_s: int, now_us: int) -> None:
        self.burst_bytes = max(MIN_BURST_BYTES, int(bytes_s * BURST_FRACTION))
        self.refill_bytes_s = max(0, bytes_s - self.burst_bytes)
        self.available = float(self.burst_bytes)
        self.refilled_us = now_us

    def refill(self, now_us: int) -> None:
        """Add the bytes that have accrued since the last refill."""
        if now_us > self.refilled_us:
            accrued = (now_us - self.refilled_us) * self.refill_bytes_s / 1e6
            self.available = min(float(self.burst_bytes), self.available + accrued)
            self.refilled_us = now_us

    def available_bytes(self, rank: int) -> int:
        """Return the size that a datagram of a rank may have now; the last one of a rank may overdraw its reserve."""
        return int(self.available) - HEADER_BYTES if self.available >= self.burst_bytes * RESERVE_FRACTION * rank else 0

    def available_gossip_bytes(self, rank: int) -> int:
        """Return the size of updates that other members could also pull: later topics only get spare bytes."""
        if rank <= FIRST_TOPIC_RANK or self.available >= self.burst_bytes * GOSSIP_FRACTION:
            return self.available_bytes(rank)
        return 0

    def consume(self, size: int) -> None:
        """Subtract a datagram that was sent; `size` is without headers."""
        self.available -= size + HEADER_BYTES
