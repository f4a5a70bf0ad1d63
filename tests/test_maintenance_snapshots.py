"""Lists sent as changes: synchronized lists equal the head's, despite loss, duplication and reordering."""

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
        self.peer_statements: dict[str, list[Statement]] = {}
        self.full_lists_at: list[int] = []
        self.connect()

    def connect(self) -> None:
        """Start a stream; messages in flight on the previous one are lost."""
        self.sender, self.receiver = SnapshotSender(), SnapshotReceiver()
        self.in_flight: list[HeadReport] = []
        self.sent_reports: dict[int, HeadReport] = {}  # all reports of this stream, complete
        self.request = self.newest_sequence = 0  # the newest sequence that was received
        self.received: HeadReport | None = None

    def report(self) -> None:
        self.now += BEAT_US // 4
        report = HeadReport(
            1,
            backends=dict(self.backends),
            live_heads=tuple(self.live),
            departed_heads=tuple(self.gone),
            peer_statements=dict(self.peer_statements),
        )
        changes = self.sender.to_changes(self.now, report, self.request)
        assert (
            changes.list_changes is not None
            and not changes.backends
            and not changes.live_heads
            and not changes.peer_statements
        )
        if changes.list_changes.backends.is_full:
            self.full_lists_at.append(self.now)
        self.sent_reports[changes.list_changes.sequence] = report
        self.in_flight.append(msgspec.json.decode(msgspec.json.encode(changes), type=HeadReport))

    def arrive(self, at: int, stays: bool) -> None:
        if self.in_flight:
            report = self.in_flight[at % len(self.in_flight)] if stays else self.in_flight.pop(at % len(self.in_flight))
            assert report.list_changes is not None
            self.newest_sequence = max(self.newest_sequence, report.list_changes.sequence)
            received = self.receiver.to_full(report)
            self.received = received if received is not None else self.received

    def check(self) -> None:
        received = self.received
        if received is None:
            return
        sent = self.sent_reports[self.newest_sequence]
        if not received.is_uncertain:
            assert received.backends == sent.backends
        # Only heads that have left in the head's view are exempt.
        assert set(received.departed_heads) <= set(sent.departed_heads)
        assert all(rows == sent.peer_statements.get(name) for name, rows in received.peer_statements.items())
        if self.receiver.is_synchronized:
            assert set(received.live_heads) == set(sent.live_heads) and received.peer_statements == sent.peer_statements


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
        self.stream.peer_statements[name] = [Statement(f"1.{permit}", "b-0", DRAINED)] if permit else []

    @rule()
    def send_report(self) -> None:
        self.stream.report()

    @rule(at=st.integers(0, 9), stays=st.booleans())
    def deliver(self, at: int, stays: bool) -> None:
        self.stream.arrive(at, stays)

    @rule(at=st.integers(0, 9))
    def lose(self, at: int) -> None:
        if self.stream.in_flight:
            self.stream.in_flight.pop(at % len(self.stream.in_flight))

    @rule()
    def receive_request(self) -> None:
        self.stream.request = self.stream.receiver.full_lists_request

    @rule()
    def reconnect(self) -> None:
        self.stream.connect()

    @invariant()
    def synchronized_lists_are_right(self) -> None:
        self.stream.check()

    def teardown(self) -> None:
        """Without loss, all lists are synchronized after a few reports."""
        stream = self.stream
        stream.in_flight.clear()
        for _ in range(8):
            stream.report()
            stream.arrive(0, False)
            stream.request = stream.receiver.full_lists_request
        stream.check()
        assert (
            stream.receiver.is_synchronized
            and stream.received is not None
            and stream.received.backends == stream.backends
        )


def test_synchronized_lists_are_what_the_head_reported() -> None:
    run_state_machine_as_test(
        StreamMachine, settings=settings(max_examples=100, stateful_step_count=40, deadline=None, database=None)
    )


