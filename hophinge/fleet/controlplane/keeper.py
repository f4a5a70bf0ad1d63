"""Orders instances to change their stage: a singleton role, owned under a fencing token."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import httpcore

from hophinge.coordination.outputs import Answer
from hophinge.coordination.ownership import Role
from hophinge.coordination.peers import SUSPECT_S
from hophinge.coordination.registers import Change, Outcome, Register
from hophinge.coordination.replica import ReplicaMachine
from hophinge.fleet import log
from hophinge.fleet.controlplane.directory import Directory
from hophinge.fleet.placement.stages import Switch, wanted_switch

TICK_S = 0.5
STEADY_S = 1.2              # for which a change is wanted before it is ordered: instances come and go in between
AGAIN_S = 5.0               # between two orders: the effect of the last one has to show
CONFIRM_S = 0.3             # for the chain to confirm the ownership, right before an order
ORDER_S = 0.5               # for an instance to answer an order
TAKEN = (200, 202)
OUTDATED_TOKEN = 412        # an instance's answer where it has seen a higher token

Request = Callable[[str, Change | None, float], Awaitable[Answer]]


class StageKeeper:
    """One control member's part in the role."""

    def __init__(self, machine: ReplicaMachine, directory: Directory, request: Request, lease_s: float) -> None:
        self.machine, self.directory, self.request = machine, directory, request
        self.loop = asyncio.get_running_loop()
        self.role = Role("stages", machine.me.identity, lease_s)
        self.loads = directory.loads
        self.wanted: Switch | None = None
        self.wanted_since = 0.0
        self.ordered_at = float("-inf")

    def published(self, register: Register) -> None:
        """Take the committed owner of the role."""
        self.role.published(self.loop.time(), register)

    def alive(self) -> set[str]:
        """Tell the replicas of the chain that were heard lately, this one among them."""
        now, view = self.loop.time(), self.machine.view
        if view is None:
            return set()
        heard = {name for name, peer in self.machine.peers.known.items() if now - peer.heard <= 2 * SUSPECT_S}
        return {link.identity for link in view.chain} & (heard | {self.machine.me.identity})

    async def run(self) -> None:
        """Look for ever."""
        while True:
            await asyncio.sleep(TICK_S)
            await self._look()

    async def _look(self) -> None:
        now = self.loop.time()
        if not self.machine.connected(now):
            return
        claim = self.role.claim(self.alive())
        if claim is not None:
            answer = await self.request(self.role.key, claim, 1.0)
            if answer.outcome is Outcome.TAKEN:
                log.note(f"owner of the stages, token {claim.version}")
            return
        instances = self.directory.registry.instances
        self.loads.keep(instances.keys())
        switch = wanted_switch(instances.values(), self.loads)
        if switch != self.wanted:
            self.wanted, self.wanted_since = switch, now
        due = now - self.wanted_since >= STEADY_S and now - self.ordered_at >= AGAIN_S
        if switch is not None and due and self.role.may_act(now):
            await self._order(switch)

    async def _order(self, switch: Switch) -> None:
        """Confirm the ownership through the chain, then order at once."""
        try:
            async with asyncio.timeout(CONFIRM_S):
                answer = await self.request(self.role.key, None, CONFIRM_S)
        except TimeoutError:
            return
        if answer.outcome is not Outcome.VALUE or not self.role.confirmed(answer.version):
            return
        self.ordered_at, token = self.loop.time(), self.role.token
        status = await _post_order(switch, self.role)
        log.note(f"instance {switch.instance.identity} is to be {switch.stage}: answered {status}")
        if status == OUTDATED_TOKEN:
            self.role.refused(token)
        if status in TAKEN:
            self.directory.switching(switch.instance)


async def _post_order(switch: Switch, role: Role) -> int | None:
    """Send an order; None where no answer came."""
    body = json.dumps({"operation": "stage", "stage": switch.stage, "holder": role.me,
                       "fence-token": role.token}).encode()
    headers = [(b"content-type", b"application/json"),
               (b"hophinge-expected-instance", switch.instance.identity.encode())]
    timeout = {"connect": ORDER_S, "read": ORDER_S, "write": ORDER_S, "pool": ORDER_S}
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            response = await pool.request("POST", f"http://{switch.instance.address}/v1/order", headers=headers,
                                          content=body, extensions={"timeout": timeout})
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return None
        return int(response.status)
