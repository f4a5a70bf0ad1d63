"""A fleet in virtual time: heads, backends, the issuer and its store, with their faults.

The store checks each row as it comes, by its own count and not by the table's code, so that a fault of the table is
found where it would be believed.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence

from hophinge.maintenance.issuer import PermitIssuer
from hophinge.maintenance.messages import PermitUpdate
from hophinge.maintenance.permits import Permit, PermitKind, PermitState
from hophinge.maintenance.releases import ReleaseProgress
from hophinge.maintenance.snapshots import SnapshotSender
from hophinge.routing.maintenance_records import MaintenanceRule, Outage, Release
from hophinge.routing.records import Record
from tests.maintenance_head import SimHead

S = 1_000_000
LEAVES = {PermitState.BEGUN, PermitState.OUT}


class KilledError(Exception):
    """The issuer's process was killed here."""


class MemoryStore:
    """The durable state, and the invariants of every row."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.permits: dict[str, Permit] = {}
        self.courses: dict[str, ReleaseProgress] = {}
        self.zones: dict[str, str] = {}
        self.saves = 0
        self.kill: tuple[int, bool] | None = None  # at which save, and whether it is stored before

    def store_zone(self, head: str, zone: str) -> None:
        self.zones[head] = zone

    def save(self, permits: Sequence[Permit], courses: Sequence[ReleaseProgress]) -> None:
        self.saves += 1
        at, stored = self.kill or (0, False)
        if self.kill is not None and self.saves >= at and not stored:
            self.world.struck["killed before storing"] += 1
            raise KilledError
        for row in permits:
            self.check(row)
            self.permits[row.id] = row
        for course in courses:
            self.courses[course.name] = course
        if self.kill is not None and self.saves >= at:
            self.world.struck["killed between storing and telling"] += 1
            raise KilledError

    def active_permits(self, kind: PermitKind) -> dict[str, Permit]:
        return {
            row.name: row for row in self.permits.values() if row.kind is kind and row.state is not PermitState.FREE
        }

    def check(self, row: Permit) -> None:
        wrong, world = self.world.violations, self.world
        before = self.permits.get(row.id)
        if (
            before is not None
            and row.state is PermitState.FREE
            and before.state in LEAVES
            and row.id not in world.rule.released_permits
        ):
            wrong.append(f"{row.id} of {row.name} was {before.state.value} and freed by nothing")
        if (
            row.kind is PermitKind.BACKEND
            and row.state is PermitState.OUT
            and (before is None or before.state is not PermitState.OUT)
        ):
            world.drained(row)
        if row.state not in (PermitState.GRANTED, PermitState.BEGUN) or (
            before is not None and before.state is row.state
        ):
            return
        held = self.active_permits(row.kind)
        if row.name in held and held[row.name].id != row.id:
            wrong.append(f"{row.name} has two permits, {row.id} and {held[row.name].id}")
        zones = world.zones if row.kind is PermitKind.HEAD else world.backend_zones
        out = {*held, row.name, *world.known_unavailable(row.kind)}
        most = world.rule.heads if row.kind is PermitKind.HEAD else world.rule.backends
        assert most is not None
        here = [one for one in out if zones[one] == zones[row.name]]
        limit = min([most.max_count] + ([int(most.max_share * len(zones) + 1e-9)] if most.max_share >= 0 else []))
        if len(out) > limit or (most.max_zone_count >= 0 and len(here) > most.max_zone_count):
            wrong.append(f"{row.state.value} {row.name}: {sorted(out)} out of {len(zones)}, {limit} may")


class World:
    """The fleet; `violations` has every violation of an invariant."""

    def __init__(self, seed: int, heads: int, backends: int, rule: MaintenanceRule, zones: int = 4) -> None:
        self.random, self.rule, self.now = random.Random(seed), rule, 1000 * S
        self.clustered = True
        self.zones = {f"n{at}": f"z{at % zones}" for at in range(heads)}
        self.backend_zones = {f"b{at}": f"z{at % zones}" for at in range(backends)}
        self.backends_down: set[str] = set()
        self.failing: dict[str, float] = {}  # failure rates of builds at every third head
        self.never_ready: set[str] = set()
        self.outages: dict[str, Outage] = {}
        self.releases: dict[str, Release] = {}
        self.records: list[Record] = []
        self.violations: list[str] = []
        self.struck: Counter[str] = Counter()
        self.said: set[tuple[str, str]] = set()
        self.verdicts = 0
        self.restart_us = 20 * S
        self.lose = self.double = self.late = 0.0
        self.held_back: list[tuple[str, PermitUpdate]] = []
        self.fence = 0
        self.store = MemoryStore(self)
        self.issuer: PermitIssuer | None = None
        self.heads = {name: SimHead(self, name) for name in self.zones}
        self.cut: set[str] = set()  # heads without a stream to the issuer
        self.start_issuer()

    # --- the issuer

    def start_issuer(self) -> None:
        self.fence += 1
        self.store.kill = None
        rows = [row for row in self.store.permits.values() if row.state is not PermitState.FREE]
        self.issuer = PermitIssuer(
            "store", self.fence, rows, self.store.courses.values(), self.store.zones, self.store, self.now
        )
        self.apply_configuration()

    def apply_configuration(self) -> None:
        if self.issuer is not None:
            self.issuer.apply_configuration(
                [self.rule, *self.outages.values(), *self.releases.values()], self.records, {}
            )

    def stop_issuer(self) -> None:
        self.issuer = None
        for head in self.heads.values():
            head.linked = False

    def disconnected(self, name: str) -> None:
        if self.issuer is not None:
            self.issuer.head_disconnected(name)

    # --- what the checks need

    def known_unavailable(self, kind: PermitKind) -> set[str]:
        """Return what the issuer observes to be out without a permit, or cannot observe at all."""
        if kind is PermitKind.BACKEND:
            return set(self.backends_down)
        return {name for name, head in self.heads.items() if not head.linked}

    def drained(self, row: Permit) -> None:
        self.verdicts += 1
        for name, head in self.heads.items():
            if head.alive and (name, row.id) not in self.said:
                self.violations.append(f"{row.name} is drained, and {name} never said so")
            if head.alive and head.open[row.name] and row.name in head.out:
                self.violations.append(f"{row.name} is drained, and {name} still has {head.open[row.name]} there")

    # --- events

    def go(self, head: SimHead, build: str) -> None:
        if head.name not in self.store.active_permits(PermitKind.HEAD):
            self.violations.append(f"{head.name} goes out without a permit")
        head.end()
        head.build = build or head.build
        head.returns_at = self.now + self.restart_us

    def kill_head(self, name: str) -> None:
        self.struck["head lost"] += 1
        self.heads[name].end()

    def advance(self, span_us: int = S) -> None:
        """Advance the time by a span, with all that is scheduled in it."""
        self.now += span_us
        for head in self.heads.values():
            if not head.alive and head.returns_at and self.now >= head.returns_at:
                head.start()
            if head.alive and not head.frozen:
                head.serve_requests()
        try:
            self._issue()
        except KilledError:
            self.stop_issuer()

    def _issue(self) -> None:
        issuer = self.issuer
        if issuer is None:
            return
        for name, head in self.heads.items():
            if not head.alive or name in self.cut:
                if head.linked:
                    head.linked = False
                    issuer.head_disconnected(name)
                continue
            if head.frozen:
                continue  # its stream still seems to be up
            if not head.linked:
                head.linked, head.teller = True, SnapshotSender()
                issuer.head_connected(name, True, len(self.heads))
            report = head.report()
            for _ in range(self._times()):
                issuer.apply_report(name, report)
        issuer.tick(self.now)
        words, self.held_back = self.held_back, []
        words += [
            (name, word)
            for name, head in self.heads.items()
            if head.linked and not head.frozen and (word := issuer.next_update(name)) is not None
        ]
        if self.late:
            self.random.shuffle(words)
        for name, word in words:
            if self.random.random() < self.late:
                self.struck["word late"] += 1
                self.held_back.append((name, word))
                continue
            head = self.heads[name]
            times = self._times()
            if not times and head.linked:
                issuer.last_updates.pop(
                    name, None
                )  # a lost update ends its stream, and the next one gets a complete update
            for _ in range(times):
                if head.alive and not head.frozen and name not in self.cut:
                    head.apply_update(word)

    def _times(self) -> int:
        lot = self.random.random()
        if lot < self.lose:
            self.struck["message lost"] += 1
            return 0
        if lot < self.lose + self.double:
            self.struck["message doubled"] += 1
            return 2
        return 1

    def until(self, condition: object, max_steps: int = 2000, span_us: int = S) -> None:
        """Advance until a condition holds; callers assert that it does."""
        for _ in range(max_steps):
            if condition():  # type: ignore[operator]
                return
            self.advance(span_us)
