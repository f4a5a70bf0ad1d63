"""Rules REFUSED and TWICE: what a client is told has not run, or takes as unread, has not run."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from loguru import logger

from hophinge.fleet.forwarding.completed_requests import CompletedRequest, promises_not_executed
from hophinge.fleet.forwarding.trace import Attempt
from hophinge.fleet.placement.plan import Forecast
from hophinge.fleet.transport.server import HttpServer
from tests.attempt_histories import AttemptHistory
from tests.connection_histories import ConnectionHistory
from tests.connection_wire import CHUNKED, FIRST, Wire, played, settle

SEEDS = 300  # of each group
FORECAST = Forecast(0.0, 0.0, 0.0, False)
ATTEMPT_SEEDS = 2_000
MIN_SHARE = 0.02  # of the histories, in which each case occurs


async def _play(seed: int) -> ConnectionHistory:
    history = ConnectionHistory(seed)
    await history.play()
    return history


@pytest.mark.parametrize("first", range(0, 10 * SEEDS, SEEDS))
def test_in_random_orders_nothing_runs_that_was_rejected_or_stands_behind_a_close(first: int) -> None:
    seen: Counter[str] = Counter()
    for seed in range(first, first + SEEDS):
        history = asyncio.run(_play(seed))
        assert not history.findings(), (seed, history.findings())
        responses = history.responses()
        seen["rejected"] += any(response.status in (408, 503) for response in responses)
        seen["closed"] += any(response.closes for response in responses)
        seen["unread"] += any(response.closes for response in responses) and len(responses) < len(history.kinds)
        seen["failed"] += any(response.status == 500 for response in responses)
        seen["several ran"] += len(history.started) > 1
    assert all(seen[case] > MIN_SHARE * SEEDS for case in ("rejected", "closed", "unread", "failed", "several ran")), (
        seen
    )


def test_whatever_instances_do_a_request_runs_once_at_most_and_not_at_all_where_its_client_is_told_so() -> None:
    seen: Counter[str] = Counter()
    for seed in range(ATTEMPT_SEEDS):
        history = AttemptHistory(seed)
        history.play()
        assert not history.findings(), (seed, history.findings(), history.route.route_type)
        seen["rejected after a send"] += promises_not_executed(history.status) and history.sends > 0
        seen["several sends"] += history.sends > 1
        seen["no promise"] += history.status in (502, 504)
        seen["answered"] += history.is_answered
    assert min(seen.values()) > MIN_SHARE * ATTEMPT_SEEDS and len(seen) == 4, seen


# Guards against a second run of a request whose route has become unsafe since it arrived (rule TWICE).
def test_nothing_runs_again_once_the_route_in_force_is_not_idempotent() -> None:
    seen: Counter[str] = Counter()
    for seed in range(ATTEMPT_SEEDS):
        history = AttemptHistory(seed, is_changing=True)
        history.play()
        assert not history.findings(), (seed, history.findings(), history.route.route_type)
        seen["changed"] += history.current_route is not history.route
        seen["ran again"] += history.runs > 1
    assert min(seen.values()) > MIN_SHARE * ATTEMPT_SEEDS and len(seen) == 2, seen


def test_a_line_of_the_log_tells_each_send_outcome_and_promise_of_a_request() -> None:
    attempts = (
        Attempt("", "i-1", 0.001, 0.0, FORECAST, 0.02, "REFUSED"),
        Attempt("decode", "i-2", 0.03, 0.0, FORECAST, None, ""),
    )
    rejected = CompletedRequest("q-1", "127.0.0.1:5", 503, "refused 503", "r1", "unsafe", attempts)
    assert rejected.event() == (
        "request completed request=q-1 client=127.0.0.1:5 route=r1 type=unsafe"
        " attempts=plain@i-1:0.001-0.020:REFUSED,decode@i-2:0.030-: status=503 promise=not-executed reason=refused 503"
    )
    unread = CompletedRequest.without_attempts([], None, 0, "client left")
    assert unread.event().endswith("attempts=- status=0 promise=none reason=client left")
    assert [status for status in range(200, 600) if promises_not_executed(status)] == [408, 421, 429, 503]


def test_a_request_that_is_rejected_in_turn_is_logged_with_its_promise() -> None:
    events: list[str] = []

    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST)
        assert wire.connection is not None
        wire.connection.shutdown()
        await wire.feed(CHUNKED.replace(b"host: a", b"host: a\r\nHophinge-Request-Id: q-2"))
        wire.go_on["/first"].set()
        await settle()

    sink = logger.add(events.append, format="{message}")
    played(play)
    logger.remove(sink)
    assert any("request=q-2 " in event and "status=503 promise=not-executed" in event for event in events), events


# Guards against requests that run though their client takes them as unread and tries them again (rule TWICE).
def test_only_the_last_response_announces_the_close_and_nothing_behind_it_is_started() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST + CHUNKED)
        assert wire.connection is not None
        wire.connection.shutdown()
        wire.go_on["/first"].set()
        await settle()
        assert wire.begun == ["/first", "/chunked"], "it was read before the close was announced"
        await wire.feed(FIRST)
        wire.go_on["/chunked"].set()
        await settle()
        assert wire.begun == ["/first", "/chunked"], "nothing is started behind the close"
        assert wire.statuses() == [200, 200] and wire.pipe.written.count(b"connection: close") == 1
        assert wire.pipe.written.rindex(b"connection: close") > wire.pipe.written.index(b"end")

    played(play)


# Guards against a reset in place of a response: a close with unread bytes resets the connection (rule TWICE).
def test_behind_a_response_that_announces_the_close_the_client_is_read_on() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        assert wire.connection is not None
        await wire.feed(FIRST[:-1])
        wire.connection.shutdown()
        await wire.feed(FIRST[-1:])
        assert wire.pipe.eof and not wire.pipe.closed and not wire.pipe.paused
        await wire.feed(FIRST)
        assert wire.begun == ["/first"] and wire.statuses() == [200]

    played(play)


def test_a_process_that_exits_starts_no_waiting_request() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST + CHUNKED)
        assert wire.connection is not None
        wire.connection.stop()
        wire.go_on["/first"].set()
        await settle()
        assert wire.begun == ["/first"] and wire.statuses() == [200]

    played(play)


def test_what_a_client_sends_behind_its_own_close_is_ignored() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        closing = FIRST.replace(b"host: a", b"host: a\r\nconnection: close")
        await wire.feed(closing + CHUNKED)
        assert wire.begun == ["/first"] and wire.statuses() == [200] and wire.pipe.eof
        assert wire.pipe.written.count(b"connection: close") == 1

    played(play)
