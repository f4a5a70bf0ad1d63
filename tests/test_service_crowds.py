"""Crowds of clients that don't behave at each address of a head in service, in a process of its own.

The bounds of the checks are the limits in the head's configuration: `MEMORY_MB` and `MAX_SOCKETS`.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest
from aiohttp import ClientError, ClientSession

from tests.client_crowds import Crowd, RunningCrowd, open_descriptors, peak_memory_mb, repeated
from tests.stand_in import Backend, World, headers, run, world
from tests.test_net import READ
from tests.test_service import config, program

MEMORY_MB = 120
MAX_SOCKETS = 200
ANSWER_S = 60.0  # for an ordinary request beside or after a crowd: no measure of speed
RETRY_S = 0.1
REJECTED = (0, 429, 503)  # no answer, or one that lets the caller ask again
MIB = 1 << 20
SENT_BYTES = 4 * MIB  # by each client, at most
TOKEN = "a-token-of-an-operator"
FRONT, CONTROL, OBJECTS, ADMIN = range(4)
SHORT = b"GET / HTTP/1.1\r\n\r\n"
NO_ROUTE = b"GET /none HTTP/1.1\r\nhost: c\r\n\r\n"
HEALTH = b"GET /healthz HTTP/1.1\r\nhost: c\r\n\r\n"
STATS = b"GET /ops/stats HTTP/1.1\r\nhost: c\r\n\r\n"
MANY_FIELDS = b"GET /none HTTP/1.1\r\n" + b"a:\r\n" * 3_500 + b"\r\n"
FIELDS = b"".join(
    f"{name}: {value}\r\n".encode() for name, value in headers().items() if name not in ("X-Txn", "X-Remaining-Ms")
)
LARGE = (
    b"GET %s HTTP/1.1\r\nhost: c\r\nX-Txn: 00000001%%08x\r\nX-Remaining-Ms: 750\r\n" % READ.encode() + FIELDS + b"\r\n"
)


def large_answers(number: int) -> Iterator[bytes]:
    """Ask for a large object again and again."""
    for index in range(20):
        yield LARGE % (number * 1_000 + index)


def many_objects(number: int) -> Iterator[bytes]:
    """Ask for objects of other volumes and names."""
    for index in range(500):
        name = number * 1_000 + index
        target = b"/record-read/%016x/%016x" % (name, name)
        yield (
            (b"GET " + target + b" HTTP/1.1\r\nhost: c\r\nX-Txn: 00000002%08x\r\nX-Remaining-Ms: 750\r\n" % name)
            + FIELDS
            + b"\r\n"
        )


def incomplete_body(number: int) -> Iterator[bytes]:
    """Send all but the last byte of a large body."""
    target = READ.replace("record-read", "transfer-write").encode()
    txn = b"X-Txn: 00000003%08x\r\nX-Remaining-Ms: 1200\r\n" % number
    yield b"PUT " + target + b" HTTP/1.1\r\nhost: c\r\n" + txn + FIELDS + b"content-length: %d\r\n\r\n" % SENT_BYTES
    yield bytes(SENT_BYTES - 1)


def incomplete_header(_number: int) -> Iterator[bytes]:
    """Send many header fields, and no end."""
    yield b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 16_000


@dataclass(frozen=True, slots=True)
class Case:
    """A crowd at one address."""

    address: int
    crowd: Crowd


CASES = [
    Case(FRONT, Crowd("requests without headers", repeated(SHORT, SENT_BYTES))),
    Case(FRONT, Crowd("requests for the path that says ready", repeated(HEALTH, SENT_BYTES))),
    Case(FRONT, Crowd("requests at paths that no route has", repeated(NO_ROUTE, SENT_BYTES))),
    Case(FRONT, Crowd("many header fields", repeated(MANY_FIELDS, SENT_BYTES))),
    Case(FRONT, Crowd("headers without an end", incomplete_header, connections=80)),
    Case(FRONT, Crowd("bodies without an end", incomplete_body)),
    Case(FRONT, Crowd("large answers", large_answers)),
    Case(FRONT, Crowd("many objects", many_objects, reads=True)),
    Case(FRONT, Crowd("more connections than may be open", repeated(b"GET / HT", 8), connections=400)),
    Case(CONTROL, Crowd("operators' calls", repeated(STATS, SENT_BYTES))),
    Case(CONTROL, Crowd("operators' calls for nothing", repeated(NO_ROUTE, SENT_BYTES))),
    Case(OBJECTS, Crowd("object requests without a key", repeated(NO_ROUTE, SENT_BYTES))),
    Case(OBJECTS, Crowd("object requests without headers", repeated(SHORT, SENT_BYTES))),
    Case(OBJECTS, Crowd("object headers without an end", incomplete_header, connections=80)),
    Case(ADMIN, Crowd("calls of administrators without a token", repeated(NO_ROUTE, SENT_BYTES))),
    Case(ADMIN, Crowd("administrators' calls without headers", repeated(SHORT, SENT_BYTES))),
]


def _free_addresses() -> list[str]:
    """Return one address of each kind on a loopback host that only this test run uses."""
    host = f"127.73.{os.getpid() % 250}.{os.getpid() // 250 % 250 + 1}"
    sockets = [socket.create_server((host, 0)) for _ in range(4)]
    addresses = [f"{host}:{listening.getsockname()[1]}" for listening in sockets]
    for listening in sockets:
        listening.close()
    return addresses


def _environment(folder: Path, made: World, addresses: list[str]) -> dict[str, str]:
    backend = made.backends[0]
    (folder / "admin.token").write_text(TOKEN)
    (folder / "operator.toml").write_text(
        f'[objects]\nlisten = "{addresses[OBJECTS]}"\ntenants = "{folder}/tenants.json"\n'
        'read_class = "record-read"\nwrite_class = "transfer-write"\n'
        f'[admin]\nlisten = "{addresses[ADMIN]}"\ntoken_file = "{folder}/admin.token"\n'
    )
    targets = [{"uid": backend.name, "endpoint": backend.endpoint, "state": "Ready", "pod_group": 0}]
    environ = config(
        folder,
        listen=addresses[FRONT],
        control=addresses[CONTROL],
        discovery=made.agent.endpoint,
        known={"rev": 1, "all": True, "targets": targets},
        limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": MAX_SOCKETS},
    )
    return {**environ, "HOPHINGE_OPERATOR_FILE": str(folder / "operator.toml")}


async def _check_ordinary_callers(addresses: list[str], number: int) -> None:
    """Check that each address answers a request; who is rejected asks again."""
    calls: tuple[tuple[int, str, dict[str, str], int], ...] = (
        (FRONT, READ, headers(number), 200),
        (FRONT, "/healthz", {}, 200),
        (CONTROL, "/ops/readiness", {}, 200),
        (OBJECTS, "/bucket/name", {}, 403),
        (ADMIN, "/v1/plans", {"Authorization": f"Bearer {TOKEN}"}, 200),
    )
    async with asyncio.timeout(ANSWER_S), ClientSession() as session:
        for address, target, fields, expected in calls:
            while (status := await _status(session, f"http://{addresses[address]}{target}", fields)) != expected:
                assert status in REJECTED, (target, status)
                await asyncio.sleep(RETRY_S)


async def _status(session: ClientSession, url: str, fields: dict[str, str]) -> int:
    """Return the status of a complete answer; 0 if the connection ended before."""
    with contextlib.suppress(ClientError, TimeoutError):
        async with session.get(url, headers=fields) as answer:
            await answer.read()
            return answer.status
    return 0


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.crowd.name.replace(" ", "-"))
def test_crowds_at_the_addresses_of_a_head_in_service(tmp_path: Path, case: Case) -> None:
    async def main() -> None:
        addresses = _free_addresses()
        async with world(Backend(0)) as made, program(_environment(tmp_path, made, addresses)) as process:
            assert process.stdout is not None
            reading = asyncio.create_task(process.stdout.read())
            made.backends[0].objects[READ.split("/", 2)[2]] = bytes(2 * MIB)
            await _check_ordinary_callers(addresses, 1)
            running = RunningCrowd(case.crowd, addresses[case.address])
            try:
                await running.start()
                await running.finish_sending()
                assert running.result.opened, "the crowd has not come"
                await _check_ordinary_callers(addresses, 2)
            finally:
                running.close()
            await _check_ordinary_callers(addresses, 3)
            assert process.returncode is None
            assert peak_memory_mb(process.pid) < MEMORY_MB
            assert open_descriptors(process.pid) < MAX_SOCKETS
            process.kill()
            await reading

    run(main())
