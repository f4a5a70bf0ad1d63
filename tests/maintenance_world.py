"""A simulated fleet in virtual time: heads, backends, the issuer and its store, with their faults.

The store checks each row that is saved by a count of its own and not by the code of the permit table, so that an error
of the table is detected when its result would be stored.
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
OUT_STATES = {PermitState.BEGUN, PermitState.OUT}


class KilledError(Exception):
    """The issuer's process was killed here."""


class MemoryStore:
    """The durable state; checks the invariants of every row that is saved."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.permits: dict[str, Permit] = {}
        self.courses: dict[str, ReleaseProgress] = {}
        self.zones: dict[str, str] = {}
        self.saves = 0
        self.kill: tuple[int, bool] | None = None  # at which save the issuer is killed, and whether that save is stored

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
        violations, world = self.world.violations, self.world
        before = self.permits.get(row.id)
        if (
            before is not None
            and row.state is PermitState.FREE
            and before.state in OUT_STATES
            and row.id not in world.rule.released_permits
        ):
            violations.append(f"{row.id} of {row.name} was {before.state.value} and freed without evidence")
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
            violations.append(f"{row.name} has two permits, {row.id} and {held[row.name].id}")
        zones = world.zones if row.kind is PermitKind.HEAD else world.backend_zones
        out = {*held, row.name, *world.known_unavailable(row.kind)}
        budget = world.rule.heads if row.kind is PermitKind.HEAD else world.rule.backends
        assert budget is not None
        out_in_zone = [process for process in out if zones[process] == zones[row.name]]
        limit = min([budget.max_count] + ([int(budget.max_share * len(zones) + 1e-9)] if budget.max_share >= 0 else []))
        if len(out) > limit or (budget.max_zone_count >= 0 and len(out_in_zone) > budget.max_zone_count):
            violations.append(f"{row.state.value} {row.name}: {sorted(out)} out of {len(zones)}, {limit} may")


class World:
    """The fleet; `violations` lists all violations of invariants."""

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
        self.statements_made: set[tuple[str, str]] = set()
        self.verdicts = 0
        self.restart_us = 20 * S
        self.loss_rate = self.duplicate_rate = self.delay_rate = 0.0
        self.delayed_updates: list[tuple[str, PermitUpdate]] = []
        self.fencing_token = 0
        self.store = MemoryStore(self)
        self.issuer: PermitIssuer | None = None
        self.heads = {name: SimHead(self, name) for name in self.zones}
        self.cut: set[str] = set()  # heads that cannot reach the issuer
        self.start_issuer()

    # --- the issuer

    def start_issuer(self) -> None:
        self.fencing_token += 1
        self.store.kill = None
        rows = [row for row in self.store.permits.values() if row.state is not PermitState.FREE]
        self.issuer = PermitIssuer(
            "store", self.fencing_token, rows, self.store.courses.values(), self.store.zones, self.store, self.now
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
            head.is_connected = False

    def disconnected(self, name: str) -> None:
        if self.issuer is not None:
            self.issuer.head_disconnected(name)

    # --- what the checks need

    def known_unavailable(self, kind: PermitKind) -> set[str]:
        """Return the processes that are out without a permit, or that the issuer cannot observe."""
        if kind is PermitKind.BACKEND:
            return set(self.backends_down)
        return {name for name, head in self.heads.items() if not head.is_connected}

    def drained(self, row: Permit) -> None:
        self.verdicts += 1
        for name, head in self.heads.items():
            if head.alive and (name, row.id) not in self.statements_made:
                self.violations.append(f"{row.name} is drained, but {name} has not stated it")
            if head.alive and head.in_flight[row.name] and row.name in head.ejected:
                self.violations.append(f"{row.name} is drained, but {name} still has {head.in_flight[row.name]} there")

    # --- events

    def go(self, head: SimHead, build: str) -> None:
        if head.name not in self.store.active_permits(PermitKind.HEAD):
            self.violations.append(f"{head.name} goes offline without a permit")
        head.end()
        head.build = build or head.build
        head.returns_at = self.now + self.restart_us

    def kill_head(self, name: str) -> None:
        self.struck["head lost"] += 1
        self.heads[name].end()

    def advance(self, span_us: int = S) -> None:
        """Advance the time by a span, and perform what is due."""
        self.now += span_us
        for head in self.heads.values():
            if not head.alive and head.returns_at and self.now >= head.returns_at:
                head.start()
            if head.alive and not head.is_stopped:
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
                if head.is_connected:
                    head.is_connected = False
                    issuer.head_disconnected(name)
                continue
            if head.is_stopped:
                continue  # its stream still seems to be open
            if not head.is_connected:
                head.is_connected, head.snapshot_sender = True, SnapshotSender()
                issuer.head_connected(name, True, len(self.heads))
            report = head.report()
            for _ in range(self._delivered_copies()):
                issuer.apply_report(name, report)
        issuer.tick(self.now)
        updates, self.delayed_updates = self.delayed_updates, []
        updates += [
            (name, update)
            for name, head in self.heads.items()
            if head.is_connected and not head.is_stopped and (update := issuer.next_update(name)) is not None
        ]
        if self.delay_rate:
            self.random.shuffle(updates)
        for name, update in updates:
            if self.random.random() < self.delay_rate:
                self.struck["word late"] += 1
                self.delayed_updates.append((name, update))
                continue
            head = self.heads[name]
            copies = self._delivered_copies()
            if not copies and head.is_connected:
                # A lost update ends the stream; the next one starts with a complete update.
                issuer.last_updates.pop(name, None)
            for _ in range(copies):
                if head.alive and not head.is_stopped and name not in self.cut:
                    head.apply_update(update)

    def _delivered_copies(self) -> int:
        draw = self.random.random()
        if draw < self.loss_rate:
            self.struck["message lost"] += 1
            return 0
        if draw < self.loss_rate + self.duplicate_rate:
            self.struck["message doubled"] += 1
            return 2
        return 1

    def until(self, condition: object, max_steps: int = 2000, span_us: int = S) -> None:
        """Advance until a condition holds; callers assert that it does."""
        for _ in range(max_steps):
            if condition():  # type: ignore[operator]
                return
            self.advance(span_us)
