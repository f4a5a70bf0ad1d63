"""Orders instances to change their stage. Only the holder of a lease with a fencing token does so."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

from loguru import logger

from hophinge.coordination.events import ClientResponse
from hophinge.coordination.ownership import Role
from hophinge.coordination.peers import SUSPECT_TIMEOUT_S
from hophinge.coordination.registers import Change, Outcome, Register
from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.fleet.configuration.evacuations import evacuated_zones
from hophinge.fleet.controlplane.soft_state import SoftState
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.stage_planner import StagePlanner
from hophinge.fleet.placement.stages import StageSwitch
from hophinge.fleet.program import run_periodically
from hophinge.fleet.registry.instance import Instance
from hophinge.fleet.transport.bounded_call import (
    CALL_ERRORS,
    ShortCall,
    bounded_pool,
    log_response_limit,
    send_short_call,
)
from hophinge.fleet.transport.bounded_stream import ResponseLimitError

RECONCILE_INTERVAL_S = 0.5
CLAIM_TIMEOUT_S = 1.0
CONFIRM_TIMEOUT_S = 0.3  # for the chain to confirm the lease, right before an order
ORDER_TIMEOUT_S = 0.5  # for an instance to answer an order
MAX_ORDER_BODY_BYTES = 16 << 10  # of the response to an order
ACCEPTED_STATUSES = (200, 202)
STALE_TOKEN_STATUS = 412  # the response of an instance that has observed a higher fencing token

RegisterRequest = Callable[[str, Change | None, float], Awaitable[ClientResponse]]


class StageController:
    """The stage controller at one control member; it acts only while this member holds the lease."""

    def __init__(
        self,
        machine: ReplicaStateMachine,
        soft_state: SoftState,
        request: RegisterRequest,
        lease_s: float,
        policy: PlacementPolicy,
    ) -> None:
        self.machine = machine
        self.soft_state = soft_state
        self.request = request
        self.loop = asyncio.get_running_loop()
        self.lease = Role("stages", machine.me.identity, lease_s)
        self.loads = soft_state.loads
        self.planner = StagePlanner(soft_state.loads, policy)

    def apply_lease(self, register: Register) -> None:
        """Apply a committed value of the lease's register."""
        self.lease.handle_committed_owner(self.loop.time(), register)

    def live_replicas(self) -> set[str]:
        """Return the replicas of the chain with recent heartbeats; this member counts as live."""
        now = self.loop.time()
        view = self.machine.view
        if view is None:
            return set()
        peers = self.machine.peers.known.items()
        live = {identity for identity, peer in peers if now - peer.last_heartbeat_at <= 2 * SUSPECT_TIMEOUT_S}
        return {link.identity for link in view.chain} & (live | {self.machine.me.identity})

    async def run(self) -> None:
        """Reconcile periodically, forever; a failed reconciliation is retried."""
        await run_periodically(RECONCILE_INTERVAL_S, self._reconcile)

    async def _reconcile(self) -> None:
        now = self.loop.time()
        if not self.machine.is_connected(now):
            return
        instances = self.soft_state.registry.instances
        claim = self.lease.claim(self.live_replicas())
        if claim is not None:
            await self._acquire_lease(claim)
            return
        self.loads.retain(instances.keys())
        switches = self.planner.due_switches(now, self._available_instances())
        if switches and self.lease.may_act(now):
            await self._order_switches(switches)

    def _available_instances(self) -> list[Instance]:
        """Return the instances outside evacuated zones; the others get no orders and count for no stage."""
        evacuated = evacuated_zones(self.soft_state.dissemination.store)
        return [instance for instance in self.soft_state.registry.instances.values() if instance.zone not in evacuated]

    async def _acquire_lease(self, claim: Change) -> None:
        response = await self.request(self.lease.key, claim, CLAIM_TIMEOUT_S)
        if response.outcome is Outcome.APPLIED:
            logger.info("stage lease acquired fencing_token={}", claim.version)

    async def _order_switches(self, switches: tuple[StageSwitch, ...]) -> None:
        """Confirm the lease through the chain, and send the orders immediately afterwards."""
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                response = await self.request(self.lease.key, None, CONFIRM_TIMEOUT_S)
        except TimeoutError:
            return
        if response.outcome is not Outcome.VALUE or not self.lease.is_confirmed(response.version):
            return
        self.planner.record_ordered(self.loop.time())
        fencing_token = self.lease.token
        await asyncio.gather(*(self._order_switch(switch, fencing_token) for switch in switches))

    async def _order_switch(self, switch: StageSwitch, fencing_token: int) -> None:
        status = await _post_order(switch, self.lease.me, fencing_token)
        identity = switch.instance.identity
        logger.info(
            "stage change ordered instance={} stage={} reason={} status={}",
            identity,
            switch.stage,
            switch.reason.value,
            status,
        )
        if status == STALE_TOKEN_STATUS:
            self.lease.reject_token(fencing_token)
        if status in ACCEPTED_STATUSES:
            self.loads.forget(identity)
            self.soft_state.begin_stage_change(switch.instance)


async def _post_order(switch: StageSwitch, lease_holder: str, fencing_token: int) -> int | None:
    """Send an order; return the status of the response, or None if there was no response."""
    order = {"operation": "stage", "stage": switch.stage, "holder": lease_holder, "fence-token": fencing_token}
    headers = [
        (b"content-type", b"application/json"),
        (b"hophinge-expected-instance", switch.instance.identity.encode()),
    ]
    call = ShortCall(
        "POST",
        f"http://{switch.instance.address}/v1/order",
        ORDER_TIMEOUT_S,
        MAX_ORDER_BODY_BYTES,
        headers,
        json.dumps(order).encode(),
    )
    async with bounded_pool() as pool:
        try:
            return (await send_short_call(pool, call)).status
        except ResponseLimitError as error:
            log_response_limit(switch.instance.identity, "order", error)
        except CALL_ERRORS:
            pass
    return None
