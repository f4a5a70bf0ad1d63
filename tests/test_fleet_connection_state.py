"""A connection that somebody opened: each order of what is read, answered and ended, without sockets."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from hophinge.fleet.transport.connection_state import (
    BAD_REQUEST,
    LARGE_HEADER,
    REQUEST_TIMEOUT,
    Action,
    ConnectionBounds,
    ConnectionState,
    Ending,
    Reading,
)

BOUNDS = ConnectionBounds(rest_s=10.0, header_s=2.0, header_bytes=100)
LONGEST = 8  # steps of an order
STEPS = ("byte", "header", "last header", "whole", "bad", "late", "answered", "asked", "process")


@dataclass
class Played:
    """A connection with what its client would see."""

    state: ConnectionState = field(default_factory=lambda: ConnectionState(BOUNDS, 0.0))
    now: float = 0.0
    read: int = 0  # requests whose header was read
    begun: int = 0  # answers that were begun, in the order of their requests
    answered: int = 0
    abandoned: int = 0
    over: Action | None = None

    def possible(self, step: str) -> bool:
        """Tell whether a step can come now."""
        if step == "answered":
            return self.begun > self.answered and self.over is None
        if step in ("asked", "process"):
            return self.over is None
        if not self.state.taking or self.over is not None:
            return False
        reading = self.state.reading
        return {
            "byte": reading is Reading.NOTHING,
            "header": reading is Reading.HEAD,
            "last header": reading is Reading.HEAD,
            "whole": reading is Reading.BODY,
        }.get(step, True)

    def play(self, step: str) -> None:
        """Take a step, and keep what has to hold."""
        state, self.now = self.state, self.now + 1.0
        if step == "byte":
            state.header_begun(self.now)
        elif step in ("header", "last header"):
            waits = state.owed > 0
            state.header_read(keeps=step == "header")
            self.read += 1
            self.begun += not waits  # the library begins the first one by itself
        elif step == "whole":
            state.request_read(self.now)
        elif step == "bad":
            self.act(state.unfit(Ending.BAD_BYTES, BAD_REQUEST))
        elif step == "late":
            self.now = max(self.now, state.due or 0.0)
            self.act(state.time(self.now))
        elif step == "answered":
            self.answered += 1
            self.act(state.answered(self.now))
        else:
            self.act(state.close_asked() if step == "asked" else state.process_ends())
        self.check()

    def act(self, actions: list[Action]) -> None:
        """Take what the state asks for."""
        for action in actions:
            assert self.over is None, "nothing follows the close"
            if action is Action.BEGIN:
                self.begun += 1
            elif action is Action.ABANDON:
                self.abandoned += 1
                self.begun = min(self.begun, self.read - self.abandoned)
            else:
                self.over = action

    def check(self) -> None:
        """Claims are begun in order, one at a time; the connection closes behind the last, and never stays open."""
        claims = self.read - self.abandoned
        assert self.state.owed == claims - self.answered
        assert self.begun == min(self.answered + 1, claims), "the first claim is being answered, and no other"
        if self.over is not None:
            assert not self.state.owed, "it closes behind the last claim"
            assert self.over is not Action.REFUSE or self.state.refusal
        elif not self.state.owed:
            assert self.state.ending is None and self.state.due is not None, "it ends in time"


def orders(played: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """Tell all orders of steps that can come, up to a length."""
    connection = Played()
    for step in played:
        connection.play(step)
    following = [step for step in STEPS if connection.possible(step)] if len(played) < LONGEST else []
    if not following:
        yield played
    for step in following:
        yield from orders((*played, step))


def test_each_claim_is_answered_in_its_order_and_the_connection_closes_behind_the_last() -> None:
    ends = dict.fromkeys(Ending, 0)
    count = 0
    for order in orders():
        count += 1
        connection = Played()
        for step in order:
            connection.play(step)
        if connection.state.ending is not None:
            ends[connection.state.ending] += 1
    assert count > 10_000
    assert all(
        ends[ending]
        for ending in (
            Ending.BAD_BYTES,
            Ending.REST,
            Ending.HEADER_TIME,
            Ending.BODY_TIME,
            Ending.SAID_CLOSE,
            Ending.PROCESS,
        )
    )


def test_what_was_read_behind_the_end_is_refused_and_not_served() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.header_begun(0.0)
    assert state.header_read(keeps=True)
    state.request_read(0.0)
    assert state.process_ends() == []
    state.header_begun(0.1)
    assert not state.header_read(keeps=True)
    state.request_read(0.1)
    assert state.answered(0.2) == [Action.BEGIN] and state.answered(0.3) == [Action.CLOSE]


@pytest.mark.parametrize(
    ("behind", "action", "refusal"), [(0, Action.REFUSE, REQUEST_TIMEOUT), (1, Action.REFUSE, REQUEST_TIMEOUT)]
)
def test_half_a_header_has_its_time_from_when_its_turn_comes(behind: int, action: Action, refusal: int) -> None:
    state = ConnectionState(BOUNDS, 0.0)
    if behind:
        state.header_begun(0.0)
        state.header_read(keeps=True)
        state.request_read(0.0)
    state.header_begun(1.0)
    if behind:
        assert state.due is None and state.time(100.0) == []
        assert state.answered(50.0) == []
    begun = 50.0 if behind else 1.0
    assert state.due == begun + BOUNDS.header_s
    assert state.time(begun + 1.9) == [] and state.time(begun + 2.0) == [action] and state.refusal == refusal
    assert state.ending is Ending.HEADER_TIME and state.due is None


def test_a_body_has_its_time_from_its_newest_bytes_on() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.header_begun(0.0)
    state.header_read(keeps=True)
    assert state.bytes_read(8.0, 10) == [] and state.due == 18.0
    assert state.time(18.0) == [Action.ABANDON, Action.REFUSE] and state.owed == 0
    assert state.ending is Ending.BODY_TIME


def test_a_request_that_was_answered_before_it_came_whole_is_not_answered_twice() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.header_begun(0.0)
    state.header_read(keeps=True)
    assert state.answered(1.0) == [] and state.reading is Reading.BODY
    assert state.time(11.0) == [Action.CLOSE] and not state.refusal


def test_a_header_is_bounded_by_its_own_bytes() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.header_begun(0.0)
    assert state.bytes_read(0.0, 60) == [] and state.bytes_read(0.1, 40) == []
    assert state.bytes_read(0.2, 1) == [Action.REFUSE] and state.refusal == LARGE_HEADER
    state = ConnectionState(BOUNDS, 0.0)
    state.header_begun(0.0)
    state.header_read(keeps=True)
    state.request_read(0.0)
    state.header_begun(0.0)  # behind a long body, in the same bytes
    assert state.bytes_read(0.0, 5_000) == [] and state.header_bytes == 0
    assert state.bytes_read(0.1, 101) == [] and state.owed == 1, "it is refused behind the claim"
    assert state.answered(0.2) == [Action.REFUSE]


def test_longer_bounds_hold_for_a_rest_that_has_begun_and_shorter_ones_from_the_next_on() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.bounded_by(ConnectionBounds(rest_s=60.0))
    assert state.due == 60.0
    state.bounded_by(ConnectionBounds(rest_s=1.0))
    assert state.due == 60.0
    state.header_begun(5.0)
    state.header_read(keeps=True)
    state.request_read(5.0)
    state.answered(6.0)
    assert state.due == 7.0


def test_a_client_that_closes_leaves_nothing_to_be_taken_or_timed() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.header_begun(0.0)
    state.header_read(keeps=True)
    state.lost(Ending.CLIENT_CLOSED)
    assert (state.ending, state.taking, state.due) == (Ending.CLIENT_CLOSED, False, None)
    assert state.unfit(Ending.BAD_BYTES, BAD_REQUEST) == []
