"""Control members and heads in virtual time: the production code for soft state, on a network with partitions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from hophinge.coordination.codec import decode, encode
from hophinge.coordination.dissemination import GossipRecord
from hophinge.coordination.messages import LogRecord
from hophinge.coordination.events import Input, Outputs, MessageReceived, Tick
from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.coordination.replica_state import ReplicaConfig
from hophinge.coordination.view import Replica
from hophinge.fleet.controlplane.soft_state import SOFT_STATE_TICK_S, SoftState
from hophinge.fleet.controlplane.replica_host import REPLICA_TICK_S
from hophinge.fleet.controlplane.hint_relay import HintRelay
from hophinge.fleet.dataplane.cluster_state import CLUSTER_STATE_TICK_S, ClusterState
from hophinge.fleet.registry.departures import StoreRequest
from hophinge.fleet.registry.instance import DRAINING, READY, Instance
from hophinge.fleet.settings import Settings, parse_settings

DRAIN_S, CONTACT_S = 2.0, 3.0  # the operators' bounds: drain-ms and contact-ms
HEARTBEAT_S = 1.0
SYNC_S = 0.001


def _settings(ip: str, zone: str, votes: bool, bootstrap: bool) -> Settings:
    return parse_settings(
        {
            "node-name": ip,
            "ip": ip,
            "zone": zone,
            "internal-port-range": [7660, 7675],
            "bootstrap": bootstrap,
            "seed-nodes": [f"10.0.0.{number}:8146" for number in (1, 2, 3)],
            "heartbeat-ms": HEARTBEAT_S * 1_000,
            "counts-for-quorum": votes,
            "data-dir": "/nowhere" if votes else None,
            "fault-tolerance": {"machines": 1},
            "listen-addresses": {"control": f"{ip}:8146", "front": f"{ip}:80", "ready": f"{ip}:81"},
        }
    )


@dataclass
class ControlMember:
    """One control member: the content of its disk, and its process if one is running."""

    settings: Settings
    records: list[LogRecord] = field(default_factory=list)
    departures: list[GossipRecord] = field(default_factory=list)
    lost_disks: int = 0
    machine: ReplicaStateMachine | None = None
    soft_state: SoftState | None = None


class SimulatedDepartures:
    """The departures on a member's disk; a record is stored once its sync has ended."""

    def __init__(self, member: ControlMember, confirm: Callable[[StoreRequest], None]) -> None:
        self.member = member
        self.machine = member.machine
        self.confirm = confirm
        self.recovered = list(member.departures)

    def store(self, request: StoreRequest) -> None:
        asyncio.get_running_loop().call_later(SYNC_S, self._complete, request)

    def _complete(self, request: StoreRequest) -> None:
        if self.member.machine is self.machine:  # the process has not been killed since
            self.member.departures.append(request.record)
            self.confirm(request)

    def tick(self) -> None:
        """Do nothing: this disk never fails."""


@dataclass
class AcknowledgedDrain:
    """A drain of an instance that a member has acknowledged."""

    instance: str
    member: str
    at: float


