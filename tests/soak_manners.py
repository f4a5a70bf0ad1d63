"""How clients of a soak send their requests: whole, in pieces, two at once, with more behind them, or not whole."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from random import Random

from hophinge.fleet.emulation.loopback_fleet import HOST
from tests.fleet_requests import PROMPT

DEADLINE_MS = 8_000
PIECES = 4
LONGEST_GAP_S = 0.1  # between pieces
GARBAGE = b"\x00 no request\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request."""

    path: str
    streams: bool = False
    idempotent: bool = False  # it may run more than once
    may_be_unknown: bool = False  # its route comes and goes


KINDS = {
    "stream": Kind("/m/", streams=True),
    "resumable": Kind("/r/", streams=True, idempotent=True),
    "unsafe": Kind("/p/"),
    "safe": Kind("/s/", idempotent=True),
    "passing": Kind("/o/", may_be_unknown=True),
}


class Manner(Enum):
    """How requests are sent."""

    WHOLE = "whole"
    PIECES = "in pieces"
    TWO = "one behind the other, in one piece"
    TWO_IN_PIECES = "one behind the other, in pieces"
    GARBAGE = "with bytes behind it that are no request"
    CHUNKED = "in chunks"
    UPGRADE = "with the wish for another protocol, as a common client library sends it"
    AHEAD = "several at once, some with a header beyond the limit"
    LEAVE = "whole, then the client closes its side, and may read on"
    HALF_A_HEADER = "half of a header"


WEIGHTS = {
    Manner.WHOLE: 60,
    Manner.PIECES: 8,
    Manner.TWO: 8,
    Manner.TWO_IN_PIECES: 4,
    Manner.GARBAGE: 4,
    Manner.CHUNKED: 6,
    Manner.UPGRADE: 4,
    Manner.AHEAD: 10,
    Manner.LEAVE: 4,
    Manner.HALF_A_HEADER: 2,
}
SENT_AHEAD = 5  # requests
OVERSIZED = "-oversized"  # ends the name of a request whose header is beyond the limit
PADDING_BYTES = 20_000  # beyond `max-header-bytes`
TWOS = (Manner.TWO, Manner.TWO_IN_PIECES)
IN_PIECES = (Manner.PIECES, Manner.TWO_IN_PIECES)
LAST = (Manner.GARBAGE, Manner.LEAVE, Manner.HALF_A_HEADER)  # the connection is not used again behind these


def draw(random: Random) -> Manner:
    """Draw a manner."""
    return random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]


def written(name: str, kind: str, manner: Manner) -> bytes:
    """Write a request with a body of one byte, and what comes behind it."""
    fields = [
        (b"Host", HOST.encode()),
        (b"Hophinge-Request-Id", name.encode()),
        (b"Hophinge-Deadline-Ms", b"%d" % DEADLINE_MS),
        *(PROMPT if KINDS[kind].streams else ()),
    ]
    if name.endswith(OVERSIZED):
        fields.append((b"X-Padding", b"a" * PADDING_BYTES))
    body = b"x"
    if manner is Manner.CHUNKED:
        fields.append((b"Transfer-Encoding", b"chunked"))
        body = b"1\r\nx\r\n0\r\n\r\n"
    else:
        fields.append((b"Content-Length", b"1"))
    if manner is Manner.UPGRADE:
        fields += [(b"Connection", b"Upgrade, HTTP2-Settings"), (b"Upgrade", b"h2c"), (b"HTTP2-Settings", b"AAMAAABk")]
    lines = b"".join(field + b": " + value + b"\r\n" for field, value in fields)
    data = b"POST %sq HTTP/1.1\r\n%s\r\n%s" % (KINDS[kind].path.encode(), lines, body)
    if manner is Manner.HALF_A_HEADER:
        return data[: len(data) // 2]
    return data + GARBAGE if manner is Manner.GARBAGE else data


async def send(writer: asyncio.StreamWriter, data: bytes, manner: Manner, random: Random) -> None:
    """Send it; raises ConnectionError where the connection has ended."""
    begin = 0
    cuts = sorted(random.sample(range(1, len(data)), PIECES - 1)) if manner in IN_PIECES else []
    for end in (*cuts, len(data)):
        writer.write(data[begin:end])
        await writer.drain()
        begin = end
        if end < len(data):
            await asyncio.sleep(random.random() * LONGEST_GAP_S)
    if manner is Manner.LEAVE:
        writer.write_eof()
