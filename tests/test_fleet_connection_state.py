"""A connection that somebody opened: each order of what is read, answered and ended, without sockets."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from hophinge.fleet.transport.connection_state import (
    BAD_REQUEST,
    HEADER_FIELDS_TOO_LARGE,
    REQUEST_TIMEOUT,
    Action,
    ConnectionBounds,
    ConnectionState,
    CloseReason,
    ReadState,
)

BOUNDS = ConnectionBounds(idle_s=10.0, header_s=2.0, header_bytes=100)
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
        if not self.state.is_accepting or self.over is not None:
            return False
        reading = self.state.read_state
        return {
            "byte": reading is ReadState.NOTHING,
            "header": reading is ReadState.HEAD,
            "last header": reading is ReadState.HEAD,
            "whole": reading is ReadState.BODY,
        }.get(step, True)

    def play(self, step: str) -> None:
        """Take a step, and keep what has to hold."""
        state, self.now = self.state, self.now + 1.0
        if step == "byte":
            state.begin_header(self.now)
        elif step in ("header", "last header"):
            waits = state.outstanding > 0
            state.complete_header(keeps_alive=step == "header")
            self.read += 1
            self.begun += not waits  # the library begins the first one by itself
        elif step == "whole":
            state.complete_request(self.now)
        elif step == "bad":
            self.act(state.reject(CloseReason.INVALID_REQUEST, BAD_REQUEST))
        elif step == "late":
            self.now = max(self.now, state.deadline or 0.0)
            self.act(state.check_deadline(self.now))
        elif step == "answered":
            self.answered += 1
            self.act(state.complete_response(self.now))
        else:
            self.act(state.request_close() if step == "asked" else state.shut_down())
        self.check()

    def act(self, actions: list[Action]) -> None:
        """Take what the state asks for."""
        for action in actions:
            assert self.over is None, "nothing follows the close"
            if action is Action.BEGIN_NEXT_RESPONSE:
                self.begun += 1
            elif action is Action.ABANDON_NEWEST:
                self.abandoned += 1
                self.begun = min(self.begun, self.read - self.abandoned)
            else:
                self.over = action

    def check(self) -> None:
        """Claims are begun in order, one at a time; the connection closes behind the last, and never stays open."""
        claims = self.read - self.abandoned
        assert self.state.outstanding == claims - self.answered
        assert self.begun == min(self.answered + 1, claims), "the first claim is being answered, and no other"
        if self.over is not None:
            assert not self.state.outstanding, "it closes behind the last claim"
            assert self.over is not Action.REJECT or self.state.rejection_status
        elif not self.state.outstanding:
            assert self.state.close_reason is None and self.state.deadline is not None, "it ends in time"


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


def test_responses_go_out_in_order_and_the_connection_closes_after_the_last() -> None:
    ends = dict.fromkeys(CloseReason, 0)
    count = 0
    for order in orders():
        count += 1
        connection = Played()
        for step in order:
            connection.play(step)
        if connection.state.close_reason is not None:
            ends[connection.state.close_reason] += 1
    assert count > 10_000
    assert all(
        ends[ending]
        for ending in (
            CloseReason.INVALID_REQUEST,
            CloseReason.IDLE,
            CloseReason.HEADER_TIMEOUT,
            CloseReason.BODY_TIMEOUT,
            CloseReason.CLOSE_REQUESTED,
            CloseReason.SHUTDOWN,
        )
    )


def test_requests_read_after_the_close_are_rejected() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.begin_header(0.0)
    assert state.complete_header(keeps_alive=True)
    state.complete_request(0.0)
    assert state.shut_down() == []
    state.begin_header(0.1)
    assert not state.complete_header(keeps_alive=True)
    state.complete_request(0.1)
    assert state.complete_response(0.2) == [Action.BEGIN_NEXT_RESPONSE] and state.complete_response(0.3) == [
        Action.CLOSE
    ]


@pytest.mark.parametrize(
    ("behind", "action", "refusal"), [(0, Action.REJECT, REQUEST_TIMEOUT), (1, Action.REJECT, REQUEST_TIMEOUT)]
)
def test_an_incomplete_header_has_its_timeout_from_its_turn(behind: int, action: Action, refusal: int) -> None:
    state = ConnectionState(BOUNDS, 0.0)
    if behind:
        state.begin_header(0.0)
        state.complete_header(keeps_alive=True)
        state.complete_request(0.0)
    state.begin_header(1.0)
    if behind:
        assert state.deadline is None and state.check_deadline(100.0) == []
        assert state.complete_response(50.0) == []
    begun = 50.0 if behind else 1.0
    assert state.deadline == begun + BOUNDS.header_s
    assert (
        state.check_deadline(begun + 1.9) == []
        and state.check_deadline(begun + 2.0) == [action]
        and state.rejection_status == refusal
    )
    assert state.close_reason is CloseReason.HEADER_TIMEOUT and state.deadline is None


def test_a_body_has_its_timeout_from_its_latest_bytes() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.begin_header(0.0)
    state.complete_header(keeps_alive=True)
    assert state.receive_bytes(8.0, 10) == [] and state.deadline == 18.0
    assert state.check_deadline(18.0) == [Action.ABANDON_NEWEST, Action.REJECT] and state.outstanding == 0
    assert state.close_reason is CloseReason.BODY_TIMEOUT


def test_a_request_answered_before_it_was_complete_is_not_answered_twice() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.begin_header(0.0)
    state.complete_header(keeps_alive=True)
    assert state.complete_response(1.0) == [] and state.read_state is ReadState.BODY
    assert state.check_deadline(11.0) == [Action.CLOSE] and not state.rejection_status


def test_the_size_limit_of_a_header_counts_its_own_bytes() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.begin_header(0.0)
    assert state.receive_bytes(0.0, 60) == [] and state.receive_bytes(0.1, 40) == []
    assert state.receive_bytes(0.2, 1) == [Action.REJECT] and state.rejection_status == HEADER_FIELDS_TOO_LARGE
    state = ConnectionState(BOUNDS, 0.0)
    state.begin_header(0.0)
    state.complete_header(keeps_alive=True)
    state.complete_request(0.0)
    state.begin_header(0.0)  # behind a long body, in the same bytes
    assert state.receive_bytes(0.0, 5_000) == [] and state.header_bytes == 0
    assert state.receive_bytes(0.1, 101) == [] and state.outstanding == 1, "it is refused behind the claim"
    assert state.complete_response(0.2) == [Action.REJECT]


def test_longer_bounds_apply_to_present_idle_time_and_shorter_ones_to_the_next() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.update_bounds(ConnectionBounds(idle_s=60.0))
    assert state.deadline == 60.0
    state.update_bounds(ConnectionBounds(idle_s=1.0))
    assert state.deadline == 60.0
    state.begin_header(5.0)
    state.complete_header(keeps_alive=True)
    state.complete_request(5.0)
    state.complete_response(6.0)
    assert state.deadline == 7.0


def test_after_a_client_closes_nothing_is_accepted_or_timed() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.begin_header(0.0)
    state.complete_header(keeps_alive=True)
    state.abandon(CloseReason.CLIENT_CLOSED)
    assert (state.close_reason, state.is_accepting, state.deadline) == (CloseReason.CLIENT_CLOSED, False, None)
    assert state.reject(CloseReason.INVALID_REQUEST, BAD_REQUEST) == []