class ControlWorld:
    """Simulated members, heads, and the network between them."""

    def __init__(self, seed: int, voters: int = 3, others: int = 2, heads: int = 6) -> None:
        self.random, self.loop = Random(seed), asyncio.get_running_loop()
        self.blocked: set[tuple[str, str]] = set()
        self.last_fault_at = self.loop.time()  # when a member or a link last failed or recovered
        self.members: dict[str, ControlMember] = {}
        self.heads: dict[str, ClusterState] = {}
        self.known: dict[str, dict[str, Instance | None]] = {}  # by head and instance
        self.acknowledged: list[AcknowledgedDrain] = []
        for number in range(1, voters + others + 1):
            settings = _settings(f"10.0.0.{number}", f"z{number % 3}", number <= voters, number <= voters)
            self.members[settings.internal_control_address] = ControlMember(settings)
            self.start(settings.internal_control_address)
        for number in range(1, heads + 1):
            self._add_head(_settings(f"10.0.1.{number}", f"z{number % 3}", False, False))

    # --- machines ------------------------------------------------------------------------------------------------

    def start(self, address: str) -> None:
        """Start a member's process with the content of its disk."""
        member = self.members[address]
        settings = member.settings
        me = Replica(
            f"disk-{address}-{member.lost_disks}" if settings.can_vote else f"soft-{self.random.random()}",
            address,
            settings.zone,
        )
        bootstrap = settings.bootstrap and not member.records
        membership = ReplicaConfig(
            me, settings.seed_members(), bootstrap, settings.can_vote, settings.max_machine_losses
        )
        machine = ReplicaStateMachine(membership, Random(self.random.random()), self.loop.time())
        machine.restore(list(member.records))
        member.machine = machine

        def send(target: str, message: object) -> None:
            self._send(me, target, encode(message))

        def send_frame(target: str, data: bytes) -> None:
            """Drop hints, which these tests do not use."""

        soft_state = member.soft_state = SoftState(settings, machine, send, HintRelay(send_frame))
        if settings.can_vote:
            soft_state.keep_departures(SimulatedDepartures(member, soft_state.confirm_stored))
        self._every(REPLICA_TICK_S, lambda: self._handle(member, machine, Tick()), machine, member)
        self._every(SOFT_STATE_TICK_S, soft_state.tick, machine, member)
        self.last_fault_at = self.loop.time()

    def kill(self, address: str) -> None:
        """End a member's process."""
        self.members[address].machine = self.members[address].soft_state = None
        self.last_fault_at = self.loop.time()

    def restart_head(self, address: str) -> None:
        """Replace a head's process by a new one without any state."""
        old = self.heads[address]
        old.send = lambda target, message: None
        self.known[address].clear()
        self._add_head(old.settings)

    def wipe(self, address: str) -> None:
        """End a member's process, and lose its disk."""
        self.kill(address)
        self.members[address].records = []
        self.members[address].departures = []
        self.members[address].lost_disks += 1

    def _every(
        self, period: float, action: Callable[[], None], machine: ReplicaStateMachine, member: ControlMember
    ) -> None:
        def run_again() -> None:
            if member.machine is machine:
                action()
                self.loop.call_later(period, run_again)

        self.loop.call_later(period * self.random.random(), run_again)

    def _handle(self, member: ControlMember, machine: ReplicaStateMachine, event: Input) -> None:
        outputs = machine.handle(self.loop.time(), event)
        self.loop.call_later(SYNC_S if outputs.records else 0.0, self._release_outputs, member, machine, outputs)

    def _release_outputs(self, member: ControlMember, machine: ReplicaStateMachine, outputs: Outputs) -> None:
        if member.machine is machine:
            member.records += outputs.records
            for address, message in outputs.messages:
                self._send(machine.me, address, encode(message))

    def _add_head(self, settings: Settings) -> None:
        address = settings.internal_data_address
        known = self.known.setdefault(address, {})
        me: list[Replica] = []

        def send(target: str, message: object) -> None:
            self._send(me[0], target, encode(message))

        head = ClusterState(settings, send, known.__setitem__, lambda table: None, lambda: None)
        me.append(head.me)
        self.heads[address] = head

        def run_again() -> None:
            head.tick()
            self.loop.call_later(CLUSTER_STATE_TICK_S, run_again)

        self.loop.call_later(self.random.random() * CLUSTER_STATE_TICK_S, run_again)

    # --- network -------------------------------------------------------------------------------------------------

    def _send(self, source: Replica, target: str, data: bytes) -> None:
        if (source.address, target) not in self.blocked:
            self.loop.call_later(self.random.uniform(0.0005, 0.003), self._deliver, source, target, data)

    def _deliver(self, source: Replica, target: str, data: bytes) -> None:
        message = decode(data)
        if target in self.heads:
            self.heads[target].receive(source.address, message)
            return
        member = self.members.get(target)
        if member is None or member.machine is None or member.soft_state is None:
            return
        if member.machine.router.has_handler(message):
            self._handle(member, member.machine, MessageReceived(source, message))
        else:
            member.soft_state.receive(source, message)

    def cut(self, inside: set[str], outside: set[str], one_way: bool = False) -> None:
        """Block messages from some machines to others until `heal`, and back unless `one_way`."""
        self.blocked |= {(inner, outer) for inner in inside for outer in outside}
        if not one_way:
            self.blocked |= {(outer, inner) for inner in inside for outer in outside}
        self.last_fault_at = self.loop.time()

    def heal(self) -> None:
        """End all partitions."""
        self.blocked.clear()
        self.last_fault_at = self.loop.time()

    # --- instances -----------------------------------------------------------------------------------------------

    async def send_heartbeat(self, address: str, name: str, state: str, sequence: int) -> bool:
        """Send an instance's heartbeat to a member; returns whether it was acknowledged, and records drains."""
        soft_state = self.members[address].soft_state
        if soft_state is None:
            return False
        instance = Instance(name, "s", f"10.9.0.{len(name)}:80", "z1", "v", 8, state, "", ())
        acknowledged = await soft_state.heartbeat(instance, sequence)
        if acknowledged and state == DRAINING:
            self.acknowledged.append(AcknowledgedDrain(name, address, self.loop.time()))
        return acknowledged

    def ready_at(self, name: str) -> list[str]:
        """Return the addresses of the heads that would send requests to an instance."""
        return [
            address
            for address, known in self.known.items()
            if (instance := known.get(name)) is not None and instance.state == READY
        ]

    def check(self) -> None:
        """Check that no reachable head sends requests to an instance whose drain was acknowledged over DRAIN_S ago."""
        now = self.loop.time()
        if now - self.last_fault_at < CONTACT_S:
            return
        cut_off = {address for link in self.blocked for address in link if address in self.heads}
        for drain in self.acknowledged:
            late = set(self.ready_at(drain.instance)) - cut_off if now - drain.at > DRAIN_S else set()
            assert not late, (
                f"{drain.member} acknowledged {drain.instance} at {drain.at:.2f}: {late} send there at {now:.2f}"
            )
