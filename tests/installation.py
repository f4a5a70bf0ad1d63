"""Test helpers: heads with streamed configuration and their control service, connected by sockets."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec

from hophinge.control.operator_client import call_operator_api
from hophinge.control.follower import Follower
from hophinge.control.service import ControlService
from hophinge.control.store import ControlStore
from hophinge.head.operator_config import OperatorConfig, StreamConfig
from hophinge.head.service import Service
from tests.stand_in import Backend, World, headers, setup, until, world
from tests.test_service import ROOT

HEAD_TOKEN, OPERATOR_TOKEN = "a-token-of-heads-1", "a-token-of-staff-1"
GOOD = "(hophinge 1) (pool all (zones hall-a)) (route (pools all))"
MOON = "(hophinge 1) (pool moon (zones the-moon)) (route (pools moon))"
SETTINGS = setup(Caps={**setup()["Caps"], "SecondCopies": True})
TARGET = "/transfer-write/00000003b4d60021/7f3a9c21e0b4d6{:02x}"


class Installation:
    """Heads with streamed configuration and their control service, both in the test's process."""

    def __init__(self, folder: Path, made: World) -> None:
        self.folder, self.made = folder, made
        self.log: list[str] = []
        self.service: ControlService | None = None
        self.port = 0

    async def control(self, **options: Any) -> ControlService:
        self.service = ControlService(
            ControlStore(self.folder / "versions.db", **options),
            frozenset({HEAD_TOKEN}),
            {OPERATOR_TOKEN: "tester"},
            self.log.append,
        )
        await self.service.start(f"127.0.0.1:{self.port}")
        self.port = self.service.port
        return self.service

    async def head(
        self,
        name: str,
        settings: dict[str, Any] | None = None,
        token: str = HEAD_TOKEN,
        endpoints: list[str] | None = None,
    ) -> Service:
        (self.folder / "token").write_text(token)
        stream = StreamConfig(endpoints or [f"127.0.0.1:{self.port}"], self.folder / "token", self.folder / "state")
        return await self.made.head(OperatorConfig(stream=stream), settings or SETTINGS, name=name)

    async def push(self, text: str, **fields: Any) -> dict[str, Any]:
        return await self.call_operator_api("Push", text=text, **fields)

    async def call_operator_api(self, method: str, token: str = OPERATOR_TOKEN, **body: Any) -> dict[str, Any]:
        answer = await call_operator_api(f"127.0.0.1:{self.port}", token, method, msgspec.json.encode(body))
        return msgspec.json.decode(answer, type=dict[str, Any])

    async def runs(self, head: Service, version: str) -> None:
        await until(lambda: follower(head).active_name == version)


def follower(head: Service) -> Follower:
    assert head.streamed is not None
    return head.streamed.follower


@asynccontextmanager
async def installation(folder: Path, backends: int = 3) -> AsyncIterator[Installation]:
    async with world(*(Backend(at) for at in range(backends))) as made:
        system = Installation(folder, made)
        await system.control()
        try:
            yield system
        finally:
            await made.kill_all()
            if system.service is not None:
                await system.service.stop()


async def write(system: Installation, head: Service, number: int) -> int:
    fields = headers(number, X_Placement="units=1,shard=-1,hosts=1")
    async with system.made.client.put(
        system.made.url(head) + TARGET.format(number % 256), data=b"x", headers=fields
    ) as answer:
        await answer.read()
        return answer.status


async def status(request: Any) -> int:
    async with request as answer:
        await answer.read()
        return int(answer.status)


def start_command(tmp_path: Path, *arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen([sys.executable, "-m", "hophinge", *arguments], cwd=ROOT, stderr=subprocess.PIPE, text=True)


def serving(tmp_path: Path, port: int = 0) -> tuple[subprocess.Popen[str], int]:
    (tmp_path / "heads").write_text(f"# of heads\nheads {HEAD_TOKEN}\n")
    (tmp_path / "staff").write_text(f"tester {OPERATOR_TOKEN}\n")
    process = start_command(
        tmp_path,
        "control",
        "serve",
        "--store",
        str(tmp_path / "v.db"),
        "--heads",
        str(tmp_path / "heads"),
        "--staff",
        str(tmp_path / "staff"),
        "--listen",
        f"127.0.0.1:{port}",
        "--json",
    )
    assert process.stderr is not None
    for line in process.stderr:
        if "listens on" in line:
            return process, int(json.loads(line)["event"].partition("(port ")[2].partition(")")[0])
    raise AssertionError("the control service ended before it listened")
