"""Processes and waits that the measurements of streams and tenants share."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from hophinge.cli.demo import free_port  # noqa: E402
from hophinge.control.operator_client import call_operator_api  # noqa: E402

HEADS = 10
TOKEN, STAFF = "a-token-of-heads-1", "a-token-of-staff-1"
POOLS = "(hophinge 1)(pool all (zones hall-a hall-b hall-c))(route (pools all) (else any))"
WAIT_S = 60.0


def write_headers(number: int, hosts: int = 1) -> dict[str, str]:
    """Return the headers of a write of one unit, for a volume that comes through so many heads."""
    return {
        "X-Qos-Policy": "priority",
        "X-Remaining-Ms": "1000",
        "X-Txn": f"{number:016x}",
        "X-Placement": f"units=1,shard=-1,hosts={hosts}",
    }


def memory_mb(pid: int) -> float:
    """Tell a process's resident memory."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def control_process(folder: Path, port: int) -> subprocess.Popen[bytes]:
    """Start a control service."""
    (folder / "heads").write_text(f"heads {TOKEN}\n")
    (folder / "staff").write_text(f"bench {STAFF}\n")
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "hophinge",
            "control",
            "serve",
            "--store",
            str(folder / "v.db"),
            "--heads",
            str(folder / "heads"),
            "--staff",
            str(folder / "staff"),
            "--listen",
            f"127.0.0.1:{port}",
        ],
        cwd=ROOT,
        stderr=(folder / "control.log").open("wb"),
    )


async def staff(port: int, method: str, **body: Any) -> dict[str, Any]:
    """Make a call of staff, again while the service starts."""
    until = time.monotonic() + WAIT_S
    while True:
        try:
            answer = await call_operator_api(f"127.0.0.1:{port}", STAFF, method, msgspec.json.encode(body), WAIT_S)
            return msgspec.json.decode(answer, type=dict[str, Any])
        except ConnectionError:
            if time.monotonic() > until:
                raise
            await asyncio.sleep(0.05)


class Installation:
    """Real heads as processes, bricks and discovery here."""

    def __init__(self, folder: Path, endpoint: int) -> None:
        self.folder, self.endpoint = folder, endpoint
        self.heads: list[subprocess.Popen[bytes]] = []
        self.ports: list[int] = []

    async def start(self) -> None:
        """Start all and wait until they are ready."""
        sys.path.insert(0, str(ROOT / "examples"))
        import toy_server

        discovery = free_port()
        backends = [toy_server.Backend(at, free_port()) for at in range(3)]
        self.platform = await toy_server.serve(backends, discovery)
        (self.folder / "token").write_text(TOKEN)
        (self.folder / "op.toml").write_text(
            f'[stream]\nendpoints = ["127.0.0.1:{self.endpoint}"]\ntoken_file = "token"\nfolder = "state"\n'
        )
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        config["settings"]["Balancers"] = HEADS
        for at in range(HEADS):
            port, second = free_port(), free_port()
            config.update(
                name=f"n{at}",
                listen=f"127.0.0.1:{port}",
                discovery=f"127.0.0.1:{discovery}",
                control=f"127.0.0.1:{second}",
            )
            path = self.folder / f"config-{at}.json"
            path.write_text(json.dumps(config))
            self.ports.append(port)
            environ = {**os.environ, "EDGE_CONFIG": str(path), "HOPHINGE_OPERATOR_FILE": str(self.folder / "op.toml")}
            self.heads.append(
                subprocess.Popen(
                    [sys.executable, "-m", "hophinge"],
                    cwd=ROOT,
                    env=environ,
                    stdout=(self.folder / f"head-{at}.log").open("wb"),
                )
            )
        async with aiohttp.ClientSession() as client:
            for port in self.ports:
                await until(lambda port=port: ready(client, port))

    async def load(self, stop: asyncio.Event, codes: dict[int, int]) -> None:
        """Write at a steady rate to all heads until told to stop; count the answers by status."""
        number = 0
        tasks: set[asyncio.Task[None]] = set()

        async def one(client: aiohttp.ClientSession, port: int, number: int) -> None:
            try:
                async with client.put(
                    f"http://127.0.0.1:{port}/transfer-write/00000003b4d60021/{number:016x}",
                    data=b"x",
                    headers=write_headers(number, HEADS),
                ) as answer:
                    await answer.read()
                    codes[answer.status] = codes.get(answer.status, 0) + 1
            except aiohttp.ClientError:
                codes[0] = codes.get(0, 0) + 1

        async with aiohttp.ClientSession() as client:
            while not stop.is_set():
                number += 1
                task = asyncio.create_task(one(client, self.ports[number % HEADS], number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(0.005)
            await asyncio.gather(*tasks)

    def stop(self) -> None:
        """End all."""
        for head in self.heads:
            head.terminate()
        for head in self.heads:
            head.wait()
        self.platform.close()


async def ready(client: aiohttp.ClientSession, port: int) -> bool:
    """Tell whether a head serves."""
    try:
        async with client.get(f"http://127.0.0.1:{port}/healthz") as answer:
            return answer.status == 200
    except aiohttp.ClientError:
        return False


async def until(condition: Any) -> None:
    """Wait for a condition, which may be awaited; at most a minute."""
    async with asyncio.timeout(WAIT_S):
        while True:
            met = condition()
            if (await met) if asyncio.iscoroutine(met) else met:
                return
            await asyncio.sleep(0.002)
