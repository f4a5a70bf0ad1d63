"""The relay of hints between heads: each is sent once, never back to its source, in a bounded number of messages."""

from __future__ import annotations

import pytest

from hophinge.fleet.controlplane.hint_relay import (
    FLUSH_INTERVAL_PER_HEAD_S,
    MIN_FLUSH_INTERVAL_S,
    MIN_RELAY_DELAY_S,
    HintRelay,
)
from hophinge.fleet.placement.hints import PlacementHint, PlacementHints, SuspectedInstances
from hophinge.fleet.transport.frames import FrameReader

HEADS, CONTROLS = ["h1", "h2", "h3"], ["c2", "c3"]


def _hint(name: str) -> PlacementHints:
    return PlacementHints((PlacementHint(name, 1, (), 0, 0, 1),))


class FrameRecorder:
    """Records the frames that a relay sends."""

    def __init__(self) -> None:
        self.frames: list[tuple[str, bytes]] = []
        self.relay = HintRelay(lambda address, data: self.frames.append((address, data)))

    def received_instances(self, address: str) -> list[str]:
        """Return the instances of the hints that an address received."""
        reader, names = FrameReader(), []
        for target, data in self.frames:
            if target == address:
                reader.receive(data)
                while (message := reader.next_message()) is not None:
                    assert isinstance(message, PlacementHints)
                    names += [hint.instance for hint in message.hints]
        return names


def test_each_head_gets_the_hints_of_others_and_none_of_its_own() -> None:
    recorder = FrameRecorder()
    recorder.relay.add("h1", _hint("a"), True)
    recorder.relay.add("h2", _hint("b"), True)
    recorder.relay.add("c2", _hint("c"), False)
    recorder.relay.flush(1.0, HEADS, CONTROLS)
    assert [recorder.received_instances(head) for head in HEADS] == [["b", "c"], ["a", "c"], ["a", "b", "c"]]
    assert [recorder.received_instances(control) for control in CONTROLS] == [["a", "b"]] * 2, (
        "hints of control members are not sent to control members"
    )
    recorder.frames.clear()
    recorder.relay.add("c2", _hint("d"), False)
    recorder.relay.flush(2.0, HEADS, CONTROLS)
    assert recorder.received_instances("c2") == []


def test_the_only_source_of_hints_receives_none() -> None:
    recorder = FrameRecorder()
    recorder.relay.add("h1", _hint("a"), True)
    recorder.relay.flush(1.0, ["h1"], [])
    assert recorder.frames == []


def test_the_message_rate_is_bounded_for_any_number_of_heads() -> None:
    for heads in (10, 100, 1_000):
        recorder = FrameRecorder()
        now, due, flushes = 0.0, None, 0
        while now < 1.0:
            recorder.relay.add("x", _hint("a"), True)
            due = now + recorder.relay.delay_s(now, heads) if due is None else due
            if now >= due:
                recorder.relay.flush(now, [], [])
                flushes, due = flushes + 1, None
            now += MIN_FLUSH_INTERVAL_S / 4
        assert flushes * heads <= 1.2 / FLUSH_INTERVAL_PER_HEAD_S


def test_hints_after_an_idle_time_are_relayed_soon() -> None:
    recorder = FrameRecorder()
    recorder.relay.flush(1.0, HEADS, CONTROLS)
    assert recorder.relay.delay_s(9.0, 1_000) == MIN_RELAY_DELAY_S
    assert recorder.relay.delay_s(1.0, 30) == pytest.approx(MIN_FLUSH_INTERVAL_S + 30 * FLUSH_INTERVAL_PER_HEAD_S)


def test_an_unbatched_message_is_sent_at_once() -> None:
    recorder = FrameRecorder()
    recorder.relay.send_now(SuspectedInstances(("i",)), HEADS)
    assert [target for target, _ in recorder.frames] == HEADS
