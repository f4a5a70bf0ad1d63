"""The bytes that a process may send: a bucket that keeps some back for what matters more."""

from __future__ import annotations

HEADERS = 28  # bytes of IPv4 and UDP that each datagram has besides
BURST_PART = 0.25  # of a second's bytes may go at once; the rest flows in over the second
MIN_BURST = 1_300  # bytes: one datagram with its headers
PROBES, NEWS, FIRST_TOPIC = 0, 1, 2  # ranks: probes and answers, words about members, then topics in their order
PUSH_PART = 0.75  # of the bucket: below, entries of later topics go only to those that lack them
RESERVE_PART = 0.16  # of the bucket that each rank leaves to those before it


class Budget:
    """At most `bytes_s` in any second: what the bucket holds and what flows in within a second are that together."""

    def __init__(self, bytes_s: int, now_us: int) -> None:
        self.most = max(MIN_BURST, int(bytes_s * BURST_PART))
        self.flow = max(0, bytes_s - self.most)
        self.level, self.at_us = float(self.most), now_us

    def now(self, now_us: int) -> None:
        """Let what flows in since the last time in."""
        if now_us > self.at_us:
            self.level = min(float(self.most), self.level + (now_us - self.at_us) * self.flow / 1e6)
            self.at_us = now_us

    def room(self, rank: int) -> int:
        """Tell how many bytes a datagram of a rank may have now, headers taken off; a rank's last may dip below."""
        return int(self.level) - HEADERS if self.level >= self.most * RESERVE_PART * rank else 0

    def push(self, rank: int) -> int:
        """Tell how many bytes news may have that others can also ask for: of later topics only with bytes to spare."""
        return self.room(rank) if rank <= FIRST_TOPIC or self.level >= self.most * PUSH_PART else 0

    def spend(self, size: int) -> None:
        """Take what was sent."""
        self.level -= size + HEADERS
