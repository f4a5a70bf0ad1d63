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

ROOT = Path(__file__).parent.parent.parent
LIMIT_S = 60.0
VOLUME, OBJECT = "00000003b4d60021", "7f3a9c21e0b4d655"


def free_port() -> int:
    """Find a loopback port that nobody uses."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


async def main(out: Console) -> int:
    """Play it; tells the exit status."""
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


async def _play(out: Console, folder: Path, processes: list[asyncio.subprocess.Process]) -> int:
    toy = _toy()
    ports = {name: free_port() for name in ("client", "staff", "stream", "discovery", "a", "b", "c")}

    async def start(*words: str, **environ: str) -> None:
        processes.append(
            await asyncio.create_subprocess_exec(
                sys.executable,
                *words,
                cwd=ROOT,
                env={**os.environ, **environ},
                stdout=(folder / "log").open("ab"),
                stderr=asyncio.subprocess.STDOUT,
            )
        )

    backends = [toy.Backend(at, ports[name]) for at, name in enumerate("abc")]
    platform = await toy.serve(backends, ports["discovery"])
    out.print("1. three bricks and discovery serve")
    head_token, staff_token = secrets.token_hex(16), secrets.token_hex(16)
    (folder / "heads").write_text(f"heads {head_token}\n")
    (folder / "staff").write_text(f"you {staff_token}\n")
    (folder / "token").write_text(head_token)
    await start(
        "-m",
        "hophinge",
        "control",
        "serve",
        "--store",
        str(folder / "versions.db"),
        "--heads",
        str(folder / "heads"),
        "--staff",
        str(folder / "staff"),
        "--listen",
        f"127.0.0.1:{ports['stream']}",
    )
    config = json.loads((ROOT / "examples" / "config.json").read_text())
    config.update(
        listen=f"127.0.0.1:{ports['client']}",
        control=f"127.0.0.1:{ports['staff']}",
        discovery=f"127.0.0.1:{ports['discovery']}",
    )
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "operator.toml").write_text(
        f'[stream]\nendpoints = ["127.0.0.1:{ports["stream"]}"]\ntoken_file = "token"\nfolder = "state"\n'
    )
    await start(
        "-m", "hophinge", EDGE_CONFIG=str(folder / "config.json"), HOPHINGE_OPERATOR_FILE=str(folder / "operator.toml")
    )
    base, staff = f"http://127.0.0.1:{ports['client']}", f"http://127.0.0.1:{ports['staff']}"
    try:
        async with aiohttp.ClientSession() as session:
            await _until(session, f"{staff}/ops/readiness", lambda text: text == "ready\n")
            out.print("2. a head and a control service serve")
            path = f"{base}/transfer-write/{VOLUME}/{OBJECT}"
            headers = {"X-Qos-Policy": "priority", "X-Remaining-Ms": "700"}
            async with session.put(
                path,
                data=b"a transfer\n",
                headers={**headers, "X-Txn": f"{1:016x}", "X-Placement": "units=1,shard=-1,hosts=1"},
            ) as answer:
                out.print(f"3. an object is written: {answer.status}")
                written = answer.status
            shard = next(backend.shard for backend in backends if backend.objects)
            async with session.get(
                f"{base}/record-read/{VOLUME}/{OBJECT}",
                headers={**headers, "X-Txn": f"{2:016x}", "X-Placement": f"units=1,shard={shard},hosts=1"},
            ) as answer:
                body = await answer.read()
                out.print(f"4. it is read from brick {shard}: {answer.status}, {body!r}")
            from hophinge.control.operator_client import call_operator_api

            async def push(text: str) -> dict[str, Any]:
                address, body = f"127.0.0.1:{ports['stream']}", json.dumps({"text": text}).encode()
                made: dict[str, Any] = json.loads(await call_operator_api(address, staff_token, "Push", body))
                return made

            # Without its waves, which take seconds, and with which a version that is turned down is rolled back.
            good = (ROOT / "examples" / "service.sexp").read_text().partition("(rollout")[0]
            await _until(session, f"{staff}/ops/config", lambda text: json.loads(text)["connected"])
            done = await push(good)
            told = json.loads(
                await _until(
                    session, f"{staff}/ops/config", lambda text: json.loads(text)["running"] == done["version"]
                )
            )
            out.print(
                f"5. examples/service.sexp is pushed as version {done['version']}; the head runs it "
                f"({told['records']} records)"
            )
            bad = await push(good + "(pool moon (zones the-moon))\n")
            told = json.loads(
                await _until(session, f"{staff}/ops/config", lambda text: json.loads(text)["state"] == "turned down")
            )
            out.print(
                f"6. version {bad['version']} names a zone that is not there: the head turns it down "
                f"({told['reason']}) and goes on with {told['running']}",
                markup=False,
            )
    finally:
        platform.close()
    good_end = written == 200 and body == b"a transfer\n" and told["running"] == done["version"]
    out.print("7. everything ends" if good_end else "something went wrong")
    return 0 if good_end else 1


def _toy() -> Any:
    spec = importlib.util.spec_from_file_location("toy_server", ROOT / "examples" / "toy_server.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


async def _until(session: aiohttp.ClientSession, url: str, good: Any) -> str:
    """Ask until an answer is good; the demo's own limit ends it."""
    while True:
        try:
            async with session.get(url) as answer:
                text = await answer.text()
                if answer.status == 200 and good(text):
                    return text
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.05)
