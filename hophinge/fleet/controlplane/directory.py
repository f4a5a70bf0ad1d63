"""The shell round a control member's soft state: instances, leases of heads, hints on their way, the configuration.

It owns the clock and the sockets; what it decides stands in the machines of `registry`, `coordination` and `relay`.
"""

from __future__ import annotations

import asyncio
import itertools
import secrets
from collections.abc import Callable
from random import Random

from hophinge.coordination.dissemination import Digest, Dissemination, Push, GossipRecord, DigestEntries, PullRequest
from hophinge.coordination.leases import LEASE_DURATION_S, LeaseGrant, GrantedLeases, LeaseTable, RenewLease
from hophinge.coordination.peers import SUSPECT_TIMEOUT_S
from hophinge.coordination.quorum_acknowledgements import RecordReplicated, ReplicateRecord
from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.coordination.view import Replica
from hophinge.fleet.controlplane.relay import Relay
from hophinge.fleet.placement.hints import PlacementHints, EngineReports, SuspectedInstances
from hophinge.fleet.placement.stages import StageLoads
from hophinge.fleet.registry.instance import Instance
from hophinge.fleet.registry.registry import Liveness, Registry
from hophinge.fleet.registry.service import InstanceService, ServiceStep, Surroundings
from hophinge.fleet.settings import Settings

DIRECTORY_TICK_S = 0.25
SHARE_S = 0.75  # between two words to the other control members about liveness and leases
COMPARE_S = 1.0  # between two comparisons of digests with one of them
MAX_DIRECT = 32  # data planes that get news from here whole; the others get it from these
MAX_NEIGHBOURS = 8  # of which a data plane is told


