"""Choice of the endpoint for a head's next stream, and the backoff before it."""

from __future__ import annotations

import random

INITIAL_BACKOFF_US = 200_000
MAX_BACKOFF_US = 1_500_000  # 1000 heads then make about 700 attempts a second, and reconnect within 2 s
MAX_DOUBLINGS = 16
JITTER_FACTORS = (0.5, 1.5)  # heads that lost the same service must not all reconnect at the same time


class ReconnectPolicy:
    """Rotates through a head's endpoints, with an exponential backoff over consecutive failures."""

    def __init__(self, endpoints: tuple[str, ...], seed: int) -> None:
        if not endpoints:
            raise ValueError("a follower needs at least one endpoint")
        self.endpoints = endpoints
        self.random = random.Random(seed)
        self.index = 0
        self.failures = 0

    @property
    def endpoint(self) -> str:
        """The endpoint in use, or of the next attempt."""
        return self.endpoints[self.index]

    def record_failure(self, was_stable: bool) -> int:
        """Record the end of a stream or of an attempt, and move on to the next endpoint.

        Args:
            was_stable: The stream was open long enough to reset the backoff to its shortest.

        Returns:
            The backoff before the next attempt, in microseconds.

        """
        self.failures = 1 if was_stable else self.failures + 1
        self.index = (self.index + 1) % len(self.endpoints)
        backoff_us = min(MAX_BACKOFF_US, INITIAL_BACKOFF_US * 2 ** min(self.failures - 1, MAX_DOUBLINGS))
        return int(backoff_us * self.random.uniform(*JITTER_FACTORS))

    def retry_same_endpoint(self) -> None:
        """Undo the rotation of the last `record_failure`, for a service that is reachable."""
        self.index = (self.index - 1) % len(self.endpoints)
