"""The demo: a toy platform, a control service and a head on loopback; writes and reads one object, pushes versions."""

from __future__ import annotations

import asyncio
import importlib.util
import json
import os
import secrets
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any

import aiohttp
from rich.console import Console

from hophinge.net.bounded_body import MAX_OBJECT_BYTES, read_body

ROOT = Path(__file__).parent.parent.parent
LIMIT_S = 60.0  # of the whole demo
VOLUME = "00000003b4d60021"
OBJECT = "7f3a9c21e0b4d655"


def free_port() -> int:
    """Return a free port of loopback."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


async def main(out: Console) -> int:
    """Run the demo and return the exit status."""
    toy = ROOT / "examples" / "toy_server.py"
    if not toy.exists():
        out.print("the demo needs the repository: examples/toy_server.py is not beside the package")
        return 2
    with tempfile.TemporaryDirectory(prefix="hophinge-demo-") as folder:
        processes: list[asyncio.subprocess.Process] = []
        try:
            async with asyncio.timeout(LIMIT_S):
                return await _play(out, Path(folder), processes)
        except TimeoutError:
            out.print(f"the demo took more than {LIMIT_S:g} s")
            return 1
        finally:
            for process in processes:
                if process.returncode is None:
                    process.terminate()
            for process in processes:
                await process.wait()


class Demo:
    """The processes of a demo, its ports and tokens, and its steps."""

    def __init__(self, out: Console, folder: Path, processes: list[asyncio.subprocess.Process]) -> None:
        self.out = out
        self.folder = folder
        self.processes = processes
        self.ports = {name: free_port() for name in ("client", "staff", "stream", "discovery", "a", "b", "c")}
        self.head_token = secrets.token_hex(16)
        self.operator_token = secrets.token_hex(16)
        self.client_url = f"http://127.0.0.1:{self.ports['client']}"
        self.operations_url = f"http://127.0.0.1:{self.ports['staff']}"

    async def start(self, *arguments: str, **environ: str) -> None:
        """Start a Python process, with its output in the log of the demo."""
        self.processes.append(
            await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                cwd=ROOT,
                env={**os.environ, **environ},
                stdout=(self.folder / "log").open("ab"),
                stderr=asyncio.subprocess.STDOUT,
            )
        )

    async def start_control_service(self) -> None:
        """Start a control service with tokens of its own."""
        (self.folder / "heads").write_text(f"heads {self.head_token}\n")
        (self.folder / "staff").write_text(f"you {self.operator_token}\n")
        await self.start(
            "-m",
            "hophinge",
            "control",
            "serve",
            "--store",
            str(self.folder / "versions.db"),
            "--heads",
            str(self.folder / "heads"),
            "--staff",
            str(self.folder / "staff"),
            "--listen",
            f"127.0.0.1:{self.ports['stream']}",
        )

    async def start_head(self) -> None:
        """Start a head on the example's configuration, which follows the control service."""
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        config.update(
            listen=f"127.0.0.1:{self.ports['client']}",
            control=f"127.0.0.1:{self.ports['staff']}",
            discovery=f"127.0.0.1:{self.ports['discovery']}",
        )
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "token").write_text(self.head_token)
        (self.folder / "operator.toml").write_text(
            f'[stream]\nendpoints = ["127.0.0.1:{self.ports["stream"]}"]\ntoken_file = "token"\nfolder = "state"\n'
        )
        await self.start(
            "-m",
            "hophinge",
            EDGE_CONFIG=str(self.folder / "config.json"),
            HOPHINGE_OPERATOR_FILE=str(self.folder / "operator.toml"),
        )

    async def write_and_read(self, session: aiohttp.ClientSession, backends: list[Any]) -> bool:
        """Write an object and read it; returns whether both succeeded."""
        headers = {"X-Qos-Policy": "priority", "X-Remaining-Ms": "700"}
        async with session.put(
            f"{self.client_url}/transfer-write/{VOLUME}/{OBJECT}",
            data=b"a transfer\n",
            headers={**headers, "X-Txn": f"{1:016x}", "X-Placement": "units=1,shard=-1,hosts=1"},
        ) as answer:
            self.out.print(f"3. an object is written: {answer.status}")
            write_status = answer.status
        shard = next(backend.shard for backend in backends if backend.objects)
        async with session.get(
            f"{self.client_url}/record-read/{VOLUME}/{OBJECT}",
            headers={**headers, "X-Txn": f"{2:016x}", "X-Placement": f"units=1,shard={shard},hosts=1"},
        ) as answer:
            body = await read_body(answer, MAX_OBJECT_BYTES)
            self.out.print(f"4. it is read from brick {shard}: {answer.status}, {body!r}")
        return write_status == 200 and body == b"a transfer\n"

    async def push(self, text: str) -> dict[str, Any]:
        """Push a service document, and return the control service's answer."""
        from hophinge.control.operator_client import call_operator_api

        address = f"127.0.0.1:{self.ports['stream']}"
        body = json.dumps({"text": text}).encode()
        answer: dict[str, Any] = json.loads(await call_operator_api(address, self.operator_token, "Push", body))
        return answer

    async def push_versions(self, session: aiohttp.ClientSession) -> bool:
        """Push a good version and one that the head rejects; returns whether it goes on with the good one."""
        url = f"{self.operations_url}/ops/config"
        # Without its waves, which take seconds, and with which a version that is rejected is rolled back.
        good = (ROOT / "examples" / "service.sexp").read_text().partition("(rollout")[0]
        await _until(session, url, lambda text: json.loads(text)["connected"])
        pushed = await self.push(good)
        state = json.loads(await _until(session, url, lambda text: json.loads(text)["running"] == pushed["version"]))
        self.out.print(
            f"5. examples/service.sexp is pushed as version {pushed['version']}; the head runs it "
            f"({state['records']} records)"
        )
        rejected = await self.push(good + "(pool moon (zones the-moon))\n")
        state = json.loads(await _until(session, url, lambda text: json.loads(text)["state"] == "turned down"))
        self.out.print(
            f"6. version {rejected['version']} names a zone that is not there: the head turns it down "
            f"({state['reason']}) and goes on with {state['running']}",
            markup=False,
        )
        return bool(state["running"] == pushed["version"])


async def _play(out: Console, folder: Path, processes: list[asyncio.subprocess.Process]) -> int:
    toy = _toy()
    demo = Demo(out, folder, processes)
    backends = [toy.Backend(at, demo.ports[name]) for at, name in enumerate("abc")]
    platform = await toy.serve(backends, demo.ports["discovery"])
    out.print("1. three bricks and discovery serve")
    await demo.start_control_service()
    await demo.start_head()
    try:
        async with aiohttp.ClientSession() as session:
            await _until(session, f"{demo.operations_url}/ops/readiness", lambda text: text == "ready\n")
            out.print("2. a head and a control service serve")
            is_read = await demo.write_and_read(session, backends)
            is_running = await demo.push_versions(session)
    finally:
        platform.close()
    is_good = is_read and is_running
    out.print("7. everything ends" if is_good else "something went wrong")
    return 0 if is_good else 1


def _toy() -> Any:
    spec = importlib.util.spec_from_file_location("toy_server", ROOT / "examples" / "toy_server.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


async def _until(session: aiohttp.ClientSession, url: str, good: Any) -> str:
    """Send a GET until the answer is good, and return its text; the demo's own limit ends it."""
    while True:
        try:
            async with session.get(url) as answer:
                text = (await read_body(answer, MAX_OBJECT_BYTES)).decode()
                if answer.status == 200 and good(text):
                    return text
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.05)