def run_random_steps(seed: int) -> None:
    """Run random steps of the machine without shrinking, which is enough to detect mutants."""
    rng, machine = random.Random(seed), StreamMachine()
    names = ["b-0", "b-1"]
    for _ in range(300):
        step = rng.randrange(8)
        if step == 0:
            machine.list_backend(rng.choice(names), rng.random() < 0.5, "")
        elif step == 1:
            machine.set_member(rng.choice(names), rng.choice(["live", "gone", "unknown"]))
        elif step == 2:
            machine.receive_statement(rng.choice(names), rng.randrange(3))
        elif step in (3, 4):
            machine.send_report()
        elif step == 5:
            machine.lose(rng.randrange(9))
        else:
            machine.deliver(rng.randrange(9), rng.random() < 0.3)
        if rng.random() < 0.1:
            machine.receive_request()
        machine.synchronized_lists_are_right()
    machine.teardown()


def accept_any_order(self: SnapshotReceiver, report: HeadReport) -> HeadReport | None:
    self.sequence = 0
    return to_full(self, report)


def ignore_digest(self: Any, change: Any) -> None:
    apply_change(self, change)
    self.is_synchronized = True


def relay_uncertain_lists(self: SnapshotReceiver, report: HeadReport) -> HeadReport | None:
    full_report = to_full(self, report)
    assert report.list_changes is not None
    return (
        full_report
        if full_report is None
        else msgspec.structs.replace(
            full_report,
            departed_heads=tuple(name for name, live in self.members.rows.items() if not live),
            peer_statements=self.peer_statements.rows,
        )
    )


to_full, apply_change = SnapshotReceiver.to_full, snapshots.ListReceiver.apply
MUTANTS = {
    "reports are accepted in any order": (SnapshotReceiver, "to_full", accept_any_order),
    "a differing digest is ignored": (snapshots.ListReceiver, "apply", ignore_digest),
    "uncertain lists exempt heads": (SnapshotReceiver, "to_full", relay_uncertain_lists),
    "a request for full lists is never answered": (
        SnapshotSender,
        "is_full_due",
        lambda self, now_us, request: self.answered_request < 0,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_each_mutant_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    target, attribute, replacement = MUTANTS[name]
    monkeypatch.setattr(target, attribute, replacement)
    with pytest.raises((AssertionError, KeyError)):
        for seed in range(100):
            run_random_steps(seed)


def test_without_a_mutant_no_violation_is_found() -> None:
    for seed in range(100):
        run_random_steps(seed)


def test_full_lists_are_rate_limited() -> None:
    stream, rng = Stream(), random.Random(1)
    for at in range(400):
        stream.backends[f"b-{at % 5}"] = BackendListing("", "", rng.random() < 0.5)
        stream.report()
        stream.arrive(0, False) if rng.random() < 0.5 else stream.in_flight.clear()
        stream.request = stream.receiver.full_lists_request
        stream.check()
    assert len(stream.full_lists_at) > 10
    assert all(
        later - one >= FULL_LISTS_INTERVAL_US
        for one, later in zip(stream.full_lists_at, stream.full_lists_at[1:], strict=False)
    )


def test_no_permit_is_granted_on_uncertain_lists() -> None:
    rule = MaintenanceRule(None, DisruptionBudget(1, -1.0, -1))
    world = World(1, 2, 3, rule)
    issuer = PermitIssuer("store", 9, (), (), {}, MemoryStore(world), world.now)
    issuer.apply_configuration([rule, Outage("o", ("b0",))], (), {})
    senders = {name: SnapshotSender() for name in ("n0", "n1")}
    rows = {name: BackendListing("", "", True) for name in ("b0", "b1", "b2")}
    for name in senders:
        issuer.head_connected(name, True, 2)
        issuer.apply_report(name, senders[name].to_changes(0, HeadReport(1, backends=rows, is_ready=True), 0))
    senders["n1"].to_changes(BEAT_US, HeadReport(1, backends={**rows, "b1": BackendListing("", "", False)}), 0)  # lost
    issuer.apply_report(
        "n1",
        senders["n1"].to_changes(2 * BEAT_US, HeadReport(1, backends={**rows, "b1": BackendListing("", "", False)}), 0),
    )
    issuer.tick(world.now)
    update = issuer.next_update("n1")
    assert not issuer.permits.active and update is not None and update.full_lists_request == 1
    issuer.apply_report(
        "n1",
        senders["n1"].to_changes(3 * BEAT_US, HeadReport(1, backends=rows, is_ready=True), update.full_lists_request),
    )
    issuer.tick(world.now)
    assert [permit.name for permit in issuer.permits.active.values()] == ["b0"]
