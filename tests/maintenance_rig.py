"""Heads and a control service as processes, a supervisor that restarts heads with the build of their permits, and a
record of which heads were out: by the heads' own logs and by the audit of the store."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from hophinge.control.operator_client import call_operator_api
from hophinge.load.plan import LoadPlan
from hophinge.load.rig.processes import ROOT
from hophinge.load.rig.run import RigRun
from hophinge.load.rig.conditions import Condition, wait_until
from tests.maintenance_fault_injection import BAD, FOLDER, KILL, STOP
from tests.together import BOUND_S, all_see

PLAN = LoadPlan(work_us=2_000, slots=8)
POOL = "(hophinge 1) (pool all (zones hall-a)) (route (pools all) (else any)) "
GOES = re.compile(r"permit (\S+) allows this head to go offline; it is to come back with (?:build (\S+)|any build)")
AUDIT = re.compile(r"(\S+) for (head|brick) (\S+): (\w+)")
LOOK_S = 0.02
RATE = 40.0  # requests per second to each head, in tests with load
REFUSES = 3  # a bad build rejects one request in this many


class Installation:
    """The processes of one installation; `c` is its control service."""

    def __init__(self, made: RigRun, names: Sequence[str]) -> None:
        self.made, self.names = made, list(names)
        self.builds = dict.fromkeys(self.names, "1")
        self.bad: set[str] = set()  # heads at which build 2 rejects requests
        self.out: set[str] = set()  # offline under a permit, until ready again
        self.lost: set[str] = set()  # killed by the test, until ready again
        # Permit, head and the number of its start, for each time that a head went offline under a permit.
        self.goes: list[tuple[str, str, int]] = []
        self.most_out = 0
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, clustered: bool = True) -> None:
        """Start all processes, and wait until each head serves and is connected."""
        rules = json.loads((ROOT / "examples" / "config.json").read_text())["settings"]["Rules"]
        self.made.add_control_service("c")
        for name in self.names:
            await self.made.add_head(
                name,
                ["n0"] if clustered else None,
                stream="c",
                sections={"maintenance": {"build": "1"}},
                settings={"Balancers": len(self.names), "Rules": {**rules, "ColdUs": 100_000}},
            )
        for name in ["c", *self.names]:
            process = self.made[name]
            process.command[0] = "tests.maintenance_fault_injection"
            process.environ[FOLDER] = str(process.folder)
        await self.made.processes.start("c", *self.names)
        await wait_until([self.made.is_ready(name) for name in self.names], BOUND_S)
        if clustered:
            await wait_until(all_see(self.made, self.names), BOUND_S)
        await wait_until([self.up(len(self.names))], BOUND_S)
        self.tasks += [asyncio.create_task(self._watch(name)) for name in self.names]

    async def _watch(self, name: str) -> None:
        """Restart a head each time it has ended, with the build of its permit."""
        process, seen = self.made[name], 0
        while True:
            await asyncio.sleep(LOOK_S)
            lines = [found for line in list(process.lines)[process.start_line :] if (found := GOES.search(line))]
            if lines and seen != process.starts:
                seen = process.starts
                self.goes.append((lines[-1][1], name, process.starts))
                self.out.add(name)
                self.most_out = max(self.most_out, len(self.out))
            if process.is_running or name in self.lost:
                continue
            if lines and lines[-1][2]:
                self.builds[name] = lines[-1][2]
            await self.again(name)
            self.out.discard(name)

    async def again(self, name: str) -> None:
        """Start the next process of a head, and wait until it serves."""
        path = self.made.folder / name / "operator.toml"
        path.write_text(re.sub(r"(?m)^build = .*$", f'build = "{self.builds[name]}"', path.read_text()))
        wrong = name in self.bad and self.builds[name] == "2"
        await self.made[name].start(**{BAD: str(REFUSES) if wrong else ""})
        await wait_until([self.made.is_ready(name)], BOUND_S)

    async def lose(self, *names: str) -> None:
        """Kill heads without a permit; they are not restarted."""
        self.lost |= set(names)
        await self.made.processes.kill(*names)

    async def find(self, *names: str) -> None:
        """Restart the heads that were lost."""
        await asyncio.gather(*map(self.again, names))
        self.lost -= set(names)

    async def load(self) -> None:
        """Request objects from all heads until cancelled, whatever the outcome."""
        tasks: set[asyncio.Task[int]] = set()
        number = 0
        while True:
            await asyncio.sleep(1 / (RATE * len(self.names)))
            number += 1
            name = self.names[number % len(self.names)]
            if self.made[name].is_running and not self.made[name].is_suspended:
                tasks.add(task := asyncio.create_task(self.made.request(name, number, number % 3)))
                task.add_done_callback(tasks.discard)

    # --- commands and status

    async def staff(self, method: str, **body: Any) -> dict[str, Any]:
        reply: dict[str, Any] = json.loads(
            await call_operator_api(
                self.made.endpoints["c"].listen, self.made.tokens["staff"], method, json.dumps(body).encode(), 2.0
            )
        )
        return reply

    async def push(self, words: str) -> None:
        """Push a document; retried if the service has just been killed."""

        async def look() -> tuple[bool, str]:
            reply = await self.staff("Push", text=POOL + words)
            return "mistakes" not in reply, str(reply)

        await wait_until([Condition(self.made["c"], "takes the document", look)], BOUND_S)

    def tells(self, what: str, good: Callable[[dict[str, Any]], bool]) -> Condition:
        """Return the condition that the service's maintenance status satisfies a predicate."""

        async def look() -> tuple[bool, str]:
            status = (await self.staff("Status"))["maintenance"]
            return good(status), json.dumps(status)

        return Condition(self.made["c"], what, look)

    def up(self, count: int) -> Condition:
        return self.tells(f"{count} heads up", lambda status: status["heads_up"] == count)

    def stage(self, stage: str, name: str = "r") -> Condition:
        return self.tells(
            f"release {name} {stage}",
            lambda status: any(row["name"] == name and row["stage"] == stage for row in status["releases"]),
        )

    def strike(self, name: str, file: str, word: str) -> None:
        """Set the fault that a process injects; an empty word removes it."""
        path = self.made.folder / name / file
        path.write_text(word) if word else path.unlink(missing_ok=True)

    async def audit(self) -> list[tuple[str, str, str, str]]:
        """Return all transitions of permits, the oldest first: id, kind, name, state."""
        rows = (await self.staff("History", most=500))["audit"]
        assert len(rows) < 500
        return [
            found.groups()  # type: ignore[misc]
            for row in reversed(rows)
            if row["what"] == "permit" and (found := AUDIT.fullmatch(row["detail"]))
        ]

    async def check(self, limit: int) -> None:
        """Check the complete history: permits by the audit, restarts by the heads' own logs."""
        assert self.most_out <= limit
        rows = await self.audit()
        for kind in ("head", "brick"):
            assert max_concurrent_permits(rows, kind) <= limit
        begun = {(permit, name) for permit, _, name, state in rows if state == "begun"}
        went = [(permit, name) for permit, name, _ in self.goes]
        assert set(went) <= begun, (went, begun)


