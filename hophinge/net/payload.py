"""What a front hands through the exchange to the bricks' client."""

from __future__ import annotations

from dataclasses import dataclass

MOST_BODY = 64 * 1024
MOST_ANSWER = 2 * 1024 * 1024   # of a brick; more than the protocol's 64 KiB do come, and are good


@dataclass(frozen=True, slots=True)
class Payload:
    """What goes on to a brick as it came."""

    method: str
    target: str
    txn: str
    body: bytes
