"""The state of a server's connection: every order of requests, responses and closes, without sockets."""

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
MAX_STEPS = 8  # of an order
STEPS = (
    "first byte",
    "header",
    "last header",
    "complete request",
    "invalid bytes",
    "deadline",
    "begin response",
    "begin closing response",
    "response",
    "close request",
    "shutdown",
)


@dataclass
class SimulatedConnection:
    """A connection's state, with what its client would observe."""

    state: ConnectionState = field(default_factory=lambda: ConnectionState(BOUNDS, 0.0))
    now: float = 0.0
    read: int = 0  # requests whose header was read
    started: int = 0  # requests, in their order
    begun: int = 0  # responses, in the order of their requests
    completed: int = 0  # responses
    abandoned: int = 0  # requests
    last_action: Action | None = None  # REJECT or CLOSE, which closes the connection

    def is_possible(self, step: str) -> bool:
        """Return whether a step is possible now."""
        if step == "response":
            return self.begun > self.completed and self.last_action is None
        if step in ("begin response", "begin closing response"):
            return self.begun == self.completed < self.started and self.last_action is None
        if step in ("close request", "shutdown"):
            return self.last_action is None
        if not self.state.is_accepting or self.last_action is not None:
            return False
        read_state = self.state.read_state
        return {
            "first byte": read_state is ReadState.NOTHING,
            "header": read_state is ReadState.HEAD,
            "last header": read_state is ReadState.HEAD,
            "complete request": read_state is ReadState.BODY,
        }.get(step, True)

    def perform(self, step: str) -> None:
        """Perform a step, and check the invariants."""
        state, self.now = self.state, self.now + 1.0
        if step == "first byte":
            state.begin_header(self.now)
        elif step in ("header", "last header"):
            is_pipelined = state.outstanding > 0
            assert not state.has_announced_close, "nothing is read behind the close"
            state.complete_header(keeps_alive=step == "header")
            self.read += 1
            self.started += not is_pipelined  # uvicorn itself starts the first response
        elif step == "complete request":
            state.complete_request(self.now)
        elif step == "invalid bytes":
            self.act(state.reject(CloseReason.INVALID_REQUEST, BAD_REQUEST, self.is_newest_begun))
        elif step == "deadline":
            self.now = max(self.now, state.deadline or 0.0)
            self.act(state.check_deadline(self.now, self.is_newest_begun))
        elif step in ("begin response", "begin closing response"):
            self.begun += 1
            state.begin_response(asks_close=step == "begin closing response")
        elif step == "response":
            self.completed += 1
            self.act(state.complete_response(self.now))
        else:
            self.act(state.request_close() if step == "close request" else state.shut_down())
        self.check()

    @property
    def is_newest_begun(self) -> bool:
        """Whether the response to the latest request has started."""
        return self.begun == self.read - self.abandoned

    def act(self, actions: list[Action]) -> None:
        """Perform the state's actions."""
        for action in actions:
            assert self.last_action is None, "nothing follows the close"
            if action is Action.BEGIN_NEXT_RESPONSE:
                self.started += 1
            elif action is Action.ABANDON_NEWEST:
                self.abandoned += 1
                self.started = min(self.started, self.read - self.abandoned)
            else:
                self.last_action = action

    def check(self) -> None:
        """Check that responses start in order, one at a time, and that the connection closes after the last."""
        requests = self.read - self.abandoned
        assert self.state.outstanding == requests - self.completed
        assert self.started == min(self.completed + 1, requests), "only the first outstanding request is being answered"
        if self.last_action is not None:
            assert not self.state.outstanding, "it closes after the last response"
            assert self.last_action is not Action.REJECT or self.state.rejection_status
            assert self.last_action is not Action.REJECT or not self.state.has_announced_close
        elif not self.state.outstanding:
            assert self.state.close_reason is None and self.state.deadline is not None, (
                "an idle connection has a deadline"
            )


