"""Crowds of clients that don't behave, drawn for a soak: none of their requests has a route."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from hophinge.fleet.emulation.loopback_fleet import CONTROL_PORT, FRONT_PORT, HOST, READY_PORT, LoopbackFleet
from hophinge.load.rig.processes import Process
from tests.client_crowds import Crowd, RunningCrowd, Script, numbered, peak_memory_mb, repeated

SENT_BYTES = 48 << 10  # by each client
CONNECTIONS = range(2, 10)
PAUSE_S = 0.6  # between two crowds, at most
STAY_S = 1.5  # after all is sent, at most
PATH = b"/crowd"
TO_HOST = b"host: %s\r\n" % HOST.encode()
# Of log lines on requests of a crowd that had no response when their process ended.
LOGGED_PATHS = ("path=/crowd", "path=/v1/ready", "path=/v1/member", "path=/v1/config")


def _half_a_header(_number: int) -> Iterator[bytes]:
    yield b"GET /crowd HTTP/1.1\r\nho"


def _incomplete_body(_number: int) -> Iterator[bytes]:
    yield b"PUT /crowd HTTP/1.1\r\n" + TO_HOST + b"content-length: 900000\r\n\r\n"
    yield bytes(300_000)


def _many_fields(_number: int) -> Iterator[bytes]:
    yield b"GET /crowd HTTP/1.1\r\n" + TO_HOST + b"a:\r\n" * 3_000


def _get(path: bytes, more: bytes = b"") -> Script:
    return repeated(b"GET " + path + b" HTTP/1.1\r\n" + more + b"\r\n", SENT_BYTES)


KINDS: tuple[tuple[int, str, Script], ...] = (
    (FRONT_PORT, "without headers", _get(PATH)),
    (FRONT_PORT, "no route", _get(PATH, TO_HOST)),
    (FRONT_PORT, "half a header", _half_a_header),
    (FRONT_PORT, "incomplete bodies", _incomplete_body),
    (FRONT_PORT, "many fields", _many_fields),
    (FRONT_PORT, "bodies", repeated(b"PUT /crowd HTTP/1.1\r\ncontent-length: 20000\r\n\r\n" + bytes(20_000), 1 << 20)),
    (READY_PORT, "ready", _get(b"/v1/ready")),
    (READY_PORT, "status", _get(b"/v1/member")),
    (CONTROL_PORT, "nothing", _get(PATH)),
    (CONTROL_PORT, "status of members", _get(b"/v1/member")),
    (CONTROL_PORT, "configurations", _get(b"/v1/config")),
    (CONTROL_PORT, "departures", numbered(b"DELETE /v1/instances/crowd-%d HTTP/1.1\r\nhost: c\r\n\r\n", 20)),
)


@dataclass
class SoakCrowds:
    """The crowds of one soak, one after the other at machines that are drawn."""

    fleet: LoopbackFleet
    random: Random
    played: int = 0
    over: bool = False
    peaks_mb: dict[str, float] = field(default_factory=dict)  # by process: the highest memory seen

    async def run(self) -> None:
        """Play crowds until told to stop."""
        while not self.over:
            await asyncio.sleep(self.random.random() * PAUSE_S)
            port, name, script = self.random.choice(KINDS)
            crowd = Crowd(name, script, self.random.choice(CONNECTIONS), reads=self.random.random() < 0.3)
            running = RunningCrowd(crowd, self.fleet.address(self.random.randrange(len(self.fleet.ips)), port))
            try:
                await running.start()
                await running.finish_sending()
                await asyncio.sleep(self.random.random() * STAY_S)
            finally:
                running.close()
            self.played += 1
            self.measure()

    def measure(self) -> None:
        """Note the highest memory of each process that runs."""
        for name, process in self.fleet.processes.by_name.items():
            self.peaks_mb[name] = max(self.peaks_mb.get(name, 0.0), _peak_mb(process))


def _peak_mb(process: Process) -> float:
    try:
        return peak_memory_mb(process.pid)
    except (ProcessLookupError, FileNotFoundError, StopIteration):
        return 0.0  # it has ended, or is about to


def is_about_crowd(line: str) -> bool:
    """Tell whether a log line is about requests of a crowd."""
    return any(path in line for path in LOGGED_PATHS)
