"""Which endpoint a head's stream is opened to next, and how long it waits before."""

from __future__ import annotations

import random

FIRST_PAUSE_US = 200_000  # before the next attempt to connect
LONGEST_PAUSE_US = 1_500_000  # a thousand heads then knock some 700 times a second, and are back within two
JITTER = (0.5, 1.5)  # parts of a pause: heads that lost one service do not come back at once


class Dial:
    """The endpoints of one head, and how often none answered."""

    def __init__(self, endpoints: tuple[str, ...], seed: int) -> None:
        if not endpoints:
            raise ValueError("a follower needs an endpoint")
        self.endpoints, self.random = endpoints, random.Random(seed)
        self.at, self.failures = 0, 0

    @property
    def endpoint(self) -> str:
        """Tell the one that is used, or is next."""
        return self.endpoints[self.at]

    def ended(self, lived: bool) -> int:
        """Note the end of a stream, or of an attempt; tell the pause before the next."""
        self.failures = 1 if lived else self.failures + 1
        self.at = (self.at + 1) % len(self.endpoints)
        pause = min(LONGEST_PAUSE_US, FIRST_PAUSE_US * 2 ** min(self.failures - 1, 16))
        return int(pause * self.random.uniform(*JITTER))

    def stay(self) -> None:
        """Go to the same endpoint again: it is there."""
        self.at = (self.at - 1) % len(self.endpoints)
