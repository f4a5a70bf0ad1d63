"""A control service in a process of its own, heads in the test's process, and a relay that can cut their streams."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec

from hophinge.control.operator_client import call_operator_api
from hophinge.maintenance.permit_holder import GoOffline
from tests.maintenance_process import TOKEN, Head
from tests.test_service import ROOT

STAFF = "a-token-of-staff-1"
POOL = "(hophinge 1) (pool all (zones hall-a)) (route (pools all)) "


class Relay:
    """A TCP relay that can be cut: its connections are closed and new ones are rejected."""

    def __init__(self) -> None:
        self.to, self.port, self.cut = 0, 0, False
        self.server: asyncio.Server | None = None
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def open(self, to: int) -> None:
        self.to = to
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            if self.cut:
                raise OSError
            upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.to)
        except OSError:
            writer.close()
            return
        self.writers += [writer, upstream_writer]
        self.tasks += [
            asyncio.create_task(self._pass(reader, upstream_writer)),
            asyncio.create_task(self._pass(upstream_reader, writer)),
        ]

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        writer.close()

    def set_cut(self, is_cut: bool) -> None:
        self.cut = is_cut
        for writer in self.writers if is_cut else ():
            writer.close()

    async def close(self) -> None:
        self.set_cut(True)
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Fleet:
    """A control service process, and heads that are restarted with the build of their permits."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.port, self.relay = folder, 0, Relay()
        self.heads: dict[str, Head] = {}
        self.most_out, self.out = 0, set[str]()
        self.moving: list[asyncio.Task[None]] = []
        self.bad: dict[str, float] = {}  # failure rates with build 2, by head
        (folder / "heads").write_text(f"heads {TOKEN}\n")
        (folder / "staff").write_text(f"tester {STAFF}\n")

    async def control(self) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "hophinge",
                "control",
                "serve",
                "--store",
                str(self.folder / "v.db"),
                "--heads",
                str(self.folder / "heads"),
                "--staff",
                str(self.folder / "staff"),
                "--listen",
                f"127.0.0.1:{self.port}",
                "--json",
            ],
            cwd=ROOT,
            stderr=subprocess.PIPE,
        )
        assert self.process.stderr is not None
        line = b""
        while b"(port " not in line:
            line = await asyncio.to_thread(self.process.stderr.readline)
            assert line, "the control service ended"
        self.port = int(line.partition(b"(port ")[2].partition(b")")[0])
        self.reader = asyncio.create_task(asyncio.to_thread(self.process.stderr.read))

    async def kill(self) -> None:
        self.process.kill()
        await asyncio.to_thread(self.process.wait)
        await self.reader
        assert self.process.stderr is not None
        self.process.stderr.close()

    def head(self, name: str, build: str = "1", port: int = 0, **more: Any) -> Head:
        head = Head(name, port or self.port, build, self.folder / name, self.go, **more)
        head.failure_rate = self.bad.get(name, 0.0) if build == "2" else 0.0
        self.heads[name] = head
        head.start()
        return head

    def go(self, head: Head, action: GoOffline) -> None:
        self.out.add(head.name)
        self.most_out = max(self.most_out, len(self.out))
        self.moving.append(asyncio.create_task(self._move(head, action.build)))

    async def _move(self, head: Head, build: str) -> None:
        await head.end()
        self.out.discard(head.name)
        self.head(head.name, build or head.build, head.port)

    async def staff(self, method: str, **body: Any) -> dict[str, Any]:
        while True:
            with contextlib.suppress(ConnectionError):
                answer = await call_operator_api(
                    f"127.0.0.1:{self.port}", STAFF, method, msgspec.json.encode(body), 2.0
                )
                reply: dict[str, Any] = msgspec.json.decode(answer)
                return reply
            await asyncio.sleep(0.05)

    async def push(self, words: str) -> None:
        assert "mistakes" not in await self.staff("Push", text=POOL + words)

    async def until(self, state: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        """Poll the status until a condition holds; the test's time limit bounds it."""
        while True:
            status: dict[str, Any] = (await self.staff("Status"))["maintenance"]
            if state(status):
                return status
            await asyncio.sleep(0.05)


@asynccontextmanager
async def fleet(folder: Path) -> AsyncIterator[Fleet]:
    created = Fleet(folder)
    await created.control()
    try:
        yield created
    finally:
        for task in created.moving:
            task.cancel()
        await asyncio.gather(*created.moving, return_exceptions=True)
        for head in created.heads.values():
            await head.end()
        await created.relay.close()
        await created.kill()
