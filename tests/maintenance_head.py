"""A head in virtual time: the program's side of permits and drains, with random requests."""

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
        self.alive = self.linked = self.frozen = False
        self.returns_at = 0
        self.taken = self.failed = 0.0
        self.start()

    def start(self) -> None:
        self.alive, self.frozen, self.returns_at = True, False, 0
        self.process = self.world.random.getrandbits(40) | 1
        self.born_us = self.world.now
        self.holder = PermitHolder(self.process, self.build)
        self.drains = HeadDrains(self.disk.items())
        self.out = {one.backend for one in self.drains.start() if isinstance(one, Eject)}
        self.open: Counter[str] = Counter()
        self.taken = self.failed = 0.0
        self.ask = ""
        self.teller = SnapshotSender()

    def end(self) -> None:
        self.alive = self.linked = self.frozen = False
        self.world.disconnected(self.name)

    @property
    def ready(self) -> bool:
        return self.alive and self.world.now - self.born_us >= 2 * S and self.build not in self.world.never_ready

    def report(self) -> HeadReport:
        halted = set[str]()
        begin = self.holder.permit_to_begin(int(self.world.now * self.drift), halted)
        dead = tuple(one.name for one in self.world.heads.values() if not one.alive) if self.world.clustered else ()
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
            tuple(one.name for one in self.world.heads.values() if one.alive) if self.world.clustered else (),
            dead,
            self.world.clustered,
            self.taken,
            self.failed,
        )
        word = self.holder.update
        return self.teller.to_changes(self.world.now, report, word.full_lists_request if word is not None else 0)

    def apply_update(self, update: PermitUpdate) -> None:
        for go in self.holder.apply_update(int(self.world.now * self.drift), update):
            self.world.go(self, go.build)
            return
        if self.holder.update is update:
            self.perform(self.drains.apply_update(update.ejected, update.restored))

    def serve_requests(self) -> None:
        """Serve requests for a step."""
        lots = self.world.random
        for backend in self.world.backend_zones:
            if backend not in self.out and lots.random() < 0.3:
                self.open[backend] += 1
            elif self.open[backend] and lots.random() < 0.6:
                self.open[backend] -= 1
        bad = self.world.failing.get(self.build, 0.0) if int(self.name[1:]) % 3 == 0 else 0.0
        self.taken += 20
        self.failed += 20 * bad
        warm = [one for one in self.world.backend_zones if one not in self.out and one not in self.world.backends_down]
        self.perform(self.drains.observe(self.open, self.out, warm))

    def perform(self, actions: Sequence[object]) -> None:
        for one in actions:
            if isinstance(one, Eject):
                self.out.add(one.backend)
            elif isinstance(one, Restore):
                self.out.discard(one.backend)
            elif isinstance(one, Announce) and one.statement.claim == DRAINED:
                self.world.said.add((self.name, one.statement.permit))
        self.disk = self.drains.to_store()
