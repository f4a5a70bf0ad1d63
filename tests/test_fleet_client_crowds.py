"""Crowds of clients that don't behave: each process lives, stays within its machine, and answers ordinary callers.

The crowds and the bounds are fixed: `MEMORY_MB` and `MAX_DESCRIPTORS` are the limits in the settings of each process.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from pathlib import Path

import pytest

from hophinge.fleet.emulation.loopback_fleet import FRONT_PORT, HOST, READY_PORT
from tests.client_crowds import SEND_PIECE_BYTES, Crowd, numbered, repeated
from tests.crowded_fleet import Case, ids, play

MIB = 1 << 20
SENT_BYTES = 4 * MIB  # by each client, at most
TO_HOST = b"host: %s\r\n" % HOST.encode()

WITHOUT_HEADERS = b"GET / HTTP/1.1\r\n\r\n"
READY = b"GET /v1/ready HTTP/1.1\r\nhost: c\r\n\r\n"
MEMBER = b"GET /v1/member HTTP/1.1\r\nhost: c\r\n\r\n"
NO_ROUTE = b"GET /none HTTP/1.1\r\n" + TO_HOST + b"\r\n"
SERVED = b"POST /p/q HTTP/1.1\r\n" + TO_HOST + b"hophinge-request-id: crowd-%d\r\ncontent-length: 1\r\n\r\nx"
BODY = bytes(60_000)
WITH_BODY = b"POST /none HTTP/1.1\r\n" + TO_HOST + b"content-length: %d\r\n\r\n" % len(BODY) + BODY
LONG_TARGET = b"GET /" + b"a" * 15_000 + b" HTTP/1.1\r\n" + TO_HOST + b"\r\n"
MANY_FIELDS = b"GET /none HTTP/1.1\r\n" + TO_HOST + b"a:\r\n" * 3_500 + b"\r\n"
GARBAGE = b"\x00" * 64_000
CHUNK = b"1\r\nx\r\n"


def incomplete_header(_number: int) -> Iterator[bytes]:
    """Send as many header fields as fit below the limit on a header, and no end."""
    yield b"GET / HTTP/1.1\r\n" + TO_HOST + b"a:\r\n" * 16_000


def incomplete_body(number: int) -> Iterator[bytes]:
    """Send all but the last byte of the largest body."""
    yield b"PUT /p/held-%d HTTP/1.1\r\n" % number + TO_HOST + b"content-length: %d\r\n\r\n" % SENT_BYTES
    yield bytes(SENT_BYTES - 1)


def chunks_of_one_byte(number: int) -> Iterator[bytes]:
    """Send a body whose framing is five times as long, and takes a hundred times as long to parse."""
    yield b"PUT /p/chunks-%d HTTP/1.1\r\n" % number + TO_HOST + b"transfer-encoding: chunked\r\n\r\n"
    piece = CHUNK * (SEND_PIECE_BYTES // len(CHUNK))
    yield from itertools.repeat(piece, SENT_BYTES // len(piece))


def half_a_header(_number: int) -> Iterator[bytes]:
    """Send the beginning of a request."""
    yield b"GET / HTTP/1.1\r\nho"


def many_names(number: int) -> Iterator[bytes]:
    """Send prompts of many segments without tokens, all of other names."""
    for index in range(100):
        names = b",".join(b"%x:0" % (number << 24 | index << 12 | segment) for segment in range(1_500))
        yield (
            b"POST /m/q HTTP/1.1\r\n"
            + TO_HOST
            + b"hophinge-request-id: names-%d-%d\r\n" % (number, index)
            + b"hophinge-model: m\r\nhophinge-token-usage: 9,2\r\nhophinge-prompt-prefix: "
            + names
            + b"\r\ncontent-length: 1\r\n\r\nx"
        )


PIPELINED = [
    Case(FRONT_PORT, Crowd("requests without headers", repeated(WITHOUT_HEADERS, SENT_BYTES))),
    Case(READY_PORT, Crowd("requests for the path that says ready", repeated(READY, SENT_BYTES))),
    Case(FRONT_PORT, Crowd("requests at paths that no route has", repeated(NO_ROUTE, SENT_BYTES))),
]
FRONT = [
    Case(FRONT_PORT, Crowd("served requests with large responses", numbered(SERVED, 20)), response_bytes=2 * MIB),
    Case(FRONT_PORT, Crowd("bodies behind each other", repeated(WITH_BODY, SENT_BYTES))),
    Case(FRONT_PORT, Crowd("bodies without an end", incomplete_body)),
    Case(FRONT_PORT, Crowd("headers without an end", incomplete_header, connections=80)),
    Case(FRONT_PORT, Crowd("chunks of one byte", chunks_of_one_byte, connections=100)),
    Case(FRONT_PORT, Crowd("long targets", repeated(LONG_TARGET, SENT_BYTES))),
    Case(FRONT_PORT, Crowd("many header fields", repeated(MANY_FIELDS, SENT_BYTES))),
    Case(FRONT_PORT, Crowd("bytes that are no request", repeated(GARBAGE, SENT_BYTES))),
    Case(FRONT_PORT, Crowd("more connections than may be open", half_a_header, connections=600)),
    Case(FRONT_PORT, Crowd("prompts of many names", many_names, reads=True)),
]
READY_ADDRESS = [
    Case(READY_PORT, Crowd("status requests", repeated(MEMBER, SENT_BYTES))),
    Case(READY_PORT, Crowd("bodies at the ready address", repeated(WITH_BODY, SENT_BYTES))),
    Case(READY_PORT, Crowd("more connections to the ready address", half_a_header, connections=600)),
]


@pytest.mark.parametrize("case", PIPELINED, ids=ids)
def test_requests_sent_ahead_with_unread_responses(tmp_path: Path, case: Case) -> None:
    asyncio.run(play(tmp_path, case))


@pytest.mark.parametrize("case", FRONT, ids=ids)
def test_crowds_at_the_address_for_clients(tmp_path: Path, case: Case) -> None:
    asyncio.run(play(tmp_path, case))


@pytest.mark.parametrize("case", READY_ADDRESS, ids=ids)
def test_crowds_at_the_address_that_says_ready(tmp_path: Path, case: Case) -> None:
    asyncio.run(play(tmp_path, case))
