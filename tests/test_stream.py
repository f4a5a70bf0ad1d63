"""The stream's machines without sockets: a head's follower, the service's publisher, the rollout; by random steps."""

from __future__ import annotations

import contextlib
import os
import random
from collections import deque
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.control import lastgood, wire
from hophinge.control.follower import (
    COMPLETE_US, CONNECT_US, LONGEST_PAUSE_US, Action, Apply, Close, Connect, Follower, Keep, Log, State, Tell,
)
from hophinge.control.publisher import Acked, Parts, Publisher, Snapshot, Subscribed, TurnedDown
from hophinge.control.rollout import Course, Rollout, Stage
from hophinge.control.store import Store, StoreError
from hophinge.control.wire import Kind, Order, Request, Resource, Response, Version
from hophinge.routing import records
from hophinge.routing.records import Limit, Plan, Pool, Record, Rollout as Rule, Route, Scope
from hophinge.routing.table import Facts, check
from hophinge.state import files

S, MS = 1_000_000, 1000
FACTS = Facts(frozenset({"hall-a"}), frozenset(), frozenset({"read"}), {"basic": (10.0, 2.0)}, 3, True)
BEAT = wire.encode_response(Response(Kind.RECORD, "beat"))
GOOD: list[Record] = [Pool("a", ("hall-a",)), Plan("basic", 5.0, 1.0),
                      *(Limit(Scope(f"t{at}"), float(at + 1)) for at in range(6))]
BAD: list[Record] = [Pool("moon", ("moon",)), Plan("basic", 99.0, 1.0), Route(Scope(klass="none"), ("a",))]


def bodies(rows: Iterable[Record]) -> dict[str, bytes]:
    return {record.key: records.encode(record) for record in rows}


def snapshot(order: Order, rows: Iterable[Record], before: Snapshot | None = None) -> Snapshot:
    return Snapshot.made(order, bodies(rows), before, 0)


def follower(seed: int = 1, endpoints: tuple[str, ...] = ("a:1", "b:2")) -> Follower:
    return Follower("n0", endpoints, FACTS, seed, 6 * S, 60 * S)


class Line:
    """A follower, a publisher and the way between them, which a test may lose, cut, double or reorder."""

    def __init__(self, head: Follower | None = None) -> None:
        self.head = head or follower()
        self.publisher = Publisher(Parts())
        self.now = S
        self.down: deque[bytes] = deque()
        self.applied: list[Order] = []
        self.events: list[Any] = []
        self.log: list[str] = []
        self.connects = self.keeps = 0
        self.up = True
        self.do(self.head.start(self.now))

    def do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Connect():
                    self.connects += 1
                    self.publisher, self.down = Publisher(Parts(), target=self.publisher.target), deque()
                    for request in action.requests if self.up else ():
                        self.tell(request)
                case Tell():
                    self.tell(action.request)
                case Close():
                    self.down.clear()
                case Apply():
                    self.applied.append(action.table.version)
                case Keep():
                    self.keeps += 1
                case Log():
                    self.log.append(action.text)

    def tell(self, request: Request) -> None:
        events, frames = self.publisher.heard(wire.decode_request(wire.encode_request(request)))
        self.events += events
        if any(isinstance(event, Subscribed) for event in events):
            self.down.append(BEAT)
        self.down.extend(frames)

    def push(self, target: Snapshot) -> None:
        self.down.extend(self.publisher.aim(target))

    def deliver(self, most: int = 1000) -> None:
        while self.down and most:
            most -= 1
            self.do(self.head.received(self.now, wire.decode_response(self.down.popleft())))

    def wait(self, span: int) -> None:
        until = self.now + span
        while self.now < until:
            self.now = min(until, max(self.now + MS, self.head.due_us), self.now + 2 * S)
            self.do(self.head.tick(self.now))
            if self.up and self.head.connected:
                self.down.append(BEAT)
            self.deliver()

    def cut(self) -> None:
        self.down.clear()
        self.do(self.head.closed(self.now, "cut"))


# --- one version after the other


