"""Streamed configuration measured: `python benchmarks/stream.py` writes benchmarks/stream.md; some two minutes.

Loopback only, and every loop has a bound. Times are of the machine that it ran on; what counts is their ratios.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path

import uvloop

os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from hophinge.cli.demo import free_port  # noqa: E402
from hophinge.control.messages import parse_version_text  # noqa: E402
from hophinge.control.service import ControlService  # noqa: E402
from hophinge.control.connections import HeadStream  # noqa: E402
from hophinge.control.store import ControlStore  # noqa: E402

sys.path.insert(0, str(ROOT / "benchmarks"))
from stream_costs import look_up, quantile  # noqa: E402
from stream_emulated import EMULATED, RECORDS, increments  # noqa: E402
from stream_processes import (  # noqa: E402
    HEADS,
    POOLS,
    STAFF,
    TOKEN,
    WAIT_S,
    Installation,
    control_process,
    staff,
    until,
)

ROUNDS = 20  # pushes of each sort


class Truncating(HeadStream):
    """A stream that loses the first part of each version while told so."""

    losing = False

    def send(self, frames: Iterable[bytes]) -> None:
        """Queue responses, but for one that is lost."""
        sent = list(frames)
        super().send(sent[1:] if Truncating.losing and len(sent) > 1 else sent)


async def real_heads(folder: Path) -> list[str]:
    """Push good, bad and truncated versions to ten heads under load; kill the control service under load."""
    import hophinge.control.head_streams as module

    setattr(module, "HeadStream", Truncating)  # noqa: B010  # the module imports the name, so mypy refuses the plain form
    service = ControlService(
        ControlStore(folder / "versions.db"), frozenset({TOKEN}), {STAFF: "bench"}, lambda text: None
    )
    await service.start("127.0.0.1:0")
    here = Installation(folder, service.port)
    await here.start()
    await until(lambda: len(service.connections) == HEADS)
    codes: dict[int, int] = {}
    stop = asyncio.Event()
    loading = asyncio.create_task(here.load(stop, codes))
    rows = []
    number = 0
    for sort in ("good", "bad", "truncated"):
        took: list[float] = []
        for _ in range(ROUNDS):
            number += 1
            Truncating.losing = sort == "truncated"
            extra = "(pool moon (zones the-moon))" if sort == "bad" else ""
            since = time.monotonic()
            text = f"{POOLS}{extra}(limit (open {9000 + number} requests))"
            version = (await service.operator_api.push("bench", {"text": text}))["version"]
            waiting = set(service.rollout.heads)
            order = parse_version_text(version)
            lose_until = since + 0.1
            while waiting:
                if time.monotonic() > lose_until:
                    Truncating.losing = False
                for name in list(waiting):
                    head = service.rollout.heads[name]
                    if order == (head.rejected if sort == "bad" else head.running):
                        waiting.discard(name)
                        took.append(time.monotonic() - since)
                if time.monotonic() - since > WAIT_S:
                    raise TimeoutError(f"{sort}: {waiting} give no answer")
                await asyncio.sleep(0.001)
            if sort == "bad" and any(head.running == order for head in service.rollout.heads.values()):
                raise AssertionError("a bad version is in force")
        rows.append(
            f"| {sort} | {len(took)} | {quantile(took, 0.5) * 1000:.0f} | {quantile(took, 0.99) * 1000:.0f} | "
            f"{max(took) * 1000:.0f} |"
        )
    stop.set()
    await loading
    answered = dict(sorted(codes.items()))
    await service.stop()
    here.stop()
    return [
        f"Ten heads as processes, the control service and the load ({sum(codes.values())} requests beside the "
        f"pushes, by status: {answered}) in one more; from the push until the control service knows what each head "
        "does with the version.",
        "",
        "| version | reports | p50, ms | p99, ms | most, ms |",
        "| --- | --- | --- | --- | --- |",
        *rows,
    ]


async def killed(folder: Path) -> list[str]:
    """Kill the control service under load, start it again, and count what failed."""
    port = free_port()
    control = control_process(folder, port)
    here = Installation(folder, port)
    codes: dict[int, int] = {}
    stop = asyncio.Event()
    try:
        await here.start()
        pushed = (await staff(port, "Push", text=POOLS))["version"]
        await until(lambda: all_run(port, pushed))
        loading = asyncio.create_task(here.load(stop, codes))
        for _ in range(3):
            await asyncio.sleep(2.0)
            control.kill()
            control.wait()
            await asyncio.sleep(4.0)
            control = control_process(folder, port)
        pushed = (await staff(port, "Push", text=POOLS + "(limit (open 999 requests))"))["version"]
        since = time.monotonic()
        await until(lambda: all_run(port, pushed))
        back = time.monotonic() - since
        stop.set()
        await loading
    finally:
        control.terminate()
        control.wait()
        here.stop()
    failed = sum(count for code, count in codes.items() if code != 200)
    return [
        f"Three SIGKILLs of the control service, each away for 4 s, under {sum(codes.values())} requests: "
        f"{failed} of them failed ({dict(sorted(codes.items()))}). A version pushed right after its last start was "
        f"in force at all ten heads {back:.2f} s after the push had returned."
    ]


async def all_run(port: int, version: str) -> bool:
    """Tell whether all heads run a version."""
    rows = (await staff(port, "Status"))["heads"]
    return len(rows) == HEADS and all(row["runs"] == version and row["connected"] for row in rows)


def main() -> None:
    """Measure all and write the tables."""
    parts = []
    for title, measure in (
        ("Ten heads", real_heads),
        ("The control service killed", killed),
        (f"{EMULATED} emulated heads, {RECORDS} records", increments),
    ):
        with (
            tempfile.TemporaryDirectory(prefix="hophinge-bench-") as folder,
            asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
        ):
            parts += [f"## {title}", "", *runner.run(measure(Path(folder))), ""]
            print("\n".join(parts[-12:]), flush=True)
    parts += ["## Look-up of a route", "", *look_up(), ""]
    cores = os.cpu_count()
    text = [
        f"# Streamed configuration, measured on {cores} cores shared by everything named here",
        "",
        "`python benchmarks/stream.py` writes this file.",
        "",
        *parts,
    ]
    (Path(__file__).parent / "stream.md").write_text("\n".join(text).rstrip() + "\n")


if __name__ == "__main__":
    main()
