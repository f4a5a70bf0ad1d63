"""Logs which backends' connections the head has cut off, and why: a line for each endpoint and second at most."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

INTERVAL_S = 1.0  # between two lines of one endpoint


@dataclass(slots=True)
class EndpointLines:
    """The lines of one endpoint."""

    logged_at: float  # seconds, of the latest line
    unlogged: int = 0  # cut off since then, without a line


class CutOffLog:
    """The lines of all endpoints. Times are seconds of one clock."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self.log = log
        self.endpoints: dict[str, EndpointLines] = {}

    def record(self, now: float, endpoint: str, reason: str) -> None:
        """Log that a connection was cut off, with how many there were without a line before it, or count it."""
        lines = self.endpoints.get(endpoint)
        if lines is not None and now - lines.logged_at < INTERVAL_S:
            lines.unlogged += 1
            return
        unlogged = lines.unlogged if lines is not None else 0
        self.endpoints[endpoint] = EndpointLines(now)
        self.log(f"backend connection cut off endpoint={endpoint} unlogged={unlogged} reason={reason}")

    def retain(self, endpoints: Iterable[str]) -> None:
        """Forget all endpoints but these."""
        kept = set(endpoints)
        self.endpoints = {endpoint: lines for endpoint, lines in self.endpoints.items() if endpoint in kept}
