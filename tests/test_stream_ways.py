"""The stream's machines over a way that loses, cuts, doubles and reorders; by random steps."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.control.follower import COMPLETE_US, CONNECT_US, LONGEST_PAUSE_US, State
from hophinge.control.publisher import Snapshot
from hophinge.control.wire import Version
from hophinge.routing.records import Limit, Plan, Pool, Scope
from hophinge.routing.table import check
from tests.stream_line import BAD, FACTS, GOOD, MS, S, Line, follower, snapshot


def test_a_truncated_version_is_asked_for_anew_once_and_then_turned_down() -> None:
    line = Line()
    line.push(snapshot((1, 1), GOOD))
    line.deliver()
    line.push(snapshot((1, 2), [*GOOD[:3], Limit(Scope("new"), 7.0)]))
    line.down.popleft()  # its records are lost, the version comes
    line.deliver()
    assert line.head.state is State.RECEIVED and line.head.running == "1.1"
    line.wait(COMPLETE_US + 2 * S)
    assert line.head.running == "1.2" and line.head.counts["truncated"] == 1  # all was sent again
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
    line.down.extend(first)  # old ones again, once another version is in force
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
    line.wait(2 * S)  # six seconds without a beat
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
    line = Line()  # another head of this name takes its place each time
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
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), ROWS),
        st.tuples(st.just("deliver"), st.integers(1, 3)),
        st.tuples(st.just("wait"), st.integers(1, 8 * S)),
        st.tuples(st.sampled_from(["cut", "lose", "double", "swap"]), st.just(0)),
    ),
    max_size=40,
)


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
        assert line.applied == sorted(set(line.applied))  # forward only, each once
        for order in line.applied:
            assert not check(pushed[order], pushed[order], FACTS)
        if line.applied:
            table, rows = line.head.table, pushed[line.applied[-1]]
            assert table.version == line.applied[-1]
            assert {*table.pools} == {row.name for row in rows.values() if isinstance(row, Pool)}
            assert {limit.key for limit in table.limits} == {key for key in rows if key.startswith("limit/")}
    line.cut()
    line.wait(60 * S)  # the way is sound again: the head ends with the newest, or with its reason against it
    if newest is not None:
        rows = pushed[newest.order]
        if check(rows, rows, FACTS):
            assert line.head.state is State.TURNED_DOWN and line.head.reason
        else:
            assert line.head.running == f"1.{newest.order[1]}" and line.head.state is State.IN_FORCE
