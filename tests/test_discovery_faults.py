"""Follower and publisher over a link that loses, duplicates and reorders frames and breaks; also by random steps."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.control.follower import RECORDS_TIMEOUT_US, CONNECT_TIMEOUT_US
from hophinge.control.reconnect_policy import MAX_BACKOFF_US
from hophinge.control.follower_actions import FollowerState
from hophinge.control.snapshot import Snapshot
from hophinge.control.messages import ConfigVersion
from hophinge.routing.records import Limit, PlanOverride, Pool, Scope
from hophinge.routing.capabilities import validate
from tests.stream_link import BAD, FACTS, GOOD, MS, S, StreamLink, follower, snapshot


def test_truncated_version_is_requested_again_once_and_then_rejected() -> None:
    link = StreamLink()
    link.push(snapshot((1, 1), GOOD))
    link.deliver()
    link.push(snapshot((1, 2), [*GOOD[:3], Limit(Scope("new"), 7.0)]))
    link.in_transit.popleft()  # its records are lost, the version arrives
    link.deliver()
    assert link.head.state is FollowerState.RECEIVED and link.head.active_name == "1.1"
    link.wait(RECORDS_TIMEOUT_US + 2 * S)
    assert link.head.active_name == "1.2" and link.head.counters["truncated"] == 1  # all records were sent again
    complete = snapshot((1, 3), GOOD)
    inconsistent = Snapshot(
        ConfigVersion(complete.id, len(complete.records), complete.version.fingerprint_sum + 1), complete.records
    )
    link.push(inconsistent)
    link.wait(30 * S)
    assert link.head.counters["truncated"] == 3
    assert "truncated" in link.head.reason and link.head.active_name == "1.2"
    connects = link.connect_count
    link.wait(4 * S)
    assert link.connect_count <= connects + 1


def test_version_that_arrives_before_its_records_waits_for_them() -> None:
    link = StreamLink()
    link.push(snapshot((1, 1), GOOD))
    link.in_transit.rotate(1)
    link.deliver()
    assert link.applied == [(1, 1)] and link.head.counters["truncated"] == 0


def test_duplicate_and_replayed_responses_change_nothing() -> None:
    link = StreamLink()
    one, two = snapshot((1, 1), GOOD), snapshot((1, 2), [PlanOverride("basic", 1.0, 1.0), GOOD[0]])
    link.push(one)
    first = list(link.in_transit)
    link.in_transit.extend(first)
    link.deliver()
    link.push(two)
    link.deliver()
    link.in_transit.extend(first)  # replayed, once another version is active
    link.deliver()
    link.wait(RECORDS_TIMEOUT_US)
    assert link.applied == [(1, 1), (1, 2)] and link.head.active_name == "1.2"
    assert link.head.counters["replayed"] >= 1
    link.push(snapshot((1, 3), GOOD, two))
    link.wait(4 * S)
    assert link.head.active_name == "1.3"


def test_newer_of_two_quick_versions_wins() -> None:
    link = StreamLink()
    one = snapshot((1, 1), GOOD)
    link.push(one)
    link.deliver(1)
    link.now += 5 * MS
    link.push(snapshot((1, 2), GOOD[:4], one))
    link.push(snapshot((1, 3), GOOD[:5], one))
    link.deliver()
    assert link.applied == [(1, 1), (1, 3)] and link.head.active_name == "1.3"


def test_versions_of_a_restored_service_are_rejected_until_its_epoch_is_raised() -> None:
    link = StreamLink()
    link.push(snapshot((1, 7), GOOD))
    link.deliver()
    for version_id, rows, expected in (
        ((1, 5), GOOD[:3], "1.5 is lower than 1.7"),
        ((1, 7), GOOD[:3], "has different records"),
    ):
        link.cut()
        link.publisher.target = snapshot(version_id, rows)
        link.wait(3 * S)
        assert link.head.active_name == "1.7" and expected in link.head.reason and "raise its epoch" in link.head.reason
    link.cut()
    link.publisher.target = snapshot((2, 1), GOOD[:3])
    link.wait(3 * S)
    assert link.head.active_name == "2.1"


def test_failover_with_backoff_and_idle_timeout() -> None:
    link = StreamLink()
    link.push(snapshot((1, 1), GOOD))
    link.deliver()
    link.is_reachable, started_at = False, link.now
    link.wait(5 * S)
    assert link.head.is_connected
    link.wait(2 * S)  # six seconds without a heartbeat
    assert not link.head.is_connected and any("silent for 6 s" in text for text in link.log)
    link.wait(120 * S)
    assert link.head.reconnect.index in (0, 1) and link.head.counters["failovers"] > 5
    max_connects = (link.now - started_at) // CONNECT_TIMEOUT_US + 1
    min_connects = (link.now - started_at) // (CONNECT_TIMEOUT_US + MAX_BACKOFF_US * 3 // 2) - 1
    assert min_connects <= link.connect_count <= max_connects
    assert link.head.status(link.now)["stale"] and link.head.active_name == "1.1"
    link.is_reachable = True
    link.wait(20 * S)
    assert link.head.is_connected and not link.head.status(link.now)["stale"]


def test_backoff_grows_when_streams_end_as_soon_as_they_are_open() -> None:
    link = StreamLink()  # as if another head of the same name replaced this one each time
    for _ in range(100):
        link.deliver()
        link.cut()
        link.wait(link.head.next_tick_us - link.now)
    assert link.connect_count >= 100 and link.now > 100 * S


def test_reconnects_of_heads_are_jittered() -> None:
    attempt_times = set()
    for seed in range(20):
        head = follower(seed)
        head.start(0)
        head.on_stream_closed(0, "gone")
        attempt_times.add(head.next_tick_us)
    assert len(attempt_times) == 20 and max(attempt_times) - min(attempt_times) > 50 * MS


ROWS = st.lists(st.sampled_from([*GOOD, *BAD]), max_size=8, unique_by=lambda row: row.key)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), ROWS),
        st.tuples(st.just("deliver"), st.integers(1, 3)),
        st.tuples(st.just("wait"), st.integers(1, 8 * S)),
        st.tuples(st.sampled_from(["cut", "lose", "duplicate", "reorder"]), st.just(0)),
    ),
    max_size=40,
)


@settings(max_examples=300)
@given(STEPS)
def test_only_complete_valid_versions_run_and_the_last_one_wins(steps: list[tuple[str, Any]]) -> None:
    link, pushed = StreamLink(), {}
    newest: Snapshot | None = None
    for index, (step, value) in enumerate(steps):
        if step == "push":
            newest = snapshot((1, index + 1), value, newest)
            pushed[newest.id] = {record.key: record for record in value}
            link.push(newest)
        elif step == "deliver":
            link.deliver(value)
        elif step == "wait":
            link.wait(value)
        elif step == "cut":
            link.cut()
        elif link.in_transit and step == "lose":
            link.in_transit.popleft()
        elif link.in_transit and step == "duplicate":
            link.in_transit.append(link.in_transit[0])
        elif len(link.in_transit) > 1:
            link.in_transit.rotate(1)
        assert link.applied == sorted(set(link.applied))  # versions only increase, each is applied once
        for version_id in link.applied:
            assert not validate(pushed[version_id], pushed[version_id], FACTS)
        if link.applied:
            table, rows = link.head.table, pushed[link.applied[-1]]
            assert table.version == link.applied[-1]
            assert {*table.pools} == {row.name for row in rows.values() if isinstance(row, Pool)}
            assert {limit.key for limit in table.limits} == {key for key in rows if key.startswith("limit/")}
    link.cut()
    link.wait(60 * S)  # the link works again: the head applies the newest version, or has a reason to reject it
    if newest is not None:
        rows = pushed[newest.id]
        if validate(rows, rows, FACTS):
            assert link.head.state is FollowerState.REJECTED and link.head.reason
        else:
            assert link.head.active_name == f"1.{newest.id[1]}" and link.head.state is FollowerState.IN_FORCE
