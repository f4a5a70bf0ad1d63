"""A soak of both programs: signals, restarts, changes, orders and leavings that overlap, drawn by a seed.

All are planned: no process is killed, no link is cut, no instance breaks off. So each request that a head has read
whole has to end in one whole answer or a refusal.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from hophinge.fleet.emulation.loopback_fleet import FRONT_PORT, READY_PORT, STARTED, LoopbackFleet
from hophinge.fleet.emulation.instance_server import FAILURES
from hophinge.load.rig.processes import Process
from hophinge.load.rig.conditions import wait_until
from tests.soak_crowds import SoakCrowds
from tests.soak_client import Done, SoakClient
from tests.soak_document import Draft
from tests.soak_instances import SoakInstances

GRACE_S = 6.0
MEMORY_MB = 160  # of each process, as its settings say
PROBE_S = 0.25  # between questions whether a head is ready; two misses take it out
START_S, SETTLE_S = 40.0, 30.0
MAX_ATTEMPTS = 40
READY_S = 8.0  # after which heads take all instances for ready, at rest


def handles_hangup(pid: int) -> bool:
    """Tell whether a process ignores or catches SIGHUP: before its program's first line the system ends it."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    return any(mask & 1 << signal.SIGHUP - 1 for mask in masks)


@dataclass
class Course:
    """How long a soak is, and how much goes on in it. The pauses between steps are drawn up to these, in seconds."""

    machines: int = 3
    clients: int = 12
    play_s: float = 9.0
    change_s: float = 0.5
    hangup_s: float = 0.4
    roll_s: float = 0.6
    leave_s: float = 0.8
    press_s: float = 3.0  # for which one stage is short: about what an order takes to come
    crowds: int = 1  # of clients that don't behave, side by side


@dataclass(frozen=True, slots=True)
class Exit:
    """The end of a process."""

    process: str
    status: int
    asked: bool  # it was told to end
    served: bool  # it had begun to serve by then


