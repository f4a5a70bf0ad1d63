"""Clients of a head that shuts down: each counts what it sent, the responses, and requests that got none."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import re
import signal
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from tests.servers import Backend
from tests.stand_in import Wire, World, headers, setup, world
from tests.test_net import READ
from tests.test_service import config, program

HOST, PORT = f"127.72.{os.getpid() % 250}.{os.getpid() // 250 % 250 + 1}", 18082
NUMBERS = itertools.count(1)
OVERDUE = 502  # status of a request that may have run, and whose deadline has passed
EARLY_S = 0.1  # by which a head may answer a request before its deadline


def settings_with_deadline(deadline_ms: int) -> dict[str, Any]:
    """Return settings whose classes all have this deadline, and the same target latency."""
    settings = setup()
    for request_class in settings["RequestClasses"]:
        request_class["GoalTimeUs"] = request_class["DeadlineUs"] = deadline_ms * 1000
    return settings


class Tally(Counter[str]):
    """The counts of all clients.

    `written`: requests that were sent completely; `answered`, and of these `closing` (with `Connection: close`), each
    status, and `early` (overdue, but answered before the deadline); `crossed`: a connection used before was closed
    during a request, before any of its response; `lost`: the same on a connection's first request, or after a part of
    the response; `connects_refused`: refused connection attempts.
    """

    def balanced(self) -> bool:
        """Return whether each request that was written has exactly one outcome."""
        return self["written"] == self["answered"] + self["crossed"] + self["lost"]


class Caller:
    """A client that sends request after request on its connection, and opens a new one when that is closed."""

    def __init__(self, tally: Tally, target: str = READ, pause_s: float = 0.0, **fields: str) -> None:
        self.tally, self.target, self.pause_s, self.fields = tally, target, pause_s, fields
        self.wire: Wire | None = None
        self.request_count = 0  # on this connection

    async def open(self) -> bool:
        """Connect; returns False if the connection is refused."""
        try:
            self.wire, self.request_count = Wire(*await asyncio.open_connection(HOST, PORT)), 0
        except OSError:
            self.tally["connects_refused"] += 1
            return False
        return True

    async def request(self) -> bool:
        """Send a request and await its response; returns False if the connection was closed."""
        assert self.wire is not None
        is_reused, self.request_count = self.request_count > 0, self.request_count + 1
        self.wire.send(self.target, headers(next(NUMBERS), **self.fields))
        sent_at = asyncio.get_running_loop().time()
        self.tally["written"] += 1
        try:
            status, fields, _ = await self.wire.receive()
        except (OSError, asyncio.IncompleteReadError) as error:
            has_partial_response = bool(getattr(error, "partial", b""))
            self.tally["crossed" if is_reused and not has_partial_response else "lost"] += 1
            self.wire.close()
            return False
        self.tally["answered"] += 1
        self.tally[str(status)] += 1
        elapsed_s = asyncio.get_running_loop().time() - sent_at
        self.tally["early"] += (
            status == OVERDUE and elapsed_s < int(self.fields.get("X_Remaining_Ms", 0)) / 1000 - EARLY_S
        )
        if fields.get("connection") == "close":
            self.tally["closing"] += 1
            self.wire.close()
            return False
        return True

    async def run(self) -> None:
        """Send requests until a connection is refused."""
        while await self.open():
            while await self.request():
                await asyncio.sleep(self.pause_s)


class HeadProcess:
    """A head in a process of its own; its counters and its log once it has exited."""

    def __init__(self, process: asyncio.subprocess.Process, made: World) -> None:
        self.process, self.made = process, made
        self.signalled_at = 0.0  # event loop time
        self.counts: dict[str, int] = {}
        self.text = ""

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.signalled_at = asyncio.get_running_loop().time()
        self.process.send_signal(signal.SIGTERM)

    async def wait_for_exit(self) -> float:
        """Wait for its exit with status 0; returns the seconds since the signal."""
        assert self.process.stdout is not None
        self.text = (await self.process.stdout.read()).decode()
        assert await self.process.wait() == 0, self.text
        elapsed_s = asyncio.get_running_loop().time() - self.signalled_at
        self.counts = {name: int(value) for name, value in re.findall(r"^(\w+) (\d+)$", self.text, re.M)}
        return elapsed_s

    async def connect(self) -> Wire:
        """Open a connection, which is closed at the end of the test."""
        return await connect_when_serving(self.made)

    @property
    def answered(self) -> int:
        """The number of requests that it accepted and answered."""
        return sum(self.counts[f"requests_{name}"] for name in ("served", "absent", "refused", "failed"))


async def connect_when_serving(made: World) -> Wire:
    """Wait until the head serves, and return a connection to it that was used for a health check only."""
    while True:
        with contextlib.suppress(OSError):
            wire = Wire(*await asyncio.open_connection(HOST, PORT))
            made.wires.append(wire)
            wire.send("/healthz", {})
            if (await wire.receive())[0] == 200:
                return wire
            wire.close()
        await asyncio.sleep(0.02)


@asynccontextmanager
async def start_head(folder: Path, *backends: Backend, **changes: Any) -> AsyncIterator[HeadProcess]:
    """Start backends, discovery and a head, and wait until the head serves."""
    async with world(*backends) as made:
        environ = config(folder, listen=f"{HOST}:{PORT}", discovery=made.agent.endpoint, **changes)
        async with program({**environ, "TMPDIR": str(folder)}) as process:
            (await connect_when_serving(made)).close()
            yield HeadProcess(process, made)
