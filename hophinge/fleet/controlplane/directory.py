"""What a control member tells the others: instances, the configuration in force, and who holds a lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from hophinge.coordination.dissemination import Digest, Dissemination, Push, Record, Rows, Spread, Want
from hophinge.coordination.leases import LEASE_S, Grant, Leases, LeaseTable, Renew
from hophinge.coordination.peers import SUSPECT_S
from hophinge.coordination.replica import ReplicaMachine
from hophinge.coordination.view import Replica
from hophinge.fleet.controlplane.holding import Held, Hold, Holdings
from hophinge.fleet.controlplane.relay import Relay
from hophinge.fleet.placement.hints import Hints, Reports, Suspects
from hophinge.fleet.placement.stages import StageLoads
from hophinge.fleet.registry.instance import INSTANCE_PREFIX, READY, Instance
from hophinge.fleet.registry.registry import Liveness, Registry
from hophinge.fleet.settings import Settings

DIRECTORY_TICK_S = 0.25
SHARE_S = 0.75              # between two words to the other control members about liveness and leases
COMPARE_S = 1.0             # between two comparisons of digests with one of them
MOST_DIRECT = 32            # data planes that get news from here whole; the others get it from these
MOST_NEIGHBOURS = 8         # of which a data plane is told


class Directory:
    """The soft state of one control member, and its words to others."""

    def __init__(self, settings: Settings, machine: ReplicaMachine, send: Callable[[str, object], None],
                 relay: Relay) -> None:
        self.settings, self.machine, self.send, self.relay = settings, machine, send, relay
        self.loop = asyncio.get_running_loop()
        self.random = Random()
        self.dissemination = Dissemination(self.random)
        self.registry = Registry(settings.heartbeat_s, self.loop.time())
        self.leases = LeaseTable()
        self.loads = StageLoads()
        self.holdings = Holdings(send)
        self.safe: set[str] = set()         # instances whose leaving enough control members hold
        self.shared = self.compared = 0.0
        self.relay_due = False

    # --- whom to tell --------------------------------------------------------------------------------------------

    def controls(self) -> list[str]:
        """Tell the other control members that were heard lately, and the voters."""
        view = self.machine.view
        found = {peer.replica.address for peer in self.machine.peers.known.values()}
        found |= {voter.address for voter in view.voters} if view is not None else set()
        return sorted(found - {self.machine.me.address})

    def _granters(self, now: float) -> tuple[Replica, ...]:
        """Tell the core's replicas heard lately, which grant leases; without any, this member does."""
        peers = self.machine.peers.known.values()
        granters = [peer.replica for peer in peers if now - peer.heard <= SUSPECT_S and peer.heartbeat.votes]
        if self.machine.votes or not granters:
            granters.insert(0, self.machine.me)
        return tuple(granters)

    def _relays(self) -> list[str]:
        """Tell the other control members that pass words on to heads: the core's, as they grant the leases."""
        voting = {peer.replica.address for peer in self.machine.peers.known.values() if peer.heartbeat.votes}
        return sorted(voting - {self.machine.me.address})

    def _direct(self) -> list[str]:
        """Tell the data planes that get news from here."""
        addresses = self._heads()
        return addresses if len(addresses) <= MOST_DIRECT else self.random.sample(addresses, MOST_DIRECT)

    def _outside_chain(self) -> list[str]:
        """Tell the control members that learn of the configuration from others."""
        view = self.machine.view
        inside = {voter.address for link in view.chain if (voter := view.voter(link.identity))} if view else set()
        return [address for address in self.controls() if address not in inside]

    def _let_go(self, spread: Spread) -> None:
        for address, message in spread.messages:
            self.send(address, message)
        now = self.loop.time()
        for record in spread.news:
            if record.key.startswith(INSTANCE_PREFIX):
                self.registry.learn(now, record)

    # --- what comes in -------------------------------------------------------------------------------------------

    def publish_configuration(self, record: Record) -> None:
        """A newer configuration is in force."""
        self._let_go(self.dissemination.publish(self.loop.time(), [record], [*self._direct(), *self._outside_chain()]))

    def received(self, source: str, message: object) -> None:
        """Take another member's message."""
        now = self.loop.time()
        match message:
            case Renew():
                self._renew(now, source, message)
            case Digest() | Rows() | Want() | Push():
                self._let_go(self.dissemination.handle(now, source, message, self._direct()))
            case Hold(token=token, records=records):
                self._let_go(self.dissemination.handle(now, source, Push(records), self._direct()))
                self.send(source, Held(token))
            case Held(token=token):
                self.holdings.held(token, source)
            case Leases(holders=holders):
                self.leases.merge(now, holders)
            case Hints() | Reports() | Suspects():
                self._relayed(source, message)
            case Liveness():
                self.registry.heard_elsewhere(now, message)

    def _heads(self) -> list[str]:
        return [holder.address for holder in self.leases.own()]

    def tell_heads(self, message: Reports | Suspects) -> None:
        """Tell the heads here what is known of engines, and the others over the other control members."""
        if isinstance(message, Reports):
            self._reported(message)
        self.relay.at_once(message, [*self._heads(), *self._relays()])

    def _reported(self, reports: Reports) -> None:
        """Engines that answer questions live, also where their heartbeats reach a member that is cut off."""
        self.loads.take(reports)
        for record in self.registry.seen(self.loop.time(), [report.instance for report in reports.reports]):
            self._tell(record)

    def _relayed(self, source: str, message: Hints | Reports | Suspects) -> None:
        """Pass on to the heads here, and what came from one of these to the other control members."""
        heads = self._heads()
        if isinstance(message, Hints):
            self.relay.take(source, message, source in heads)
            self._schedule_relay()
            return
        if isinstance(message, Reports):
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

    def _renew(self, now: float, source: str, renew: Renew) -> None:
        self.leases.renew(now, renew.holder)
        holders = self.leases.all()
        others = [one for one in holders if one.identity != renew.holder.identity]
        near = [one.address for one in others if one.zone == renew.holder.zone]
        far = [one.address for one in others if one.zone != renew.holder.zone]
        chosen = self.random.sample(near, min(MOST_NEIGHBOURS - 2, len(near)))
        chosen += self.random.sample(far, min(2, len(far)))
        self.send(source, Grant(LEASE_S, len(holders), tuple(chosen), self._granters(now), self.machine.connected(now)))
        self._let_go(self.dissemination.handle(now, source, Digest(renew.marks)))

    # --- instances -----------------------------------------------------------------------------------------------

    async def beat(self, instance: Instance, sequence: int) -> bool:
        """Take an instance's heartbeat; tells whether it may be acknowledged."""
        record = self.registry.heartbeat(self.loop.time(), instance, sequence)
        if instance.state == READY:
            self.safe.discard(instance.identity)
            if record is not None:
                self._tell(record)
            return self.machine.connected(self.loop.time())     # else it beats at another member, which others hear
        if instance.identity in self.safe:
            return True
        known = record or self.dissemination.replicas.get(INSTANCE_PREFIX + instance.identity)
        return known is None or await self._hold(instance.identity, known)

    def switching(self, instance: Instance) -> None:
        """An instance was ordered to change its stage: requests spare it until it is back."""
        record = self.registry.switching(self.loop.time(), instance.identity)
        if record is not None:
            self._tell(record)

    async def leave(self, identity: str) -> bool:
        """An instance unregisters; tells whether it may be acknowledged."""
        if identity in self.safe and identity in self.registry.ended:
            return True
        return await self._hold(identity, self.registry.unregister(self.loop.time(), identity))

    def _tell(self, record: Record) -> None:
        self._let_go(self.dissemination.publish(self.loop.time(), [record], [*self._direct(), *self.controls()]))

    async def _hold(self, identity: str, record: Record) -> bool:
        """Have enough other control members hold a record, so that losing this one hides it from nobody."""
        others = self.controls()
        self._let_go(self.dissemination.publish(self.loop.time(), [record], self._direct()))
        if not await self.holdings.hold(record, others, min(self.settings.losses, len(others))):
            return False
        self.safe.add(identity)
        return True

    # --- time ----------------------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Expire what was not renewed, and tell the other control members what is new."""
        now = self.loop.time()
        self.leases.expire(now)
        for record in self.registry.expire(now, self.machine.votes and self.machine.connected(now)):
            self._tell(record)
        others = self.controls()
        if now - self.shared >= SHARE_S:
            self.shared = now
            liveness = self.registry.liveness()
            words: list[object] = [Leases(tuple(self.leases.own()))]
            words += [liveness] if liveness is not None else []
            for address in others:
                for word in words:
                    self.send(address, word)
        if now - self.compared >= COMPARE_S and others:
            self.compared = now
            self.send(self.random.choice(others), self.dissemination.digest(now))
            self.dissemination.replicas.tidy(now)
            for record in self.registry.forget(now):
                self._tell(record)
            self.safe &= self.registry.ended.keys() | self.registry.instances.keys()