def test_versions_go_out_as_differences_and_are_acknowledged_once_in_force() -> None:
    line = Line()
    one = snapshot((1, 1), GOOD)
    two = snapshot((1, 2), GOOD[:-1], one)
    line.push(one)
    line.deliver()
    line.push(two)
    frames = [wire.decode_response(frame) for frame in line.down]
    assert len(frames[0].resources) <= 1
    assert [(len(one.resources), one.removed) for one in frames] == [(0, ("limit/t5/*/*",)), (1, ())]
    line.deliver()
    assert line.applied == [(1, 1), (1, 2)] and line.keeps == 2
    assert line.events == [Subscribed("n0", (0, 0)), Acked((1, 1)), Acked((1, 2))]
    assert line.head.state is State.IN_FORCE and line.head.running == "1.2"


def test_responses_are_shared_by_versions_never_by_where_they_lay_in_memory() -> None:
    parts = Parts()
    for number in range(1, 200):        # each snapshot is dropped at once, and the next one takes its place
        frames = parts.step(None, snapshot((1, number), GOOD[:1 + number % 5]))
        assert wire.read_version(wire.decode_response(frames[-1]).resources[0].body).order == (1, number)
    made = parts.made
    assert parts.step(None, snapshot((1, 199), GOOD[:5])) == frames and parts.made == made


@pytest.mark.parametrize("bad", BAD)
def test_a_bad_version_is_turned_down_with_its_reason_and_the_last_good_goes_on(bad: Record) -> None:
    line = Line()
    line.push(snapshot((1, 1), GOOD))
    line.deliver()
    line.push(snapshot((1, 2), [*(row for row in GOOD if row.key != bad.key), bad]))
    line.deliver()
    line.wait(30 * S)
    turned = [event for event in line.events if isinstance(event, TurnedDown)]
    assert len(turned) == 1 and turned[0].order == (1, 2) and bad.key in turned[0].reason
    assert line.applied == [(1, 1)] and line.head.running == "1.1" and line.head.reason == turned[0].reason
    line.push(snapshot((1, 3), GOOD[1:]))
    line.deliver()
    assert line.head.running == "1.3" and line.head.state is State.IN_FORCE


def test_a_head_is_never_sent_the_same_bad_version_for_ever() -> None:
    line = Line()
    line.push(snapshot((1, 1), [BAD[0]]))
    line.deliver()
    for _ in range(5):
        line.push(snapshot((1, 1), [BAD[0]]))
        line.wait(10 * S)
    assert line.publisher.sent == 1 and line.head.counts["turned_down"] == 1
    line.cut()      # on a new stream it is offered once more, and turned down without another look
    line.wait(20 * S)
    assert line.publisher.sent == 1 and line.head.counts["turned_down"] == 2
    assert sum("turned down" in text for text in line.log) == 1


def test_what_one_head_lacks_another_takes_up() -> None:
    other = Facts(FACTS.zones | {"moon"}, FACTS.kinds, FACTS.classes, FACTS.plans, 3, True)
    lines = [Line(), Line(Follower("n1", ["a:1"], other, 1, 6 * S, 60 * S))]
    for line in lines:
        line.push(snapshot((1, 1), [*GOOD, BAD[0]]))
        line.deliver()
    assert [line.head.state for line in lines] == [State.TURNED_DOWN, State.IN_FORCE]


def test_a_record_that_this_head_cannot_read_turns_its_version_down_alone() -> None:
    line = Line()
    line.push(Snapshot.made((1, 1), {**bodies(GOOD), "odd/x": b'{"type":"odd"}'}, None, 0))
    line.deliver()
    assert line.head.state is State.TURNED_DOWN and "odd/x: this head cannot read it" in line.head.reason
    line.push(snapshot((1, 2), GOOD))
    line.deliver()
    assert line.head.running == "1.2"
    line.push(Snapshot.made((1, 3), {"plan/basic": records.encode(Plan("other"))}, None, 0))
    line.deliver()
    assert "it holds plan/other" in line.head.reason


# --- a way that loses, cuts, doubles and reorders


def test_a_truncated_version_is_asked_for_anew_once_and_then_turned_down() -> None:
    line = Line()
    line.push(snapshot((1, 1), GOOD))
    line.deliver()
    line.push(snapshot((1, 2), [*GOOD[:3], Limit(Scope("new"), 7.0)]))
    line.down.popleft()             # its records are lost, the version comes
    line.deliver()
    assert line.head.state is State.RECEIVED and line.head.running == "1.1"
    line.wait(COMPLETE_US + 2 * S)
    assert line.head.running == "1.2" and line.head.counts["truncated"] == 1    # all was sent again
    whole = snapshot((1, 3), GOOD)
    lying = Snapshot(Version(whole.order, len(whole.rows), whole.version.sum + 1), whole.rows)
    line.push(lying)
    line.wait(30 * S)
    assert line.head.counts["truncated"] == 3
    assert "truncated" in line.head.reason and line.head.running == "1.2"
    connects = line.connects
    line.wait(4 * S)
    assert line.connects <= connects + 1


