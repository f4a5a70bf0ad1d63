"""A simulated head in virtual time: the real state machines of permits and drains, with random requests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import TYPE_CHECKING

from hophinge.maintenance.head_drains import Announce, Eject, HeadDrains, Restore
from hophinge.maintenance.messages import BackendListing, HeadReport, PermitUpdate
from hophinge.maintenance.permit_holder import PermitHolder
from hophinge.maintenance.snapshots import SnapshotSender
from hophinge.maintenance.statements import DRAINED

if TYPE_CHECKING:
    from tests.maintenance_world import World

S = 1_000_000


class SimHead:
    """One head, whose process may end and start again."""

    def __init__(self, world: World, name: str, build: str = "1") -> None:
        self.world, self.name, self.build = world, name, build
        self.drift = 1.0 + world.random.uniform(-0.01, 0.01)
        self.disk: dict[str, str] = {}
        self.alive = self.is_connected = self.is_stopped = False
        self.returns_at = 0
        self.accepted_requests = self.failed_requests = 0.0
        self.start()

    def start(self) -> None:
        self.alive, self.is_stopped, self.returns_at = True, False, 0
        self.process = self.world.random.getrandbits(40) | 1
        self.started_us = self.world.now
        self.holder = PermitHolder(self.process, self.build)
        self.drains = HeadDrains(self.disk.items())
        self.ejected = {action.backend for action in self.drains.start() if isinstance(action, Eject)}
        self.in_flight: Counter[str] = Counter()
        self.accepted_requests = self.failed_requests = 0.0
        self.ask = ""
        self.snapshot_sender = SnapshotSender()

    def end(self) -> None:
        self.alive = self.is_connected = self.is_stopped = False
        self.world.disconnected(self.name)

    @property
    def ready(self) -> bool:
        return self.alive and self.world.now - self.started_us >= 2 * S and self.build not in self.world.never_ready

    def report(self) -> HeadReport:
        halted = set[str]()
        begin = self.holder.permit_to_begin(int(self.world.now * self.drift), halted)
        departed = (
            tuple(head.name for head in self.world.heads.values() if not head.alive) if self.world.clustered else ()
        )
        report = HeadReport(
            self.process,
            self.build,
            self.world.zones[self.name],
            self.ready,
            self.holder.pending_key(int(self.world.now * self.drift)),
            begin,
            tuple(self.drains.statements()),
            {},
            {
                name: BackendListing(zone, "", name not in self.world.backends_down)
                for name, zone in self.world.backend_zones.items()
            },
            tuple(head.name for head in self.world.heads.values() if head.alive) if self.world.clustered else (),
            departed,
            self.world.clustered,
            self.accepted_requests,
            self.failed_requests,
        )
        update = self.holder.update
        return self.snapshot_sender.to_changes(
            self.world.now, report, update.full_lists_request if update is not None else 0
        )

    def apply_update(self, update: PermitUpdate) -> None:
        for action in self.holder.apply_update(int(self.world.now * self.drift), update):
            self.world.go(self, action.build)
            return
        if self.holder.update is update:
            self.perform(self.drains.apply_update(update.ejected, update.restored))

    def serve_requests(self) -> None:
        """Simulate the requests of one step."""
        rng = self.world.random
        for backend in self.world.backend_zones:
            if backend not in self.ejected and rng.random() < 0.3:
                self.in_flight[backend] += 1
            elif self.in_flight[backend] and rng.random() < 0.6:
                self.in_flight[backend] -= 1
        failure_rate = self.world.failing.get(self.build, 0.0) if int(self.name[1:]) % 3 == 0 else 0.0
        self.accepted_requests += 20
        self.failed_requests += 20 * failure_rate
        warm = [
            name
            for name in self.world.backend_zones
            if name not in self.ejected and name not in self.world.backends_down
        ]
        self.perform(self.drains.observe(self.in_flight, self.ejected, warm))

    def perform(self, actions: Sequence[object]) -> None:
        for action in actions:
            if isinstance(action, Eject):
                self.ejected.add(action.backend)
            elif isinstance(action, Restore):
                self.ejected.discard(action.backend)
            elif isinstance(action, Announce) and action.statement.claim == DRAINED:
                self.world.statements_made.add((self.name, action.statement.permit))
        self.disk = self.drains.to_store()
