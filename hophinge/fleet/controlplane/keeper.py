"""Orders instances to change their stage: a singleton role, owned under a fencing token."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import httpcore

from hophinge.coordination.events import ClientResponse
from hophinge.coordination.ownership import Role
from hophinge.coordination.peers import SUSPECT_TIMEOUT_S
from hophinge.coordination.registers import Change, Outcome, Register
from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.fleet import log
from hophinge.fleet.controlplane.directory import Directory
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.stages import StageSwitch, plan_switches
from hophinge.fleet.program import repeat

TICK_S = 0.5
STEADY_S = 1.2  # for which a change is wanted before it is ordered: instances come and go in between
RETRY_INTERVAL_S = 2.5  # between two orders: the effect of the last one has to show
URGENT_RETRY_INTERVAL_S = 1.0  # where nobody is left of a stage, and an order was lost or refused
CONFIRM_S = 0.3  # for the chain to confirm the ownership, right before an order
ORDER_S = 0.5  # for an instance to answer an order
TAKEN = (200, 202)
OUTDATED_TOKEN = 412  # an instance's answer where it has seen a higher token

Request = Callable[[str, Change | None, float], Awaitable[ClientResponse]]


class StageKeeper:
    """One control member's part in the role."""

    def __init__(
        self,
        machine: ReplicaStateMachine,
        directory: Directory,
        request: Request,
        lease_s: float,
        policy: PlacementPolicy,
    ) -> None:
        self.machine, self.directory, self.request, self.policy = machine, directory, request, policy
        self.loop = asyncio.get_running_loop()
        self.role = Role("stages", machine.me.identity, lease_s)
        self.loads = directory.loads
        self.wanted: tuple[str, str] | None = None  # a service, and the stage of which it wants more
        self.wanted_since = 0.0
        self.ordered_at = float("-inf")

    def published(self, register: Register) -> None:
        """Take the committed owner of the role."""
        self.role.handle_committed_owner(self.loop.time(), register)

    def alive(self) -> set[str]:
        """Tell the replicas of the chain that were heard lately, this one among them."""
        now, view = self.loop.time(), self.machine.view
        if view is None:
            return set()
        heard = {
            name
            for name, peer in self.machine.peers.known.items()
            if now - peer.last_heartbeat_at <= 2 * SUSPECT_TIMEOUT_S
        }
        return {link.identity for link in view.chain} & (heard | {self.machine.me.identity})

    async def run(self) -> None:
        """Look for ever: an order that fails in an unforeseen way ends no member."""
        await repeat(TICK_S, self._look)

    async def _look(self) -> None:
        now = self.loop.time()
        if not self.machine.is_connected(now):
            return
        claim = self.role.claim(self.alive())
        if claim is not None:
            answer = await self.request(self.role.key, claim, 1.0)
            if answer.outcome is Outcome.APPLIED:
                log.note(f"owner of the stages, token {claim.version}")
            return
        instances = self.directory.registry.instances
        self.loads.retain(instances.keys())
        switches = plan_switches(instances.values(), self.loads, self.policy)
        wanted = (switches[0].instance.service, switches[0].stage) if switches else None
        if wanted != self.wanted:
            self.wanted, self.wanted_since = wanted, now
        if switches and self._due(now, switches[0].is_urgent) and self.role.may_act(now):
            await self._order(switches)

    def _due(self, now: float, urgent: bool) -> bool:
        """Tell whether to order now: what is urgent waits for nothing but the answers to the order before."""
        if urgent:
            return now - self.ordered_at >= URGENT_RETRY_INTERVAL_S
        return now - self.wanted_since >= STEADY_S and now - self.ordered_at >= RETRY_INTERVAL_S

    async def _order(self, switches: tuple[StageSwitch, ...]) -> None:
        """Confirm the ownership through the chain, then order at once."""
        try:
            async with asyncio.timeout(CONFIRM_S):
                answer = await self.request(self.role.key, None, CONFIRM_S)
        except TimeoutError:
            return
        if answer.outcome is not Outcome.VALUE or not self.role.is_confirmed(answer.version):
            return
        self.ordered_at, token = self.loop.time(), self.role.token
        await asyncio.gather(*(self._order_one(switch, token) for switch in switches))

    async def _order_one(self, switch: StageSwitch, token: int) -> None:
        status = await _post_order(switch, self.role.me, token)
        log.note(f"instance {switch.instance.identity} is to be {switch.stage}: answered {status}")
        if status == OUTDATED_TOKEN:
            self.role.reject_token(token)
        if status in TAKEN:
            self.loads.forget(switch.instance.identity)
            self.directory.switching(switch.instance)


async def _post_order(switch: StageSwitch, holder: str, token: int) -> int | None:
    """Send an order; None where no answer came."""
    body = json.dumps({"operation": "stage", "stage": switch.stage, "holder": holder, "fence-token": token}).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"hophinge-expected-instance", switch.instance.identity.encode()),
    ]
    timeout = {"connect": ORDER_S, "read": ORDER_S, "write": ORDER_S, "pool": ORDER_S}
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            response = await pool.request(
                "POST",
                f"http://{switch.instance.address}/v1/order",
                headers=headers,
                content=body,
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return None
        return int(response.status)