def test_a_version_that_comes_before_its_records_waits_for_them() -> None:
    line = Line()
    line.push(snapshot((1, 1), GOOD))
    line.down.rotate(1)
    line.deliver()
    assert line.applied == [(1, 1)] and line.head.counts["truncated"] == 0


def test_doubled_and_replayed_responses_change_nothing() -> None:
    line = Line()
    one, two = snapshot((1, 1), GOOD), snapshot((1, 2), [Plan("basic", 1.0, 1.0), GOOD[0]])
    line.push(one)
    first = list(line.down)
    line.down.extend(first)
    line.deliver()
    line.push(two)
    line.deliver()
    line.down.extend(first)         # old ones again, once another version is in force
    line.deliver()
    line.wait(COMPLETE_US)
    assert line.applied == [(1, 1), (1, 2)] and line.head.running == "1.2"
    assert line.head.counts["replayed"] >= 1
    line.push(snapshot((1, 3), GOOD, two))
    line.wait(4 * S)
    assert line.head.running == "1.3"


def test_two_versions_within_ten_milliseconds_end_with_the_newer_one() -> None:
    line = Line()
    one = snapshot((1, 1), GOOD)
    line.push(one)
    line.deliver(1)
    line.now += 5 * MS
    line.push(snapshot((1, 2), GOOD[:4], one))
    line.push(snapshot((1, 3), GOOD[:5], one))
    line.deliver()
    assert line.applied == [(1, 1), (1, 3)] and line.head.running == "1.3"


def test_a_service_restored_from_a_backup_is_turned_down_until_its_epoch_is_raised() -> None:
    line = Line()
    line.push(snapshot((1, 7), GOOD))
    line.deliver()
    for order, rows, words in (((1, 5), GOOD[:3], "1.5 is lower than 1.7"), ((1, 7), GOOD[:3], "has other records")):
        line.cut()
        line.publisher.target = snapshot(order, rows)
        line.wait(3 * S)
        assert line.head.running == "1.7" and words in line.head.reason and "raise its epoch" in line.head.reason
    line.cut()
    line.publisher.target = snapshot((2, 1), GOOD[:3])
    line.wait(3 * S)
    assert line.head.running == "2.1"


def test_failover_with_growing_pauses_and_a_deadline_for_silence() -> None:
    line = Line()
    line.push(snapshot((1, 1), GOOD))
    line.deliver()
    line.up, since = False, line.now
    line.wait(5 * S)
    assert line.head.connected
    line.wait(2 * S)                # six seconds without a beat
    assert not line.head.connected and any("silent for 6 s" in text for text in line.log)
    line.wait(120 * S)
    assert line.head.dial.at in (0, 1) and line.head.counts["failovers"] > 5
    most = (line.now - since) // CONNECT_US + 1
    least = (line.now - since) // (CONNECT_US + LONGEST_PAUSE_US * 3 // 2) - 1
    assert least <= line.connects <= most
    assert line.head.status(line.now)["stale"] and line.head.running == "1.1"
    line.up = True
    line.wait(20 * S)
    assert line.head.connected and not line.head.status(line.now)["stale"]


def test_a_stream_that_ends_as_soon_as_it_is_open_is_asked_for_ever_more_slowly() -> None:
    line = Line()       # another head of this name takes its place each time
    for _ in range(100):
        line.deliver()
        line.cut()
        line.wait(line.head.due_us - line.now)
    assert line.connects >= 100 and line.now > 100 * S


def test_heads_do_not_come_back_at_the_same_moment() -> None:
    dues = set()
    for seed in range(20):
        head = follower(seed)
        head.start(0)
        head.closed(0, "gone")
        dues.add(head.due_us)
    assert len(dues) == 20 and max(dues) - min(dues) > 50 * MS


ROWS = st.lists(st.sampled_from([*GOOD, *BAD]), max_size=8, unique_by=lambda row: row.key)
STEPS = st.lists(st.one_of(
    st.tuples(st.just("push"), ROWS), st.tuples(st.just("deliver"), st.integers(1, 3)),
    st.tuples(st.just("wait"), st.integers(1, 8 * S)),
    st.tuples(st.sampled_from(["cut", "lose", "double", "swap"]), st.just(0))), max_size=40)


