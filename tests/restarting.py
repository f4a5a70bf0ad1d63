"""Clients of a head that is told to end: each counts what it wrote, what it got, and what ended with no answer."""

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
OVERDUE = 502  # the answer to a request that may have run, and whose time is over
EARLY_S = 0.1  # that a head may answer before that time is over


def lasting(deadline_ms: int) -> dict[str, Any]:
    """Settings whose classes all have this aim and deadline."""
    made = setup()
    for one in made["RequestClasses"]:
        one["GoalTimeUs"] = one["DeadlineUs"] = deadline_ms * 1000
    return made


class Tally(Counter[str]):
    """What clients count.

    `written`: requests whose last byte went out; `answered`, and of those `closing` (with `Connection: close`), each
    status, and `early` (as overdue, before its time was over); `crossed`: a kept connection ended under a request,
    before any of its answer; `lost`: the same on a connection's first request, or after a part of the answer;
    `turned`: connects refused.
    """

    def balanced(self) -> bool:
        """Tell whether each request that was written has one end."""
        return self["written"] == self["answered"] + self["crossed"] + self["lost"]


class Caller:
    """One client: it asks again and again on the connection that it has, and opens another once that has ended."""

    def __init__(self, tally: Tally, target: str = READ, pause_s: float = 0.0, **fields: str) -> None:
        self.tally, self.target, self.pause_s, self.fields = tally, target, pause_s, fields
        self.wire: Wire | None = None
        self.asked = 0  # on this connection

    async def open(self) -> bool:
        """Connect; False where nobody listens any more."""
        try:
            self.wire, self.asked = Wire(*await asyncio.open_connection(HOST, PORT)), 0
        except OSError:
            self.tally["turned"] += 1
            return False
        return True

    async def ask(self) -> bool:
        """Ask once; False where the connection has ended."""
        assert self.wire is not None
        kept, self.asked = self.asked > 0, self.asked + 1
        self.wire.send(self.target, headers(next(NUMBERS), **self.fields))
        sent_at = asyncio.get_running_loop().time()
        self.tally["written"] += 1
        try:
            status, fields, _ = await self.wire.receive()
        except (OSError, asyncio.IncompleteReadError) as error:
            begun = bool(getattr(error, "partial", b""))
            self.tally["crossed" if kept and not begun else "lost"] += 1
            self.wire.close()
            return False
        self.tally["answered"] += 1
        self.tally[str(status)] += 1
        took_s = asyncio.get_running_loop().time() - sent_at
        self.tally["early"] += status == OVERDUE and took_s < int(self.fields.get("X_Remaining_Ms", 0)) / 1000 - EARLY_S
        if fields.get("connection") == "close":
            self.tally["closing"] += 1
            self.wire.close()
            return False
        return True

    async def run(self) -> None:
        """Ask on until no connection is to be had."""
        while await self.open():
            while await self.ask():
                await asyncio.sleep(self.pause_s)


class Ending:
    """A head in a process of its own, and what it counted once it has ended."""

    def __init__(self, process: asyncio.subprocess.Process, made: World) -> None:
        self.process, self.made = process, made
        self.begun = 0.0
        self.counts: dict[str, int] = {}
        self.text = ""

    def tell(self) -> None:
        """Send SIGTERM."""
        self.begun = asyncio.get_running_loop().time()
        self.process.send_signal(signal.SIGTERM)

    async def over(self) -> float:
        """Wait for its end; how long it took, in seconds."""
        assert self.process.stdout is not None
        self.text = (await self.process.stdout.read()).decode()
        assert await self.process.wait() == 0, self.text
        took = asyncio.get_running_loop().time() - self.begun
        self.counts = {name: int(value) for name, value in re.findall(r"^(\w+) (\d+)$", self.text, re.M)}
        return took

    async def wire(self) -> Wire:
        """Open a connection, closed at the test's end."""
        return await wire(self.made)

    @property
    def answered(self) -> int:
        """Tell the requests that it took and answered."""
        return sum(self.counts[f"requests_{name}"] for name in ("served", "absent", "refused", "failed"))


async def wire(made: World) -> Wire:
    """Wait until the head serves; a connection to it, on which nothing was asked yet but its health."""
    while True:
        with contextlib.suppress(OSError):
            one = Wire(*await asyncio.open_connection(HOST, PORT))
            made.wires.append(one)
            one.send("/healthz", {})
            if (await one.receive())[0] == 200:
                return one
            one.close()
        await asyncio.sleep(0.02)


@asynccontextmanager
async def head(folder: Path, *backends: Backend, **changes: Any) -> AsyncIterator[Ending]:
    """Start a head that is ready, beside bricks and discovery."""
    async with world(*backends) as made:
        environ = config(folder, listen=f"{HOST}:{PORT}", discovery=made.agent.endpoint, **changes)
        async with program({**environ, "TMPDIR": str(folder)}) as process:
            (await wire(made)).close()
            yield Ending(process, made)
