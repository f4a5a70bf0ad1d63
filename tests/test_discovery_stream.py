"""Follower and publisher of the discovery stream, without sockets: successive versions."""

from __future__ import annotations

import pytest

from hophinge.control import wire
from hophinge.control.follower import Follower
from hophinge.control.follower_actions import FollowerState
from hophinge.control.publisher import VersionAcknowledged, HeadSubscribed, VersionRejected
from hophinge.control.delta_cache import DeltaCache
from hophinge.control.snapshot import Snapshot
from hophinge.routing import records
from hophinge.routing.records import PlanOverride, Record
from hophinge.routing.capabilities import HeadCapabilities
from tests.stream_link import BAD, FACTS, GOOD, S, StreamLink, bodies, snapshot


def test_versions_are_sent_as_deltas_and_acknowledged_once() -> None:
    link = StreamLink()
    one = snapshot((1, 1), GOOD)
    two = snapshot((1, 2), GOOD[:-1], one)
    link.push(one)
    link.deliver()
    link.push(two)
    frames = [wire.decode_response(frame) for frame in link.in_transit]
    assert len(frames[0].resources) <= 1
    assert [(len(response.resources), response.removed) for response in frames] == [(0, ("limit/t5/*/*",)), (1, ())]
    link.deliver()
    assert link.applied == [(1, 1), (1, 2)] and link.persist_count == 2
    assert link.events == [HeadSubscribed("n0", (0, 0)), VersionAcknowledged((1, 1)), VersionAcknowledged((1, 2))]
    assert link.head.state is FollowerState.IN_FORCE and link.head.active_name == "1.2"


def test_cached_deltas_are_keyed_by_version_not_by_object_identity() -> None:
    deltas = DeltaCache()
    for number in range(1, 200):  # each snapshot is freed at once, and the next may get its object identity
        frames = deltas.responses(None, snapshot((1, number), GOOD[: 1 + number % 5]))
        assert wire.decode_version(wire.decode_response(frames[-1]).resources[0].body).id == (1, number)
    encoded_count = deltas.encoded_count
    assert deltas.responses(None, snapshot((1, 199), GOOD[:5])) == frames and deltas.encoded_count == encoded_count


@pytest.mark.parametrize("bad", BAD)
def test_bad_version_is_rejected_and_the_active_one_stays(bad: Record) -> None:
    link = StreamLink()
    link.push(snapshot((1, 1), GOOD))
    link.deliver()
    link.push(snapshot((1, 2), [*(row for row in GOOD if row.key != bad.key), bad]))
    link.deliver()
    link.wait(30 * S)
    rejections = [event for event in link.events if isinstance(event, VersionRejected)]
    assert len(rejections) == 1 and rejections[0].version_id == (1, 2) and bad.key in rejections[0].reason
    assert link.applied == [(1, 1)] and link.head.active_name == "1.1" and link.head.reason == rejections[0].reason
    link.push(snapshot((1, 3), GOOD[1:]))
    link.deliver()
    assert link.head.active_name == "1.3" and link.head.state is FollowerState.IN_FORCE


def test_rejected_version_is_not_sent_again_on_the_same_stream() -> None:
    link = StreamLink()
    link.push(snapshot((1, 1), [BAD[0]]))
    link.deliver()
    for _ in range(5):
        link.push(snapshot((1, 1), [BAD[0]]))
        link.wait(10 * S)
    assert link.publisher.sent_count == 1 and link.head.counters["turned_down"] == 1
    link.cut()  # on a new stream it is sent again, and rejected without another validation
    link.wait(20 * S)
    assert link.publisher.sent_count == 1 and link.head.counters["turned_down"] == 2
    assert sum("is rejected" in text for text in link.log) == 1


def test_version_is_validated_against_each_head() -> None:
    other = HeadCapabilities(FACTS.zones | {"moon"}, FACTS.kinds, FACTS.classes, FACTS.plans, 3, True)
    links = [StreamLink(), StreamLink(Follower("n1", ["a:1"], other, 1, 6 * S, 60 * S))]
    for link in links:
        link.push(snapshot((1, 1), [*GOOD, BAD[0]]))
        link.deliver()
    assert [link.head.state for link in links] == [FollowerState.REJECTED, FollowerState.IN_FORCE]


def test_undecodable_record_rejects_only_its_version() -> None:
    link = StreamLink()
    link.push(Snapshot.create((1, 1), {**bodies(GOOD), "odd/x": b'{"type":"odd"}'}, None, 0))
    link.deliver()
    assert link.head.state is FollowerState.REJECTED and "odd/x: this head cannot decode it" in link.head.reason
    link.push(snapshot((1, 2), GOOD))
    link.deliver()
    assert link.head.active_name == "1.2"
    link.push(Snapshot.create((1, 3), {"plan/basic": records.encode(PlanOverride("other"))}, None, 0))
    link.deliver()
    assert "its content is that of plan/other" in link.head.reason