def orders(prefix: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """Yield all possible orders of steps, up to the maximum length."""
    connection = SimulatedConnection()
    for step in prefix:
        connection.perform(step)
    following = [step for step in STEPS if connection.is_possible(step)] if len(prefix) < MAX_STEPS else []
    if not following:
        yield prefix
    for step in following:
        yield from orders((*prefix, step))


def test_responses_go_out_in_order_and_the_connection_closes_after_the_last() -> None:
    counts = dict.fromkeys(CloseReason, 0)
    order_count = 0
    for order in orders():
        order_count += 1
        connection = SimulatedConnection()
        for step in order:
            connection.perform(step)
        if connection.state.close_reason is not None:
            counts[connection.state.close_reason] += 1
    assert order_count > 10_000
    assert all(
        counts[reason]
        for reason in (
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
    assert state.serves_requests
    state.complete_header(keeps_alive=True)
    state.complete_request(0.0)
    assert state.shut_down() == []
    state.begin_header(0.1)
    assert not state.serves_requests
    state.complete_header(keeps_alive=True)
    state.complete_request(0.1)
    assert state.complete_response(0.2) == [Action.BEGIN_NEXT_RESPONSE] and state.complete_response(0.3) == [
        Action.CLOSE
    ]


def test_only_a_response_with_nothing_behind_it_announces_the_close() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    for _ in range(2):
        state.begin_header(0.0)
        state.complete_header(keeps_alive=True)
        state.complete_request(0.0)
    assert not state.begin_response(asks_close=True) and state.is_accepting
    assert state.complete_response(0.1) == [Action.BEGIN_NEXT_RESPONSE]
    assert state.record_unparsed(True) == [] and not state.begin_response(asks_close=False)
    assert state.record_unparsed(False) == [] and state.begin_response(asks_close=False)
    assert not state.is_accepting and state.complete_response(0.2) == [Action.CLOSE]


def test_nothing_is_accepted_behind_the_request_with_which_a_client_asks_for_the_close() -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.begin_header(0.0)
    state.complete_header(keeps_alive=False)
    assert state.is_accepting, "its body may still arrive"
    state.complete_request(0.1)
    assert not state.is_accepting and state.begin_response(asks_close=False)
    assert state.complete_response(0.2) == [Action.CLOSE]


@pytest.mark.parametrize("asks_close", [True, False])
def test_the_rest_of_a_request_is_read_behind_its_early_response_and_then_nothing(asks_close: bool) -> None:
    state = ConnectionState(BOUNDS, 0.0)
    state.begin_header(0.0)
    state.complete_header(keeps_alive=True)
    assert state.begin_response(asks_close) is asks_close and state.is_accepting
    state.complete_request(0.1)
    assert state.is_accepting is not asks_close


@pytest.mark.parametrize(
    ("pipelined_after", "action", "status"), [(0, Action.REJECT, REQUEST_TIMEOUT), (1, Action.REJECT, REQUEST_TIMEOUT)]
)
def test_an_incomplete_header_has_its_timeout_from_its_turn(pipelined_after: int, action: Action, status: int) -> None:
    state = ConnectionState(BOUNDS, 0.0)
    if pipelined_after:
        state.begin_header(0.0)
        state.complete_header(keeps_alive=True)
        state.complete_request(0.0)
    state.begin_header(1.0)
    if pipelined_after:
        assert state.deadline is None and state.check_deadline(100.0) == []
        assert state.complete_response(50.0) == []
    waiting_since = 50.0 if pipelined_after else 1.0
    assert state.deadline == waiting_since + BOUNDS.header_s
    assert (
        state.check_deadline(waiting_since + 1.9) == []
        and state.check_deadline(waiting_since + 2.0) == [action]
        and state.rejection_status == status
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
    state.begin_header(0.0)  # after a long body, in the same chunk
    assert state.receive_bytes(0.0, 5_000) == [] and state.header_bytes == 0
    assert state.receive_bytes(0.1, 101) == [] and state.outstanding == 1, (
        "it is rejected after the outstanding response"
    )
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
