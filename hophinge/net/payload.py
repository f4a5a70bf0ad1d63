"""What a front hands through the exchange to the bricks' client."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.net.upload import Upload

MOST_BODY = 64 * 1024
MOST_LONG = 33 * 1024 * 1024    # of a long body or answer
HOLD = 64 * 1024                # an answer up to here is passed on only once it is whole


@dataclass(frozen=True, slots=True)
class Payload:
    """What goes on to a brick as it came."""

    method: str
    target: str
    txn: str
    body: bytes
    upload: Upload | None = None    # in place of a body that is not whole yet