class Directory:
    """The soft state of one control member, and its words to others."""

    def __init__(
        self, settings: Settings, machine: ReplicaStateMachine, send: Callable[[str, object], None], relay: Relay
    ) -> None:
        self.machine, self.send, self.relay = machine, send, relay
        self.loop = asyncio.get_running_loop()
        self.random = Random()
        self.dissemination = Dissemination(self.random)
        self.registry = Registry(settings.heartbeat_s, self.loop.time())
        self.service = InstanceService(machine.me, self.dissemination, self.registry)
        self.leases = LeaseTable()
        self.loads = StageLoads()
        self.requests = itertools.count(secrets.randbits(40))  # an answer to the process before this one fits none
        self.callers: dict[int, asyncio.Future[bool]] = {}
        self.shared = self.compared = 0.0
        self.relay_due = False

    # --- whom to tell --------------------------------------------------------------------------------------------

    def controls(self) -> list[str]:
        """Tell the other control members that were heard lately, and the voters."""
        view = self.machine.view
        found = {peer.replica.address for peer in self.machine.peers.known.values()}
        found |= {voter.address for voter in view.voters} if view is not None else set()
        return sorted(found - {self.machine.me.address})

    def _around(self) -> Surroundings:
        core = self.machine.quorum_view(self.loop.time())
        return Surroundings(core, tuple(self._direct()), tuple(self.controls()))

    def _granters(self, now: float) -> tuple[Replica, ...]:
        """Tell the core's replicas heard lately, which grant leases; without any, this member does."""
        peers = self.machine.peers.known.values()
        granters = [
            peer.replica
            for peer in peers
            if now - peer.last_heartbeat_at <= SUSPECT_TIMEOUT_S and peer.heartbeat.can_vote
        ]
        if self.machine.can_vote or not granters:
            granters.insert(0, self.machine.me)
        return tuple(granters)

    def _relays(self) -> list[str]:
        """Tell the other control members that pass words on to heads: the core's, as they grant the leases."""
        voting = {peer.replica.address for peer in self.machine.peers.known.values() if peer.heartbeat.can_vote}
        return sorted(voting - {self.machine.me.address})

    def _heads(self) -> list[str]:
        return [holder.address for holder in self.leases.local_holders()]

    def _direct(self) -> list[str]:
        """Tell the data planes that get news from here."""
        addresses = self._heads()
        return addresses if len(addresses) <= MAX_DIRECT else self.random.sample(addresses, MAX_DIRECT)

    def _outside_chain(self) -> list[str]:
        """Tell the control members that learn of the configuration from others."""
        view = self.machine.view
        inside = {voter.address for link in view.chain if (voter := view.voter(link.identity))} if view else set()
        return [address for address in self.controls() if address not in inside]

    def _let_go(self, step: ServiceStep) -> None:
        for address, message in step.messages:
            if address != self.machine.me.address:
                self.send(address, message)
        for request, settled in step.settled:
            caller = self.callers.get(request)
            if caller is not None and not caller.done():
                caller.set_result(settled)

    # --- what comes in -------------------------------------------------------------------------------------------

    def publish_configuration(self, record: GossipRecord) -> None:
        """A newer configuration is in force."""
        targets = [*self._direct(), *self._outside_chain()]
        for address, message in self.dissemination.publish(self.loop.time(), [record], targets).messages:
            self.send(address, message)

    def received(self, source: Replica, message: object) -> None:
        """Take another member's message."""
        now, address = self.loop.time(), source.address
        match message:
            case RenewLease():
                self._renew(now, address, message)
            case Digest() | DigestEntries() | PullRequest() | Push():
                step = ServiceStep()
                self.service.receive(now, address, message, self._direct(), step)
                self._let_go(step)
            case ReplicateRecord():
                self._let_go(self.service.hold(now, self._around(), address, message))
            case RecordReplicated():
                self._let_go(self.service.held(now, self._around(), source.identity, message))
            case GrantedLeases(holders=holders):
                self.leases.merge(now, holders)
            case PlacementHints() | EngineReports() | SuspectedInstances():
                self._relayed(address, message)
            case Liveness():
                self.service.heard_elsewhere(now, message)

    def _renew(self, now: float, source: str, renew: RenewLease) -> None:
        self.leases.renew(now, renew.holder)
        holders = self.leases.holders()
        others = [one for one in holders if one.identity != renew.holder.identity]
        near = [one.address for one in others if one.zone == renew.holder.zone]
        far = [one.address for one in others if one.zone != renew.holder.zone]
        chosen = self.random.sample(near, min(MAX_NEIGHBOURS - 2, len(near)))
        chosen += self.random.sample(far, min(2, len(far)))
        self.send(
            source,
            LeaseGrant(
                LEASE_DURATION_S,
                len(holders),
                tuple(chosen),
                self._granters(now),
                self.machine.is_connected(now),
                renew.requested_at,
            ),
        )
        step = ServiceStep()
        self.service.receive(now, source, Digest(renew.fingerprints), (), step)
        self._let_go(step)

    # --- hints ---------------------------------------------------------------------------------------------------

    def tell_heads(self, message: EngineReports | SuspectedInstances) -> None:
        """Tell the heads here what is known of engines, and the others over the other control members."""
        if isinstance(message, EngineReports):
            self._reported(message)
        self.relay.at_once(message, [*self._heads(), *self._relays()])

    def _reported(self, reports: EngineReports) -> None:
        """Engines that answer questions live, also where their heartbeats reach a member that is cut off."""
        self.loads.record(reports, self.registry.instances)
        seen = [report.instance for report in reports.reports]
        self._let_go(self.service.seen(self.loop.time(), self._around(), seen))

    def _relayed(self, source: str, message: PlacementHints | EngineReports | SuspectedInstances) -> None:
        """Pass on to the heads here, and what came from one of these to the other control members."""
        heads = self._heads()
        if isinstance(message, PlacementHints):
            self.relay.take(source, message, source in heads)
            self._schedule_relay()
            return
        if isinstance(message, EngineReports):
            self._reported(message)
        targets = [head for head in heads if head != source]
        self.relay.at_once(message, [*targets, *(self._relays() if source in heads else [])])

    def _schedule_relay(self) -> None:
        """Pass on soon what heads told each other: nothing wakes this process while nothing is told."""
        if self.relay_due:
            return
        self.relay_due = True
        self.loop.call_later(self.relay.delay_s(self.loop.time(), len(self._heads())), self._pass_on)

    def _pass_on(self) -> None:
        self.relay_due = False
        self.relay.flush(self.loop.time(), self._heads(), self._relays())

    # --- instances -----------------------------------------------------------------------------------------------

    async def beat(self, instance: Instance, sequence: int) -> bool:
        """Take an instance's heartbeat; tells whether it may be acknowledged."""
        return await self._ask(
            lambda request: self.service.beat(self.loop.time(), self._around(), request, instance, sequence)
        )

    async def leave(self, identity: str) -> bool:
        """An instance unregisters; tells whether it may be acknowledged."""
        return await self._ask(lambda request: self.service.leave(self.loop.time(), self._around(), request, identity))

    async def _ask(self, ask: Callable[[int], ServiceStep]) -> bool:
        """Put a caller's request to the service, and wait until it is settled, which its own time bounds."""
        request = next(self.requests)
        caller: asyncio.Future[bool] = self.loop.create_future()
        self.callers[request] = caller
        try:
            self._let_go(ask(request))
            return await caller
        finally:
            del self.callers[request]

    def give_up(self) -> None:
        """Have all who wait told that what they said is not acknowledged."""
        for caller in self.callers.values():
            if not caller.done():
                caller.set_result(False)

    def switching(self, instance: Instance) -> None:
        """An instance was ordered to change its stage: requests spare it until it is back."""
        self._let_go(self.service.switching(self.loop.time(), self._around(), instance.identity))

    # --- time ----------------------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Expire what was not renewed, and tell the other control members what is new."""
        now = self.loop.time()
        self.leases.expire(now)
        around = self._around()
        listening = self.machine.can_vote and self.machine.is_connected(now)
        self._let_go(self.service.tick(now, around, listening))
        if now - self.shared >= SHARE_S:
            self.shared = now
            self._share(around)
        if now - self.compared >= COMPARE_S and around.controls:
            self.compared = now
            self.send(self.random.choice(around.controls), self.dissemination.digest(now))
            self._let_go(self.service.tidy(now, around))

    def _share(self, around: Surroundings) -> None:
        """Tell the other control members whom leases were granted to, and which instances were heard."""
        liveness = self.registry.liveness()
        words: list[object] = [GrantedLeases(tuple(self.leases.local_holders()))]
        words += [liveness] if liveness is not None else []
        for address in around.controls:
            for word in words:
                self.send(address, word)
