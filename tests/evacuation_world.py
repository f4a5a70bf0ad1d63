"""Simulates evacuations in virtual time: the API at each control member, the chain, and the heads."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from hophinge.coordination.dissemination import GossipRecord
from hophinge.coordination.events import ClientRequest, ClientResponse, Input, Outputs
from hophinge.coordination.registers import Change, Outcome
from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.fleet.configuration.evacuations import EVACUATION_PREFIX, evacuation_record, is_evacuated
from hophinge.fleet.controlplane.evacuation_api import EvacuationApi
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.settings import Settings
from tests import linearizability
from tests.control_world import ControlMember, ControlWorld

ZONES = ("z0", "z1", "z2")
CALL_TIMEOUT_S = 1.0  # after which an operator retries at another member
RETRY_DELAY_S = 0.2  # between two attempts
EVACUATION_S = 5.0  # the operators' bound, evacuation-ms


@dataclass
class Call:
    """One attempt of an operator at one member."""

    status: int | None = None
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)
    has_body: bool = True

    async def receive(self) -> dict[str, Any]:
        """Return an empty body, and then the caller's disconnect."""
        if self.has_body:
            self.has_body = False
            return {"type": "http.request", "body": b"", "more_body": False}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: dict[str, Any]) -> None:
        """Record the status of the response."""
        self.status = message.get("status", self.status)


class EvacuationWorld(ControlWorld):
    """Control members that serve operators' orders, and heads that apply the records."""

    def __init__(self, seed: int, voters: int = 3, others: int = 2, heads: int = 6) -> None:
        self.placements: dict[str, Placement] = {}
        self.pending: dict[int, asyncio.Future[ClientResponse]] = {}
        self.request_ids = itertools.count(1)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.calls: list[linearizability.Call] = []  # completed register requests
        self.sent: list[tuple[float, Change]] = []
        self.payloads: dict[tuple[str, int], bytes] = {}  # values read, by key and version
        self.older: set[str] = set()  # addresses that run a release without evacuations
        super().__init__(seed, voters, others, heads)

    def _add_head(self, settings: Settings) -> None:
        super()._add_head(settings)
        address = settings.internal_data_address
        placement = self.placements[address] = Placement(settings.zone, lambda identity: None, Random(1))

        def apply(zone: str, record: GossipRecord) -> None:
            if address not in self.older:
                placement.instances.update_evacuation(zone, is_evacuated(record.value), self.loop.time())

        self.heads[address].listen(EVACUATION_PREFIX, apply)

    def _release_outputs(self, member: ControlMember, machine: ReplicaStateMachine, outputs: Outputs) -> None:
        super()._release_outputs(member, machine, outputs)
        if member.machine is not machine or member.soft_state is None:
            return
        for update in outputs.committed_values:
            if update.key.startswith(EVACUATION_PREFIX) and machine.me.address not in self.older:
                member.soft_state.publish_register(evacuation_record(update.key, update.register))
        for response in outputs.responses:
            future = self.pending.get(response.request_id)
            if future is not None and not future.done():
                future.set_result(response)

    # --- operators -----------------------------------------------------------------------------------------------

    async def request(self, address: str, key: str, change: Change | None, timeout_s: float) -> ClientResponse:
        """Change or read a register through a member, as `ReplicaHost` does."""
        member = self.members[address]
        request_id = next(self.request_ids)
        if member.machine is None:
            return ClientResponse(request_id, None)
        started_at = self.loop.time()
        if change is not None:
            self.sent.append((started_at, change))
        future: asyncio.Future[ClientResponse] = self.loop.create_future()
        self.pending[request_id] = future
        self.handle(member, ClientRequest(request_id, key, change, timeout_s))
        try:
            async with asyncio.timeout(timeout_s + 0.1):
                response = await future
                self._record_call(started_at, key, change, response)
                return response
        except TimeoutError:
            return ClientResponse(request_id, None)
        finally:
            del self.pending[request_id]

    def _record_call(self, started_at: float, key: str, change: Change | None, response: ClientResponse) -> None:
        """Record a completed call; all reads of one version must return the same value."""
        if response.outcome is None:
            return
        call = linearizability.Call(started_at, self.loop.time(), change, response.outcome, response.version)
        self.calls.append(call)
        if response.outcome is Outcome.VALUE:
            known = self.payloads.setdefault((key, response.version), response.payload)
            assert known == response.payload, f"two values of {key} under version {response.version}"

    def handle(self, member: ControlMember, event: Input) -> None:
        """Pass an input to a member's machine."""
        assert member.machine is not None
        self._handle(member, member.machine, event)

    def api(self, address: str) -> EvacuationApi:
        """Return the API of a member."""
        soft_state = self.members[address].soft_state
        assert soft_state is not None
        return EvacuationApi(ZONES, partial(self.request, address), soft_state.publish_register, self.loop.time)

    async def call(self, address: str, method: str, zone: str, pause_s: float = 0.0) -> int | None:
        """Send an order to a member; return the status, or None without a response in time.

        Args:
            address: The member's address.
            method: POST, DELETE or GET.
            zone: The zone.
            pause_s: How long the member is paused before it executes the order.

        """
        if self.members[address].machine is None:
            return None
        call = Call()
        api = self.api(address)

        async def serve() -> None:
            await asyncio.sleep(pause_s)
            await api.serve_zone(method, zone, call.receive, call.send)

        task = self.loop.create_task(serve())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        await asyncio.wait({task}, timeout=CALL_TIMEOUT_S)
        call.disconnected.set()
        return call.status if task.done() else None

    async def order(self, zone: str, should_evacuate: bool, choose: Callable[[], tuple[str, float, bool]]) -> float:
        """Retry an order at other members until it is acknowledged; return the duration in seconds.

        Args:
            zone: The zone.
            should_evacuate: Whether to begin the evacuation, or else to end it.
            choose: Chooses the next member, how long it is paused, and whether its response is lost.

        """
        started_at = self.loop.time()
        while True:
            address, pause_s, is_lost = choose()
            status = await self.call(address, "POST" if should_evacuate else "DELETE", zone, pause_s)
            if status == 200 and not is_lost:
                return self.loop.time() - started_at
            assert status in (None, 200, 503), f"{address} responded with {status}"
            await asyncio.sleep(RETRY_DELAY_S)

    async def settle(self) -> None:
        """Wait for attempts that are still running after their operators disconnected."""
        await asyncio.gather(*self.tasks)

    def evacuated(self) -> dict[str, set[str]]:
        """Return the zones that each head regards as evacuated."""
        return {address: placement.admission.evacuated_zones for address, placement in self.placements.items()}