@settings(max_examples=300)
@given(STEPS)
def test_whatever_the_way_does_only_whole_good_versions_run_and_the_last_one_wins(steps: list[tuple[str, Any]]) -> None:
    line, pushed = Line(), {}
    newest: Snapshot | None = None
    for at, (word, value) in enumerate(steps):
        if word == "push":
            newest = snapshot((1, at + 1), value, newest)
            pushed[newest.order] = {record.key: record for record in value}
            line.push(newest)
        elif word == "deliver":
            line.deliver(value)
        elif word == "wait":
            line.wait(value)
        elif word == "cut":
            line.cut()
        elif line.down and word == "lose":
            line.down.popleft()
        elif line.down and word == "double":
            line.down.append(line.down[0])
        elif len(line.down) > 1:
            line.down.rotate(1)
        assert line.applied == sorted(set(line.applied))        # forward only, each once
        for order in line.applied:
            assert not check(pushed[order], pushed[order], FACTS)
        if line.applied:
            table, rows = line.head.table, pushed[line.applied[-1]]
            assert table.version == line.applied[-1]
            assert {*table.pools} == {row.name for row in rows.values() if isinstance(row, Pool)}
            assert {limit.key for limit in table.limits} == {key for key in rows if key.startswith("limit/")}
    line.cut()
    line.wait(60 * S)       # the way is sound again: the head ends with the newest, or with its reason against it
    if newest is not None:
        rows = pushed[newest.order]
        if check(rows, rows, FACTS):
            assert line.head.state is State.TURNED_DOWN and line.head.reason
        else:
            assert line.head.running == f"1.{newest.order[1]}" and line.head.state is State.IN_FORCE


# --- what is kept


def good(order: Order, rows: Iterable[Record]) -> lastgood.LastGood:
    made = snapshot(order, rows)
    return lastgood.made(made.version, made.rows, 0)


def test_a_head_starts_from_what_was_kept_and_resumes_without_a_resend() -> None:
    kept = good((1, 4), GOOD)
    head = follower()
    assert any(isinstance(action, Apply) for action in head.restore(kept.version, kept.rows, S))
    line = Line(head)
    line.push(snapshot((1, 4), GOOD))
    assert [wire.decode_response(frame).kind for frame in line.down] == [Kind.RECORD, Kind.VERSION]
    assert line.down[0] == BEAT     # the version alone
    line.deliver()
    assert line.events == [Subscribed("n0", (1, 4)), Acked((1, 4))] and line.applied == []


def test_a_kept_version_that_this_head_cannot_run_is_not_taken() -> None:
    kept, head = good((1, 4), [BAD[0]]), follower()
    assert all(isinstance(action, Log) for action in head.restore(kept.version, kept.rows, S))
    assert head.running == "none" and not head.held
    line = Line(head)
    line.push(snapshot((1, 5), GOOD))
    line.deliver()
    assert head.running == "1.5"


class Cutting(files.Disk):
    """A disk that loses power at one step of a write, or after some bytes of it."""

    def __init__(self, step: str, bytes_left: int = 0) -> None:
        self.step, self.bytes_left = step, bytes_left

    def write(self, path: Path, data: bytes) -> None:
        if self.step == "write":
            path.write_bytes(data[:self.bytes_left])
            raise SystemError("power cut")
        super().write(path, data)

    def rename(self, old: Path, new: Path) -> None:
        if self.step == "before":
            raise SystemError("power cut")
        super().rename(old, new)
        if self.step == "after":
            raise SystemError("power cut")