def max_concurrent_permits(rows: Sequence[tuple[str, str, str, str]], kind: str) -> int:
    """Return the maximum of concurrent permits of a kind; asserts that no process has two and no id is reused."""
    held: dict[str, str] = {}
    done: set[str] = set()
    maximum = 0
    for permit, of, name, state in rows:
        if of != kind:
            continue
        assert permit not in done, f"{permit} is {state} after it was free"
        assert name not in held.values() or held.get(permit) == name, f"{name} has two permits"
        if state == "free":
            held.pop(permit)
            done.add(permit)
        else:
            held[permit] = name
        maximum = max(maximum, len(held))
    return maximum


@asynccontextmanager
async def running_installation(
    folder: Path, count: int, seed: int, clustered: bool = True
) -> AsyncIterator[Installation]:
    """Run an installation with a number of heads for a block."""
    async with RigRun(folder, seed, PLAN) as made:
        installation = Installation(made, [f"n{at}" for at in range(count)])
        await installation.start(clustered)
        try:
            yield installation
            for task in installation.tasks:
                assert not task.done(), task.exception()
        finally:
            for task in installation.tasks:
                task.cancel()
            await asyncio.gather(*installation.tasks, return_exceptions=True)


__all__ = ["KILL", "STOP", "Installation", "max_concurrent_permits", "running_installation"]