@dataclass
class Soak:
    """One run."""

    folder: Path
    seed: int
    course: Course = field(default_factory=Course)
    logs: dict[str, list[str]] = field(default_factory=dict)
    members: list[dict[str, Any]] = field(default_factory=list)  # what heads tell of themselves at the end
    done: list[Done] = field(default_factory=list)
    exits: list[Exit] = field(default_factory=list)
    hangups: int = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.fleet = LoopbackFleet(self.folder, self.course.machines, grace_s=GRACE_S, memory_mb=MEMORY_MB)
        self.crowds = SoakCrowds(self.fleet, Random(self.seed))
        self.draft = Draft()
        self.taking: dict[int, str] = {}  # heads that get new connections, with their addresses
        self.instances = SoakInstances(self.fleet, self.random)
        self.over = False

    # --- instances -----------------------------------------------------------------------------------------------

    async def _turn_over(self) -> None:
        """Replace instances one after the other."""
        async with asyncio.TaskGroup() as leaving:
            while not self.over:
                await asyncio.sleep(self.random.random() * self.course.leave_s)
                old = await self.instances.replace_one()
                leaving.create_task(self.instances.leave(old))

    async def _press(self) -> None:
        """Have now one stage short and then the other, so that some instances are ordered to change."""
        while not self.over:
            self.instances.pressed = self.random.choice(("prefill", "decode"))
            await asyncio.sleep(self.course.press_s)
        self.instances.pressed = ""

    # --- operators, signals, restarts -----------------------------------------------------------------------------

    async def _push(self) -> None:
        """Have the draft acknowledged, by whichever member answers."""
        data, base = self.draft.data(), self.draft.version - 1
        for _ in range(MAX_ATTEMPTS):
            number = self.random.randrange(self.course.machines)
            if await self.fleet.configure(number, data, base) == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"version {self.draft.version} is not acknowledged")

    async def _change(self) -> None:
        while not self.over:
            self.draft.change(self.random)
            await self._push()
            await asyncio.sleep(self.random.random() * self.course.change_s)

    async def _hang_up(self) -> None:
        while not self.over:
            for _ in range(self.random.randrange(1, 4)):
                process = self.random.choice(self.fleet.processes.running() or [None])
                with contextlib.suppress(ProcessLookupError, FileNotFoundError):
                    if process is not None and handles_hangup(process.pid):
                        process.send(signal.SIGHUP)
                        self.hangups += 1
            await asyncio.sleep(self.random.random() * self.course.hangup_s)

    async def _roll(self, program: str) -> None:
        """Have the processes of one program end and start again, one after the other, some asked to end twice."""
        while not self.over:
            await asyncio.sleep(self.random.random() * self.course.roll_s)
            process = self.fleet.processes.by_name[f"{program}-{self.random.randrange(self.course.machines)}"]
            served = process.has_logged(STARTED)
            if not process.is_running:
                await self._restart(process, asked=False, served=served)
                continue
            process.send(signal.SIGTERM)
            if self.random.random() < 0.3:
                await asyncio.sleep(self.random.random() * 0.5)
                with contextlib.suppress(ProcessLookupError):
                    process.send(signal.SIGTERM)
            async with asyncio.timeout(GRACE_S + 3.0):
                await self._restart(process, asked=True, served=served)

    async def _restart(self, process: Process, asked: bool, served: bool) -> None:
        assert process.child is not None
        self.exits.append(Exit(process.name, await process.child.wait(), asked, served))
        await process.start()

    async def _probe(self, number: int) -> None:
        """Ask a head whether it is ready, as the platform does."""
        address, misses = self.fleet.address(number, READY_PORT), 2
        while True:
            try:
                async with asyncio.timeout(1.0):
                    reply = await self.fleet.call(address, "GET", "/v1/ready", b"", [(b"Host", b"c")])
                misses = 0 if reply.status == 200 else misses + 1
            except (*FAILURES, TimeoutError):
                misses += 1
            if misses == 0:
                self.taking[number] = self.fleet.address(number, FRONT_PORT)
            elif misses >= 2:
                self.taking.pop(number, None)
            await asyncio.sleep(PROBE_S)

    # --- the run -------------------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Play it, and have all come to rest."""
        async with self.fleet as fleet:
            await fleet.start()
            for service, stage in (("models", "prefill"), ("models", "decode"), ("plain", ""), ("other", "")):
                for _ in range(3 if stage else 2):
                    await self.instances.join(service, stage)
            self.draft.version = 1
            await self._push()
            everywhere = range(self.course.machines)
            await wait_until([fleet.ready_condition(number, 1, len(fleet.instances)) for number in everywhere], START_S)
            probes = [asyncio.create_task(self._probe(number)) for number in everywhere]
            probes.append(asyncio.create_task(self.instances.report()))
            probes += [asyncio.create_task(self.instances.watch(number)) for number in everywhere]
            clients = [
                SoakClient(f"c{number}", self.random.getrandbits(32), self.taking, self.done)
                for number in range(self.course.clients)
            ]
            asking = [asyncio.create_task(client.run()) for client in clients]
            await self._trouble()
            for client in clients:
                client.stopping = True
            await asyncio.gather(*asking)
            for probe in probes:
                probe.cancel()
            await wait_until(
                [fleet.ready_condition(number, self.draft.version, len(fleet.instances)) for number in everywhere],
                SETTLE_S,
            )
            await wait_until([self.instances.all_ready(number) for number in everywhere], READY_S)
            self.crowds.measure()
            self.logs = {name: list(process.lines) for name, process in fleet.processes.by_name.items()}
            self.members = [
                json.loads(
                    (
                        await fleet.call(fleet.address(number, READY_PORT), "GET", "/v1/member", b"", [(b"Host", b"c")])
                    ).body
                )
                for number in everywhere
            ]

    async def _trouble(self) -> None:
        """Let everything go on side by side for a while; what fails among it fails the soak."""
        async with asyncio.TaskGroup() as group:
            for work in (
                self._change(),
                self._hang_up(),
                self._roll("head"),
                self._roll("control"),
                self._turn_over(),
                self._press(),
                *(self.crowds.run() for _ in range(self.course.crowds)),
            ):
                group.create_task(work)
            await asyncio.sleep(self.course.play_s)
            self.over = self.crowds.over = True
        for process in self.fleet.processes.by_name.values():
            if not process.is_running:
                await self._restart(process, asked=False, served=process.has_logged(STARTED))
        self.draft.passing, self.draft.version = True, self.draft.version + 1
        await self._push()
