"""The stream's follower and publisher without sockets: one version after the other."""

from __future__ import annotations

import pytest

from hophinge.control import wire
from hophinge.control.follower import Follower, State
from hophinge.control.publisher import Acked, Parts, Snapshot, Subscribed, TurnedDown
from hophinge.routing import records
from hophinge.routing.records import Plan, Record
from hophinge.routing.table import Facts
from tests.stream_line import BAD, FACTS, GOOD, S, Line, bodies, snapshot


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
    for number in range(1, 200):  # each snapshot is dropped at once, and the next one takes its place
        frames = parts.step(None, snapshot((1, number), GOOD[: 1 + number % 5]))
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
    line.cut()  # on a new stream it is offered once more, and turned down without another look
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
