"""The instances of a soak: they join, are ordered to change their stage, beat now here and now there, and leave."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from random import Random

from hophinge.fleet.emulation.loopback_fleet import READY_PORT, LoopbackFleet
from hophinge.fleet.emulation.instance_server import FAILURES, EmulatedInstance
from hophinge.load.rig.conditions import Condition

EVENTS = 6  # of each stream
SERVED_ON_S = 2.0  # by an instance after its leaving was acknowledged, at least: the operators' `drain-ms`
MAX_ATTEMPTS = 40
MOVED = 0.3  # of heartbeats, that go to another control member than the first
QUEUED = 4  # requests that a busy instance reports as waiting
WATCH_S = 0.3  # between looks at what heads take instances for
KNOWN_S = 0.5  # until a new instance is known, at the latest: the old one is needed until then


class SoakInstances:
    """All instances of one run; which of them does what is drawn."""

    def __init__(self, fleet: LoopbackFleet, random: Random) -> None:
        self.fleet, self.random = fleet, random
        self.all: list[EmulatedInstance] = []  # that there have been
        self.leavings = 0
        self.pressed = ""  # the stage that is short
        self.numbers = iter(range(1_000_000))
        self.spared: set[str] = set()  # findings: instances that were taken to be changing, and were not

    async def join(self, service: str, stage: str) -> None:
        """Start an instance."""
        identity = f"{service}-{stage or 'x'}-{next(self.numbers)}"
        engine = await self.fleet.start_instance(identity, service, stage, self.random.randrange(len(self.fleet.ips)))
        engine.events = EVENTS
        stand_in = self.fleet.instances[identity]
        stand_in.before_event = lambda: asyncio.sleep(self.random.choice((0.0, 0.01, 0.05, 0.3)))
        stand_in.order_controls = self._ranked
        stand_in.before_response = lambda: asyncio.sleep(self.random.choice((0.0, 0.0, 0.02, 0.2)))
        self.all.append(stand_in)

    def _ranked(self, controls: list[str]) -> list[str]:
        """Tell whom an instance calls: now and then another member first, as after a heartbeat that was late."""
        return self.random.sample(controls, len(controls)) if self.random.random() < MOVED else controls

    async def report(self) -> None:
        """Have each engine report what is pressed upon its stage now, which may be a new one."""
        while True:
            for stand_in in self.fleet.instances.values():
                engine = stand_in.engine
                busy = bool(self.pressed) and engine.stage == self.pressed
                engine.running, engine.waiting = (1, QUEUED) if busy else (0, 0)
            await asyncio.sleep(0.1)

    async def _say(self, what: Callable[[], Awaitable[bool]]) -> None:
        for _ in range(MAX_ATTEMPTS):
            if await what():
                return
            await asyncio.sleep(0.05)
        raise AssertionError("no control member acknowledges a leaving")

    async def leave(self, identity: str) -> None:
        """An instance leaves in one of the ways of the pages, and ends when its last answer is out."""
        stand_in, fleet = self.fleet.instances.pop(identity), self.fleet
        stand_in.heartbeats_stopped.set()
        await fleet.heartbeat_tasks.pop(identity)
        stand_in.engine.is_draining = self.random.random() < 0.5
        unregisters_first = self.random.random() < 0.5
        if unregisters_first:
            await self._say(lambda: stand_in.unregister(fleet.controls))
        else:
            stand_in.engine.state = "draining"
            await self._say(lambda: stand_in.send_heartbeat(fleet.controls))
        if unregisters_first and self.random.random() < 0.5:
            await asyncio.sleep(0.3)
            await stand_in.send_heartbeat(fleet.controls)  # a heartbeat that comes late
        await asyncio.sleep(SERVED_ON_S + self.random.random())
        while stand_in.in_flight:
            await asyncio.sleep(0.02)
        if not unregisters_first:
            await self._say(lambda: stand_in.unregister(fleet.controls))
        stand_in.close()
        self.leavings += 1

    async def replace_one(self) -> str:
        """Start an instance in place of a drawn one, which is told."""
        identity = self.random.choice(sorted(self.fleet.instances))
        engine = self.fleet.instances[identity].engine
        await self.join(identity.split("-")[0], engine.next_stage or engine.stage)
        await asyncio.sleep(KNOWN_S)
        return identity

    async def watch(self, number: int) -> None:
        """Look again and again whether a head spares an instance for a change that is over."""
        while True:
            with contextlib.suppress(*FAILURES):
                for identity, (stage, state) in (await self._seen(number)).items():
                    if state == "switching" and self._keeps(identity, stage):
                        self.spared.add(f"head-{number} takes {identity} to be leaving its new stage, {stage}")
            await asyncio.sleep(WATCH_S)

    def _keeps(self, identity: str, stage: str) -> bool:
        """Tell whether an instance has a stage and isn't ordered to leave it."""
        stand_in = self.fleet.instances.get(identity)
        return stand_in is not None and stand_in.engine.stage == stage and not stand_in.engine.next_stage

    async def _seen(self, number: int) -> dict[str, tuple[str, str]]:
        """Tell stage and state of the instances that a head knows."""
        reply = await self.fleet.call(
            self.fleet.address(number, READY_PORT), "GET", "/v1/member", b"", [(b"Host", b"c")]
        )
        if reply.status != 200 or not reply.is_complete:
            return {}
        return {
            identity: (seen["stage"], seen["state"]) for identity, seen in json.loads(reply.body)["instances"].items()
        }

    def all_ready(self, number: int) -> Condition:
        """A head takes all instances that are there for ready, in the stage that they have."""

        async def look() -> tuple[bool, str]:
            known = await self._seen(number)
            there = {identity: (one.engine.stage, "ready") for identity, one in self.fleet.instances.items()}
            wrong = {
                identity: (known.get(identity), there.get(identity))
                for identity in known.keys() | there.keys()
                if known.get(identity) != there.get(identity)
            }
            return not wrong, f"known and there: {wrong}"

        return Condition(self.fleet.head(number), "takes all instances for ready", look)
