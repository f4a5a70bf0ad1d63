"""Lists sent as changes: synchronized ones are what the head had, despite loss, duplication and reordering."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from hophinge.maintenance import snapshots
from hophinge.maintenance.issuer import PermitIssuer
from hophinge.maintenance.messages import BackendListing, HeadReport
from hophinge.maintenance.snapshots import FULL_LISTS_INTERVAL_US, SnapshotReceiver, SnapshotSender
from hophinge.maintenance.statements import DRAINED, Statement
from hophinge.routing.maintenance_records import MaintenanceRule, DisruptionBudget, Outage
from tests.maintenance_world import MemoryStore, World

BEAT_US = 2_000_000
NAMES = st.sampled_from(["b-0", "b-1", "b-2", "b-3"])


class Stream:
    """A head and an issuer with a stream that loses, duplicates and reorders; either end may restart."""

    def __init__(self) -> None:
        self.now, self.backends, self.live, self.gone = 0, dict[str, BackendListing](), set[str](), set[str]()
        self.heard: dict[str, list[Statement]] = {}
        self.whole_at: list[int] = []
        self.connect()

    def connect(self) -> None:
        """A stream starts: messages in flight on the previous one are lost."""
        self.teller, self.listener = SnapshotSender(), SnapshotReceiver()
        self.way: list[HeadReport] = []
        self.told: dict[int, HeadReport] = {}  # all reports of this stream, complete
        self.asked = self.newest = 0
        self.taken: HeadReport | None = None

    def report(self) -> None:
        self.now += BEAT_US // 4
        meant = HeadReport(
            1,
            backends=dict(self.backends),
            live_heads=tuple(self.live),
            departed_heads=tuple(self.gone),
            peer_statements=dict(self.heard),
        )
        made = self.teller.to_changes(self.now, meant, self.asked)
        assert made.list_changes is not None and not made.backends and not made.live_heads and not made.peer_statements
        if made.list_changes.backends.is_full:
            self.whole_at.append(self.now)
        self.told[made.list_changes.sequence] = meant
        self.way.append(msgspec.json.decode(msgspec.json.encode(made), type=HeadReport))

    def arrive(self, at: int, stays: bool) -> None:
        if self.way:
            one = self.way[at % len(self.way)] if stays else self.way.pop(at % len(self.way))
            assert one.list_changes is not None
            self.newest = max(self.newest, one.list_changes.sequence)  # of those that were received
            taken = self.listener.to_full(one)
            self.taken = taken if taken is not None else self.taken

    def check(self) -> None:
        one = self.taken
        if one is None:
            return
        meant = self.told[self.newest]
        if not one.is_uncertain:
            assert one.backends == meant.backends
        assert set(one.departed_heads) <= set(
            meant.departed_heads
        )  # only heads that the head knows to have left are exempt
        assert all(rows == meant.peer_statements.get(name) for name, rows in one.peer_statements.items())
        if self.listener.is_synchronized:
            assert set(one.live_heads) == set(meant.live_heads) and one.peer_statements == meant.peer_statements


class StreamMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.stream = Stream()

    @rule(name=NAMES, up=st.booleans(), zone=st.sampled_from(["", "z"]))
    def list_backend(self, name: str, up: bool, zone: str) -> None:
        self.stream.backends[name] = BackendListing(zone, "", up)

    @rule(name=NAMES)
    def remove_backend(self, name: str) -> None:
        self.stream.backends.pop(name, None)

    @rule(name=NAMES, what=st.sampled_from(["live", "gone", "unknown"]))
    def set_member(self, name: str, what: str) -> None:
        self.stream.live.discard(name)
        self.stream.gone.discard(name)
        if what != "unknown":
            getattr(self.stream, what).add(name)

    @rule(name=NAMES, permit=st.integers(0, 3))
    def receive_statement(self, name: str, permit: int) -> None:
        self.stream.heard[name] = [Statement(f"1.{permit}", "b-0", DRAINED)] if permit else []

    @rule()
    def send_report(self) -> None:
        self.stream.report()

    @rule(at=st.integers(0, 9), stays=st.booleans())
    def deliver(self, at: int, stays: bool) -> None:
        self.stream.arrive(at, stays)

    @rule(at=st.integers(0, 9))
    def lose(self, at: int) -> None:
        if self.stream.way:
            self.stream.way.pop(at % len(self.stream.way))

    @rule()
    def receive_request(self) -> None:
        self.stream.asked = self.stream.listener.full_lists_request

    @rule()
    def reconnect(self) -> None:
        self.stream.connect()

    @invariant()
    def synchronized_lists_are_right(self) -> None:
        self.stream.check()

    def teardown(self) -> None:
        """Without loss all lists are synchronized within some reports."""
        line = self.stream
        line.way.clear()
        for _ in range(8):
            line.report()
            line.arrive(0, False)
            line.asked = line.listener.full_lists_request
        line.check()
        assert line.listener.is_synchronized and line.taken is not None and line.taken.backends == line.backends


def test_synchronized_lists_are_what_the_head_reported() -> None:
    run_state_machine_as_test(
        StreamMachine, settings=settings(max_examples=100, stateful_step_count=40, deadline=None, database=None)
    )


def run_random_steps(seed: int) -> None:
    """Random steps of the machine without shrinking: mutants are to be detected, not explained."""
    lots, machine = random.Random(seed), StreamMachine()
    names = ["b-0", "b-1"]
    for _ in range(300):
        step = lots.randrange(8)
        if step == 0:
            machine.list_backend(lots.choice(names), lots.random() < 0.5, "")
        elif step == 1:
            machine.set_member(lots.choice(names), lots.choice(["live", "gone", "unknown"]))
        elif step == 2:
            machine.receive_statement(lots.choice(names), lots.randrange(3))
        elif step in (3, 4):
            machine.send_report()
        elif step == 5:
            machine.lose(lots.randrange(9))
        else:
            machine.deliver(lots.randrange(9), lots.random() < 0.3)
        if lots.random() < 0.1:
            machine.receive_request()
        machine.synchronized_lists_are_right()
    machine.teardown()


def accept_any_order(self: SnapshotReceiver, report: HeadReport) -> HeadReport | None:
    self.sequence = 0
    return take(self, report)


def ignore_digest(self: Any, change: Any) -> None:
    take_part(self, change)
    self.is_synchronized = True


def relay_uncertain_lists(self: SnapshotReceiver, report: HeadReport) -> HeadReport | None:
    found = take(self, report)
    assert report.list_changes is not None
    return (
        found
        if found is None
        else msgspec.structs.replace(
            found,
            departed_heads=tuple(name for name, live in self.members.rows.items() if not live),
            peer_statements=self.peer_statements.rows,
        )
    )


take, take_part = SnapshotReceiver.to_full, snapshots.ListReceiver.apply
MUTANTS = {
    "reports are taken in any order": (SnapshotReceiver, "to_full", accept_any_order),
    "a digest that differs is believed": (snapshots.ListReceiver, "apply", ignore_digest),
    "an unsure witness lets heads off": (SnapshotReceiver, "to_full", relay_uncertain_lists),
    "a question is never answered": (
        SnapshotSender,
        "is_full_due",
        lambda self, now_us, request: self.answered_request < 0,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_each_mutant_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    where, what, instead = MUTANTS[name]
    monkeypatch.setattr(where, what, instead)
    with pytest.raises((AssertionError, KeyError)):
        for seed in range(100):
            run_random_steps(seed)


def test_without_a_mutant_no_violation_is_found() -> None:
    for seed in range(100):
        run_random_steps(seed)


def test_full_lists_are_rate_limited() -> None:
    line, lots = Stream(), random.Random(1)
    for at in range(400):
        line.backends[f"b-{at % 5}"] = BackendListing("", "", lots.random() < 0.5)
        line.report()
        line.arrive(0, False) if lots.random() < 0.5 else line.way.clear()
        line.asked = line.listener.full_lists_request
        line.check()
    assert len(line.whole_at) > 10
    assert all(
        later - one >= FULL_LISTS_INTERVAL_US for one, later in zip(line.whole_at, line.whole_at[1:], strict=False)
    )


def test_no_permit_is_granted_on_uncertain_lists() -> None:
    rule = MaintenanceRule(None, DisruptionBudget(1, -1.0, -1))
    world = World(1, 2, 3, rule)
    issuer = PermitIssuer("store", 9, (), (), {}, MemoryStore(world), world.now)
    issuer.apply_configuration([rule, Outage("o", ("b0",))], (), {})
    tellers = {name: SnapshotSender() for name in ("n0", "n1")}
    rows = {name: BackendListing("", "", True) for name in ("b0", "b1", "b2")}
    for name in tellers:
        issuer.head_connected(name, True, 2)
        issuer.apply_report(name, tellers[name].to_changes(0, HeadReport(1, backends=rows, is_ready=True), 0))
    tellers["n1"].to_changes(BEAT_US, HeadReport(1, backends={**rows, "b1": BackendListing("", "", False)}), 0)  # lost
    issuer.apply_report(
        "n1",
        tellers["n1"].to_changes(2 * BEAT_US, HeadReport(1, backends={**rows, "b1": BackendListing("", "", False)}), 0),
    )
    issuer.tick(world.now)
    word = issuer.next_update("n1")
    assert not issuer.permits.active and word is not None and word.full_lists_request == 1
    issuer.apply_report(
        "n1",
        tellers["n1"].to_changes(3 * BEAT_US, HeadReport(1, backends=rows, is_ready=True), word.full_lists_request),
    )
    issuer.tick(world.now)
    assert [one.name for one in issuer.permits.active.values()] == ["b0"]
