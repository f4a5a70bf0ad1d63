"""Asks engines how full they are, and tells the heads: each instance is asked by one control member.

Which member asks is settled by rendezvous over those alive. Two that ask at once for a while do no harm but the price
of a question, so this role needs no fencing.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import httpcore

from hophinge.coordination.ownership import rendezvous
from hophinge.fleet.controlplane.directory import Directory
from hophinge.fleet.placement.hints import EngineReport, EngineReports
from hophinge.fleet.program import repeat
from hophinge.fleet.registry.instance import Instance

PERIOD_S = 0.8  # between two questions to one instance
ANSWER_S = 0.4
RESTING_S = 20.0
MAX_CONNECTIONS = 1_000  # one to each instance that falls to this member
FAILURES = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, ValueError, KeyError, TypeError)


def read_report(identity: str, body: bytes) -> EngineReport:
    """Read an instance's answer; raises ValueError, KeyError or TypeError for anything else."""
    raw = json.loads(body)
    return EngineReport(identity, int(raw["waiting"]), int(raw["running"]), int(raw["kv-used"]), int(raw["kv-total"]))


class Reporter:
    """One control member's part."""

    def __init__(self, directory: Directory, alive: Callable[[], set[str]], me: str) -> None:
        self.directory, self.alive, self.me = directory, alive, me
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, max_keepalive_connections=MAX_CONNECTIONS, keepalive_expiry=RESTING_S
        )

    def asked(self) -> list[Instance]:
        """Tell the instances that fall to this member; a member outside the chain asks none."""
        alive = self.alive()
        if self.me not in alive:
            return []
        return [
            instance
            for instance in self.directory.registry.instances.values()
            if instance.stage and rendezvous(instance.identity, alive) == self.me
        ]

    async def run(self) -> None:
        """Ask for ever."""
        await repeat(PERIOD_S, self._round)

    async def _round(self) -> None:
        """Ask each instance that falls to this member once."""
        answers = await asyncio.gather(*(self._ask(instance) for instance in self.asked()))
        reports = tuple(answer for answer in answers if answer is not None)
        if reports:
            self.directory.tell_heads(EngineReports(reports))

    async def _ask(self, instance: Instance) -> EngineReport | None:
        headers = [(b"hophinge-expected-instance", instance.identity.encode())]
        timeout = {"connect": ANSWER_S, "read": ANSWER_S, "write": ANSWER_S, "pool": ANSWER_S}
        try:
            response = await self.pool.request(
                "GET", f"http://{instance.address}/v1/report", headers=headers, extensions={"timeout": timeout}
            )
            return read_report(instance.identity, response.content) if response.status == 200 else None
        except FAILURES:
            return None
