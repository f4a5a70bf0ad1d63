"""Crowds of callers that don't behave at the address of a control member; the bounds are those of `crowded_fleet`."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from hophinge.fleet.emulation.loopback_fleet import CONTROL_PORT
from tests.client_crowds import Crowd, numbered, repeated
from tests.crowded_fleet import Case, ids, play

MIB = 1 << 20
SENT_BYTES = 4 * MIB  # by each caller, at most
CONFIGURATION = b"GET /v1/config HTTP/1.1\r\nhost: c\r\n\r\n"
MEMBER = b"GET /v1/member HTTP/1.1\r\nhost: c\r\n\r\n"
NO_ROUTE = b"GET /none HTTP/1.1\r\nhost: c\r\n\r\n"


def incomplete_configuration(_number: int) -> Iterator[bytes]:
    """Send all but the last byte of the largest configuration that a control member reads."""
    yield b"PUT /v1/config HTTP/1.1\r\nhost: c\r\nif-match: 1\r\ncontent-length: %d\r\n\r\n" % (8 * MIB)
    yield bytes(8 * MIB - 1)


def odd_configuration(kind: bytes) -> bytes:
    """Return a request with a configuration of many invalid entries."""
    body = b'{"version":2,"routes":[' + b",".join([kind] * (6 * MIB // (len(kind) + 1))) + b'],"services":[]}'
    fields = b"host: c\r\nif-match: 1\r\ncontent-length: %d\r\n\r\n" % len(body)
    return b"PUT /v1/config HTTP/1.1\r\n" + fields + body


def heartbeat(padding: int) -> bytes:
    """Return a request with a valid heartbeat of an instance that is not there; `%d` stands for its number."""
    body = json.dumps(
        {"service": "other", "address": "127.0.0.1:9", "zone": "z", "version": "v" * padding, "sequence": 1}
    ).encode()
    fields = b"host: c\r\ncontent-length: %LENGTH\r\n\r\n".replace(b"%LENGTH", str(len(body)).encode())
    return b"PUT /v1/instances/other-%d HTTP/1.1\r\n" + fields + body


UNREGISTER = b"DELETE /v1/instances/other-%d HTTP/1.1\r\nhost: c\r\ncontent-length: 0\r\n\r\n"


def increments(number: int) -> Iterator[bytes]:
    """Send increments of other counters, whose names and identifiers are as long as they may be."""
    for index in range(1_500):
        name = b"%08d" % (number * 10_000 + index) + b"n" * 240
        body = b'{"id": "%s", "by": 1}' % name
        yield (b"POST /v1/tallies/%s HTTP/1.1\r\nhost: c\r\ncontent-length: %d\r\n\r\n" % (name, len(body))) + body


CONTROL = [
    Case(CONTROL_PORT, Crowd("requests for nothing", repeated(NO_ROUTE, SENT_BYTES))),
    Case(CONTROL_PORT, Crowd("status requests", repeated(MEMBER, SENT_BYTES))),
    Case(CONTROL_PORT, Crowd("reads of the configuration", repeated(CONFIGURATION, SENT_BYTES)), routes=4_000),
    Case(CONTROL_PORT, Crowd("configurations without an end", incomplete_configuration)),
    Case(CONTROL_PORT, Crowd("configurations of many numbers", repeated(odd_configuration(b"0"), 1), 3)),
    Case(CONTROL_PORT, Crowd("configurations of many objects", repeated(odd_configuration(b"{}"), 1), 3)),
    Case(CONTROL_PORT, Crowd("heartbeats of many instances", numbered(heartbeat(20), 2_000), reads=True)),
    Case(CONTROL_PORT, Crowd("heartbeats of many long versions", numbered(heartbeat(30_000), 100), reads=True)),
    Case(CONTROL_PORT, Crowd("departures of many instances", numbered(UNREGISTER, 2_000), reads=True)),
    Case(CONTROL_PORT, Crowd("increments of many counters", increments, reads=True)),
    Case(CONTROL_PORT, Crowd("more connections than may be open", repeated(b"GET / HT", 8), connections=600)),
]


@pytest.mark.parametrize("case", CONTROL, ids=ids)
def test_crowds_at_the_address_of_a_control_member(tmp_path: Path, case: Case) -> None:
    asyncio.run(play(tmp_path, case))