def test_a_cut_at_every_byte_of_a_write_leaves_the_old_or_the_new_version(tmp_path: Path,
                                                                          monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "last-good.state"
    old, new = good((1, 1), GOOD[:2]), good((1, 2), GOOD)
    lastgood.save(path, old)
    size = path.stat().st_size * 4
    monkeypatch.setattr(Path, "unlink", lambda *_, **__: None)      # who has no power does not tidy up
    points = [Cutting("write", at) for at in range(size)] + [Cutting("before")]
    for disk in points:
        with pytest.raises(SystemError):
            lastgood.save(path, new, disk)
        assert lastgood.load(path) == old
    with pytest.raises(SystemError):
        lastgood.save(path, new, Cutting("after"))
    assert lastgood.load(path) == new and len(points) > 1000


def test_two_processes_write_beside_each_other_and_what_killed_ones_left_is_removed(tmp_path: Path) -> None:
    path, old = tmp_path / "f.state", tmp_path / ".f.state.1.new"
    young = tmp_path / ".f.state.2.new"
    for left in (old, young):
        left.write_bytes(b"half")
    os.utime(old, (0, 0))
    lastgood.save(path, good((1, 1), GOOD))
    files.tidy(path)
    assert young.read_bytes() == b"half" and not old.exists()
    assert lastgood.load(path) == good((1, 1), GOOD)


def test_a_file_that_is_torn_foreign_or_of_another_form_is_told_from_a_good_one(tmp_path: Path) -> None:
    path = tmp_path / "last-good.state"
    assert lastgood.load(path) is None
    lastgood.save(path, good((1, 1), GOOD))
    whole = path.read_bytes()
    for at in range(0, len(whole)):
        path.write_bytes(whole[:at])
        with pytest.raises(files.UnusableError):
            lastgood.load(path)
        path.write_bytes(whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1:])
        with pytest.raises(files.UnusableError):
            lastgood.load(path)
    for data, why in ((b"\0" * 4096, "beginning"), (whole.replace(b"last-good 1", b"last-good 9", 1), "form 9")):
        path.write_bytes(data)
        with pytest.raises(files.UnusableError, match=why):
            lastgood.load(path)
    files.save(path, "other", 1, b"x")
    with pytest.raises(files.UnusableError, match="holds other"):
        lastgood.load(path)


# --- the rollout


