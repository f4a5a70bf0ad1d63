"""Many emulated heads that follow one control service: a part of `benchmarks/stream.py`, which starts it."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

import uvloop

os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from hophinge.cli.demo import free_port  # noqa: E402
from hophinge.control.stream_client import StreamClient  # noqa: E402
from hophinge.control.follower import Follower  # noqa: E402
from hophinge.control.follower_actions import FollowerState  # noqa: E402
from hophinge.routing.capabilities import HeadCapabilities  # noqa: E402

sys.path.insert(0, str(ROOT / "benchmarks"))
from stream_costs import quantile  # noqa: E402
from stream_processes import TOKEN, control_process, memory_mb, staff, until  # noqa: E402

RECORDS, EMULATED, PROCESSES = 10_000, 200, 4
FACTS = HeadCapabilities(frozenset({"hall-a", "hall-b", "hall-c"}), frozenset(), frozenset(), {}, 3, True)


def document(changed: int = 0) -> str:
    """Write a document of many tenants' limits, one of them changed."""
    return "(hophinge 1)\n" + "".join(
        f"(limit (tenant tenant-{at:05d}) (rate {100 + (changed if at == 77 else 0)} units/s) (burst 2 s) "
        "(open 64 requests))\n"
        for at in range(RECORDS)
    )


async def emulate(first: int, count: int, port: int) -> None:
    """Follow as so many heads; tell, for each line that comes, when all of them run that version, and their bytes."""
    clients = []
    for at in range(first, first + count):
        follower = Follower(f"e{at}", [f"127.0.0.1:{port}"], FACTS, at, 20_000_000, 600_000_000)
        clients.append(
            StreamClient(
                follower, TOKEN, None, lambda table: None, lambda: time.monotonic_ns() // 1000, lambda text: None
            )
        )
    tasks = [asyncio.create_task(client.run()) for client in clients]
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := (await reader.readline()).decode().strip():
        await until(
            lambda line=line: all(
                client.follower.active_name == line and client.follower.state is FollowerState.IN_FORCE
                for client in clients
            )
        )
        print(
            f"{time.monotonic()} {sum(client.bytes_received for client in clients)} "
            f"{sum(client.bytes_sent for client in clients)} {memory_mb(os.getpid()):.0f}",
            flush=True,
        )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def increments(folder: Path) -> list[str]:
    """Push one changed record of many to emulated heads, and all records."""
    port = free_port()
    control = control_process(folder, port)
    first = await staff(port, "Push", text=document())
    empty_mb = memory_mb(control.pid)
    each = EMULATED // PROCESSES
    since = time.monotonic()
    farms = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            __file__,
            str(at * each),
            str(each),
            str(port),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        for at in range(PROCESSES)
    ]

    async def told(version: str) -> tuple[float, int, int, float]:
        rows = []
        for farm in farms:
            assert farm.stdin is not None and farm.stdout is not None
            farm.stdin.write(f"{version}\n".encode())
        for farm in farms:
            assert farm.stdout is not None
            rows.append((await farm.stdout.readline()).split())
        return (
            max(float(row[0]) for row in rows),
            sum(int(row[1]) for row in rows),
            sum(int(row[2]) for row in rows),
            sum(float(row[3]) for row in rows),
        )

    rows = []
    try:
        at, whole_in, _, mb = await told(first["version"])
        rows.append(
            f"| all {RECORDS} records, heads that start with none | {whole_in / EMULATED / 1024:.1f} KiB | "
            f"{at - since:.2f} s |"
        )
        before, taken = whole_in, []
        size = []
        for change in range(1, 6):
            made = await staff(port, "Push", text=document(change))
            since = time.monotonic()
            at, total, _, mb = await told(made["version"])
            taken.append(max(0.0, at - since))
            size.append((total - before) / EMULATED)
            before = total
        rows.append(
            f"| one changed record of {RECORDS}, median of 5 | {quantile(size, 0.5):.0f} B | "
            f"{quantile(taken, 0.5):.2f} s |"
        )
        rows.append("")
        rows.append(
            f"Time is until the last of {EMULATED} heads has the version in force, after the push has returned "
            f"(for the first row: from the start of their {PROCESSES} processes). Memory: control service "
            f"{empty_mb:.0f} MB with the version and no head, {memory_mb(control.pid):.0f} MB with all; "
            f"{mb / EMULATED:.1f} MB for each emulated head, of which its {RECORDS} records are the most."
        )
    finally:
        for farm in farms:
            assert farm.stdin is not None
            farm.stdin.close()
            await farm.wait()
        control.send_signal(signal.SIGTERM)
        control.wait()
    return ["| pushed | to each head | time |", "| --- | --- | --- |", *rows]


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(emulate(*map(int, sys.argv[1:4])))
