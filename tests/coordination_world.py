"""A group of replicas in virtual time: links that drop and delay, disks that lose what was not synced, operators."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from hophinge.coordination.codec import decode, encode
from hophinge.coordination.messages import LogRecord, StateRecord
from hophinge.coordination.events import ClientResponse, Outputs, CommittedValue, MessageReceived, ClientRequest, Tick
from hophinge.coordination.registers import Change, Outcome
from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.coordination.replica_state import ReplicaConfig
from hophinge.coordination.view import Replica

TICK_S = 0.05
SYNC_S = 0.001
KEY = "configuration"


@dataclass
class Disk:
    """Records that last, and the disk's identity."""

    identity: str
    records: list[LogRecord | StateRecord] = field(default_factory=list)


@dataclass
class Member:
    """One machine: its disk, its process where one runs, and its place on the network."""

    address: str
    disk: Disk
    machine: ReplicaStateMachine | None = None
    life: int = 0
    frozen_until: float = 0.0
    sync_s: float = SYNC_S
    disk_free_at: float = 0.0
    unsynced: list[LogRecord] = field(default_factory=list)  # written, and lost with the power or not
    votes: bool = True
    link_free_at: float = 0.0
    sent_bytes: int = 0
    published: list[CommittedValue] = field(default_factory=list)