class Fleet:
    """A rollout, heads that answer or don't, and the store's part of a push."""

    def __init__(self, rule: Rule, heads: int = 10) -> None:
        self.rollout, self.now, self.rule = Rollout(Course(), rule), S, rule
        self.runs = {f"n{at}": (0, 0) for at in range(heads)}
        self.refuse: dict[str, set[Order]] = {}
        self.number, self.stored = 0, [(0, 0)]
        self.undone: list[str] = []
        for name in self.runs:
            self.rollout.connected(name, (0, 0), self.now)

    def push(self, rule: Rule | None = None, undoes: bool = False) -> Order:
        self.number += 1
        order = (1, self.number)
        self.rollout.push(self.rollout.planned(order, undoes), rule or self.rule, self.now)
        return order

    def step(self, span: int = 100 * MS, answer: bool = True) -> None:
        self.now += span
        decision = self.rollout.tick(self.now)
        if decision.roll_back:
            self.undone.append(decision.roll_back)
            self.push(Rule(), undoes=True)
        for name, head in self.rollout.heads.items():
            aim = self.rollout.aim(name)
            assert aim >= self.runs[name], "a head is aimed at what is older than what it runs"
            if not head.connected or not answer or aim == self.runs[name]:
                continue
            if aim in self.refuse.get(name, ()):
                if head.refused != aim:
                    decision = self.rollout.turned_down(name, aim, "bad", self.now)
                    if decision.roll_back:
                        self.undone.append(decision.roll_back)
                        self.push(Rule(), undoes=True)
                continue
            self.runs[name] = aim
            self.rollout.acked(name, aim, self.now)

    def run(self, span: int) -> None:
        for _ in range(span // (100 * MS)):
            self.step()

    def count(self, order: Order) -> int:
        return sum(runs == order for runs in self.runs.values())


WAVES = Rule(first=("n3",), waves=(0.2, 0.5, 1.0), hold_us=S, failures=0.05, on_trouble="rollback")


def test_waves_reach_first_heads_then_shares_then_all() -> None:
    fleet = Fleet(WAVES)
    order = fleet.push()
    seen = []
    for _ in range(60):
        fleet.step()
        seen.append(fleet.count(order))
    assert sorted(set(seen)) == seen[0:1] + [count for count in sorted(set(seen)) if count > seen[0]]
    assert seen[0] == 1 and fleet.runs["n3"] == order and {2, 3} & set(seen) and {5, 6} & set(seen) and seen[-1] == 10
    assert fleet.rollout.course == Course(order, order)


def test_a_head_that_turns_it_down_rolls_the_rest_back_and_nobody_goes_back_in_number() -> None:
    fleet = Fleet(WAVES)
    first = fleet.push()
    fleet.run(8 * S)
    assert fleet.count(first) == 10
    bad = fleet.push()
    fleet.refuse = {name: {bad} for name in ("n0", "n1", "n2")}
    fleet.run(12 * S)
    assert len(fleet.undone) == 1 and "bad" in fleet.undone[0]
    assert fleet.count(bad) == 0 and fleet.count((1, 3)) == 10
    assert fleet.rollout.course.stage is Stage.IDLE


def test_hold_stops_and_staff_go_on_or_push_anew() -> None:
    fleet = Fleet(Rule(waves=(0.2, 1.0), hold_us=S))
    first = fleet.push()
    fleet.run(5 * S)
    bad = fleet.push()
    fleet.refuse = {name: {bad} for name in fleet.runs}
    fleet.run(5 * S)
    assert fleet.rollout.course.stage is Stage.HELD and fleet.count(first) == 10
    assert "turned it down: bad" in fleet.rollout.course.reason
    assert fleet.rollout.resume(fleet.now)
    good_one = fleet.push()
    fleet.run(5 * S)
    assert fleet.count(good_one) == 10 and not fleet.rollout.resume(fleet.now)


def test_failures_beyond_the_bound_roll_back_and_a_bad_rollback_does_not_go_on_for_ever() -> None:
    fleet = Fleet(WAVES)
    fleet.push()
    fleet.run(8 * S)
    bad = fleet.push()
    fleet.step()
    fleet.rollout.counted("n3", 100.0, 4.0, fleet.now)
    fleet.step()
    assert not fleet.undone                                   # within the bound
    fleet.rollout.counted("n3", 200.0, 30.0, fleet.now)
    fleet.step()
    assert len(fleet.undone) == 1 and "30 of 200 requests failed" in fleet.undone[0]
    fleet.refuse = {name: {(1, 3)} for name in fleet.runs}
    fleet.run(5 * S)
    assert len(fleet.undone) == 1 and fleet.rollout.course.stage is Stage.HELD and fleet.count(bad) <= 1


def test_failures_that_were_usual_before_the_version_are_not_its_own() -> None:
    fleet = Fleet(WAVES)
    fleet.push()
    fleet.run(8 * S)
    fleet.rollout.counted("n3", 1000.0, 300.0, fleet.now)
    fleet.push()
    fleet.step()
    fleet.rollout.counted("n3", 1200.0, 360.0, fleet.now)       # 30 % as before
    fleet.step()
    assert not fleet.undone
    fleet.rollout.counted("n3", 1400.0, 460.0, fleet.now)
    fleet.step()
    assert len(fleet.undone) == 1


def test_a_head_that_was_away_joins_where_its_wave_stands() -> None:
    fleet = Fleet(Rule(first=("n0",), waves=(1.0,), hold_us=3 * S))
    first = fleet.push()
    fleet.run(10 * S)
    for name in ("n7", "n8"):
        fleet.rollout.gone(name, fleet.now)
    second = fleet.push()
    fleet.run(1 * S)
    fleet.rollout.connected("n7", first, fleet.now)
    fleet.step()
    assert fleet.rollout.aim("n7") == first             # its wave has not begun
    fleet.run(5 * S)
    assert fleet.runs["n7"] == second
    fleet.run(5 * S)
    assert fleet.rollout.course.stage is Stage.IDLE     # who is away holds nobody up
    fleet.rollout.connected("n8", first, fleet.now)
    fleet.step()
    assert fleet.runs["n8"] == second


def test_a_connected_head_that_never_answers_is_trouble_after_its_patience() -> None:
    fleet = Fleet(Rule(waves=(1.0,), patience_us=2 * S))
    fleet.push()
    for _ in range(19):
        fleet.step(answer=False)
        fleet.rollout.counted("n1", 0.0, 0.0, fleet.now)      # it beats, and says nothing of the version
    assert not fleet.rollout.course.reason
    for _ in range(4):
        fleet.step(answer=False)
    assert fleet.rollout.course.stage is Stage.HELD and "gave no answer for 2 s" in fleet.rollout.course.reason


@settings(max_examples=150)
@given(st.integers(0, 2 ** 32), st.lists(st.sampled_from(
    ["push", "step", "step", "leave", "join", "refuse", "fail", "resume", "new"]), max_size=60))
def test_by_random_steps_heads_only_go_forward_and_end_on_one_version(seed: int, steps: list[str]) -> None:
    rng, fleet = random.Random(seed), Fleet(WAVES, 4)
    for word in steps:
        name = rng.choice(sorted(fleet.runs))
        if word == "push":
            fleet.push()
        elif word == "leave":
            fleet.rollout.gone(name, fleet.now)
        elif word == "join":
            fleet.rollout.connected(name, fleet.runs[name], fleet.now)
        elif word == "new":
            fleet.runs[f"x{len(fleet.runs)}"] = (0, 0)
            fleet.rollout.connected(f"x{len(fleet.runs) - 1}", (0, 0), fleet.now)
        elif word == "refuse":
            fleet.refuse.setdefault(name, set()).add(fleet.rollout.course.target)
        elif word == "fail":
            fleet.rollout.counted(name, 1000.0, 900.0, fleet.now)
        elif word == "resume":
            fleet.rollout.resume(fleet.now)
        fleet.step(rng.choice([10 * MS, S, 3 * S]))
    for name in fleet.runs:
        fleet.rollout.connected(name, fleet.runs[name], fleet.now)
    fleet.refuse = {}
    last = fleet.push(Rule())
    fleet.run(3 * S)
    assert fleet.count(last) == len(fleet.runs) and fleet.rollout.course.stage is Stage.IDLE


# --- the store


def stored(store: Store, rows: Iterable[Record], undoes: bool = False) -> Snapshot:
    return store.push(bodies(rows), Rule(hold_us=5), "tester", "why", b"(hophinge 1)", 7,
                      lambda order: Course((0, 0), order, Stage.ROLLING, undoes=undoes))


def test_a_store_gives_back_its_versions_course_and_audit_after_a_restart(tmp_path: Path) -> None:
    store = Store(tmp_path / "s.db")
    one, two = stored(store, GOOD), stored(store, GOOD[:3])
    store.saw("n0", 5)
    with pytest.raises(StoreError, match="another control service"):
        Store(tmp_path / "s.db")
    store.close()
    again = Store(tmp_path / "s.db")
    assert {order: dict(kept.rows) for order, kept in again.snapshots.items()} == {
        one.order: dict(one.rows), two.order: dict(two.rows)}
    assert again.newest is not None and again.newest.version == two.version
    assert again.course().target == (1, 2) and again.course().stage is Stage.ROLLING
    assert again.rule((1, 2)) == Rule(hold_us=5) and again.heads() == [("n0", 5)]
    assert again.content((1, 1)) == bodies(GOOD)
    assert [row["removed"] for row in again.history(5)] == [5, 0] and len(again.audit(9)) == 2
    with pytest.raises(StoreError, match=r"no version 1\.9"):
        again.content((1, 9))
    again.close()
    raised = Store(tmp_path / "s.db", new_epoch=True)
    assert stored(raised, GOOD).order == (2, 1)
    raised.close()


def test_a_push_that_fails_half_way_leaves_nothing_of_itself(tmp_path: Path) -> None:
    store = Store(tmp_path / "s.db")
    stored(store, GOOD)

    def broken(order: Order) -> Course:
        raise OSError("the disk is full")

    with pytest.raises(OSError, match="full"):
        store.push(bodies(GOOD[:2]), Rule(), "tester", "", b"", 7, broken)
    assert len(store.history(9)) == 1 and len(store.audit(9)) == 1 and store.newest is not None
    assert stored(store, GOOD[:2]).order == (1, 2)
    store.close()
    torn = (tmp_path / "s.db").read_bytes()
    (tmp_path / "t.db").write_bytes(b"not a database" + torn[14:])
    with pytest.raises(StoreError):
        Store(tmp_path / "t.db")


# --- the messages


@given(st.builds(Response, st.sampled_from(Kind), st.text(max_size=5), st.lists(st.builds(
    Resource, st.text(max_size=5), st.text(max_size=5), st.binary(max_size=9)), max_size=3).map(tuple),
    st.lists(st.text(max_size=5), max_size=3).map(tuple)))
def test_responses_come_back_as_they_were(response: Response) -> None:
    assert wire.decode_response(wire.encode_response(response)) == response


@given(st.binary(max_size=60))
def test_no_bytes_break_a_side(data: bytes) -> None:
    for read in (wire.decode_response, wire.decode_request, wire.read_version, wire.record_json):
        with contextlib.suppress(wire.WireError):
            read(data)