class World:
    """Time, network, disks, and what was seen from outside."""

    def __init__(self, seed: int, count: int = 3, losses: int = 1) -> None:
        self.random = Random(seed)
        self.losses = losses
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.names = itertools.count()
        self.loss = 0.0
        self.lag_s = 0.0
        self.blocked: set[tuple[str, str]] = set()
        self.link_bytes_s = float("inf")  # of each machine's own link, outwards
        self.members: dict[str, Member] = {}
        self.answers: dict[int, ClientResponse] = {}
        self.answered_at: dict[int, float] = {}
        self.asked: dict[int, tuple[float, Change | None]] = {}
        self.requests = itertools.count(1)
        self.published: dict[int, bytes] = {}
        self.seeds = tuple(f"10.0.0.{number}:7660" for number in range(1, min(3, count) + 1))
        for number in range(1, count + 1):
            self.add(f"10.0.0.{number}:7660", bootstrap=True)

    # --- time ----------------------------------------------------------------------------------------------------

    def at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.order), action))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = until

    # --- machines ------------------------------------------------------------------------------------------------

    def add(self, address: str, bootstrap: bool = False, votes: bool = True) -> None:
        self.members[address] = Member(address, Disk(f"disk-{next(self.names)}"), votes=votes)
        self.start(address, bootstrap)

    def machine(self, address: str) -> ReplicaStateMachine:
        """Tell the machine of a member that runs."""
        machine = self.members[address].machine
        assert machine is not None, f"{address} does not run"
        return machine

    def end(self, address: str, most_s: float = 6.5) -> None:
        """Tell a process to end, as its platform does: it goes on until the others do without it, or for so long."""
        machine, until = self.machine(address), self.now + most_s
        machine.begin_drain()

        def look() -> None:
            if self.members[address].machine is not machine:
                return
            if machine.is_required() and self.now < until:
                self.at(TICK_S, look)
            else:
                self.kill(address)

        self.at(TICK_S, look)

    def start(self, address: str, bootstrap: bool = False) -> None:
        member = self.members[address]
        if member.machine is not None:
            return
        me = Replica(member.disk.identity, address, "zone")
        membership = ReplicaConfig(me, self.seeds, bootstrap, member.votes, self.losses)
        member.machine = ReplicaStateMachine(membership, Random(self.random.random()), self.now)
        member.machine.restore(list(member.disk.records))
        member.life += 1
        member.published = []
        member.disk_free_at = self.now
        member.unsynced = []
        self._tick(member, member.life)

    def kill(self, address: str) -> None:
        """End a process; of what its disk was writing, the first part lasts, up to a place that is drawn."""
        member = self.members[address]
        member.disk.records += member.unsynced[: self.random.randint(0, len(member.unsynced))]
        member.unsynced = []
        member.machine = None

    def slow_disk(self, address: str, sync_s: float, seconds: float) -> None:
        member = self.members[address]
        member.sync_s = sync_s
        self.at(seconds, lambda: setattr(member, "sync_s", SYNC_S))

    def lag(self, most_s: float, seconds: float) -> None:
        """Have messages come up to so much later, so that later ones overtake them."""
        self.lag_s = most_s
        self.at(seconds, lambda: setattr(self, "lag_s", 0.0))

    def wipe(self, address: str) -> None:
        self.kill(address)
        self.members[address].disk = Disk(f"disk-{next(self.names)}")

    def freeze(self, address: str, seconds: float) -> None:
        self.members[address].frozen_until = self.now + seconds

    def cut(self, address: str, seconds: float, one_way: bool = False) -> None:
        pairs = {(address, other) for other in self.members if other != address}
        pairs |= set() if one_way else {(other, address) for other in self.members if other != address}
        self.blocked |= pairs
        self.at(seconds, lambda: self.blocked.difference_update(pairs))

    def _tick(self, member: Member, life: int) -> None:
        if member.machine is None or member.life != life:
            return
        if member.frozen_until > self.now:
            self.at(member.frozen_until - self.now, lambda: self._tick(member, life))
            return
        self._settle(member, member.machine.handle(self.now, Tick()))
        self.at(TICK_S, lambda: self._tick(member, life))

    def _deliver(self, source: Replica, address: str, data: bytes) -> None:
        member = self.members.get(address)
        if member is None or member.machine is None:
            return
        if member.frozen_until > self.now:
            self.at(member.frozen_until - self.now, lambda: self._deliver(source, address, data))
            return
        self._settle(member, member.machine.handle(self.now, MessageReceived(source, decode(data))))

    def _settle(self, member: Member, outputs: Outputs) -> None:
        """Sync records, then let the rest out, in order."""
        life, machine = member.life, member.machine
        begin = max(self.now, member.disk_free_at)
        done = begin + (member.sync_s if outputs.records else 0.0)
        member.disk_free_at = done
        member.unsynced += outputs.records
        if not (outputs.records or outputs.messages or outputs.responses or outputs.committed_values):
            return

        def let_out() -> None:
            if member.machine is not machine or member.life != life or machine is None:
                return
            if member.frozen_until > self.now:
                self.at(member.frozen_until - self.now, let_out)
                return
            member.disk.records += outputs.records
            del member.unsynced[: len(outputs.records)]
            for address, message in outputs.messages:
                self._send(machine.me, address, encode(message))
            for answer in outputs.responses:
                self.answers[answer.request_id] = answer
                self.answered_at[answer.request_id] = self.now
            for published in outputs.committed_values:
                self._seen(member, published)

        self.at(done - self.now, let_out)

    def _send(self, source: Replica, address: str, data: bytes) -> None:
        if (source.address, address) in self.blocked or self.random.random() < self.loss:
            return
        delay = self.random.uniform(0.0002, 0.004) + (self.random.uniform(0.0, self.lag_s) if self.lag_s else 0.0)
        sender = self.members.get(source.address)
        if sender is not None:
            sender.sent_bytes += len(data)
            sender.link_free_at = max(self.now, sender.link_free_at) + len(data) / self.link_bytes_s
            delay += sender.link_free_at - self.now
        self.at(delay, lambda: self._deliver(source, address, data))
        if self.loss and self.random.random() < self.loss:
            self.at(delay * 3, lambda: self._deliver(source, address, data))

    def _seen(self, member: Member, published: CommittedValue) -> None:
        """A member puts a value in force: never an older one in one life, never two values under one version."""
        version, payload = published.register.version, published.register.payload
        assert not member.published or member.published[-1].register.version < version, "went back within one life"
        member.published.append(published)
        assert self.published.setdefault(version, payload) == payload, f"two values under version {version}"

    # --- operators -----------------------------------------------------------------------------------------------

    def ask(self, address: str, change: Change | None, patience: float = 2.5) -> int:
        request = next(self.requests)
        member = self.members[address]
        self.asked[request] = self.now, change
        if member.machine is not None and member.frozen_until <= self.now:
            requested = ClientRequest(request, KEY, change, patience)
            self._settle(member, member.machine.handle(self.now, requested))
        return request

    def read(self, address: str) -> ClientResponse | None:
        request = self.ask(address, None)
        self.run(3.0)
        answer = self.answers.get(request)
        return answer if answer is not None and answer.outcome is Outcome.VALUE else None


def change(base: int, version: int, name: str) -> Change:
    payload = f"{version}:{name}".encode()
    return Change(KEY, base, version, payload, payload)
