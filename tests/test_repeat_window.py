"""A keyed request's window for repeats, which may be shorter than a connect: what still goes, what is promised."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest
from aiohttp import web
from msgspec import structs

from hophinge.core.exchange import AttemptResult
from hophinge.core.interface import DedupScope, Effect, Fail, Refuse, Result, Send, StreamStarted
from tests.stand_in import Backend, headers, run, setup, until, world
from tests.test_choice import KEYED, MS, SETTINGS, T0, Gateway, ask, end, finals, klass
from tests.test_exchange import Desk
from tests.test_keys import WRITE
from tests.test_net_connects import late

WINDOW = 1000 * MS  # of the classes in tests/gateways.py
ALL = replace(SETTINGS, classes=(*SETTINGS.classes[:1], replace(klass(Effect.KEYED), scope=DedupScope.ALL)))


class Shifted:
    """A head's clock that the test moves ahead of the system's."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock, self.ahead = clock, 0

    def __call__(self) -> int:
        return self.clock() + self.ahead


@pytest.mark.parametrize("group", ["cell", "all"])
@pytest.mark.parametrize("ahead_ms", [0, 20_000])
def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_written(
    group: str, ahead_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first attempt was reset and may have run; the second left in time, its connect came up too late."""

    async def main() -> None:
        async with world(Backend(0)) as made:
            settings = setup()
            settings["RequestClasses"][1].update(
                Effect="token", Group=group, DedupWindowUs=20_000_000, DeadlineUs=60_000_000
            )
            service, gate, backend = await made.head(settings=settings), asyncio.Event(), made.backends[0]
            clock = service.exchange.now_us = Shifted(service.exchange.now_us)
            service.backends.pool.connect_timeout_s = 60.0  # whatever else the machine does, no limit cuts the wait
            service.backends.pool.estimate.hedge_credit = -1000.0  # no connects beside late ones
            begun = late(monkeypatch, service.backends.connector, gate, {1})

            async def lost(request: web.BaseRequest, _: bytes) -> web.Response | None:
                if len(backend.seen) == 1 and request.transport is not None:
                    request.transport.abort()
                return None

            backend.behave = lost
            wire = await made.wire(service)
            wire.send(WRITE, headers(1, Idempotency_Key="a", X_Remaining_Ms="50000"), "PUT", b"x")
            await until(lambda: len(begun) == 2)  # the repeat has left the module, and waits for its connection
            clock.ahead = ahead_ms * MS
            gate.set()
            assert (await wire.receive())[0] == (502 if ahead_ms else 200)
            assert len(backend.seen) == (1 if ahead_ms else 2)
            assert service.counters.counts["attempts_moot"] == (1 if ahead_ms else 0)

    run(main())


def test_a_first_attempt_is_bound_by_no_window() -> None:
    gate = Gateway()
    (first,) = [one for one in gate.at(0, ask("a", kind=KEYED)) if isinstance(one, Send)]
    assert first.until_us == 0


def test_a_repeat_bears_the_end_of_the_window_that_began_with_what_may_have_run() -> None:
    """What never ran opens no window; what was refused after a reset changes none."""
    gate = Gateway()
    gate.at(0, ask("a", kind=KEYED))
    ends = []
    for attempt, result in enumerate((Result.CONNECT_FAILED, Result.RESET)):
        again = gate.at(10 * MS, end("a", result, attempt=attempt)) + gate.run(400 * MS)
        ends += [one.until_us for one in again if isinstance(one, Send)]
    second_at = gate.scheduler.requests["a"].may_have_run_since
    assert ends == [0, second_at + WINDOW - SETTINGS.tick_us] and second_at > T0


def test_an_attempt_may_not_go_from_the_end_of_its_window_on() -> None:
    desk = Desk()
    desk.arrive("a")
    desk.loop.advance(0)
    (attempt,) = desk.out
    attempt.write_before = desk.loop.now + 10 * MS
    desk.loop.advance(9 * MS)
    assert attempt.may_send()
    desk.loop.advance(1 * MS)
    assert not attempt.may_send()
    attempt.end(AttemptResult(Result.MOOT))


@pytest.mark.parametrize(
    ("after_ms", "keyless", "refused"),
    [(900, False, True), (1000, False, False), (1500, False, False), (900, True, False)],
)
@pytest.mark.parametrize("result", [Result.RESET, Result.TIMEOUT, Result.ERROR])
def test_a_refusal_after_what_may_have_run_promises_no_more_than_the_window_does(
    after_ms: int, keyless: bool, refused: bool, result: Result
) -> None:
    """Bricks drop a repeat by its key and within the window alone: beyond, trying again is not harmless."""
    gate = Gateway(replace(ALL, allowed=replace(ALL.allowed, attempts=1)))
    gate.at(0, structs.replace(ask("a", kind=KEYED), keyless=keyless))
    (answer,) = finals(gate.at(after_ms * MS, end("a", result)))
    assert isinstance(answer, Refuse if refused else Fail)


def test_a_refusal_does_not_call_its_client_back_after_the_window() -> None:
    """A client told to come back later comes back as the module says, however short the window is."""
    allowed = replace(ALL.allowed, attempts=1, retry_after_us=600 * MS)
    gate = Gateway(replace(ALL, allowed=allowed))
    gate.at(0, ask("a", kind=KEYED), ask("b", kind=KEYED, shard=1))
    assert finals(gate.at(300 * MS, end("a", Result.RESET))) == [Refuse("a", 600 * MS)]
    assert finals(gate.at(200 * MS, end("b", Result.RESET, "n1"))) == [Fail("b")]


def test_what_is_still_out_at_the_end_of_its_time_counts_from_its_sending() -> None:
    gate = Gateway(ALL)
    gate.at(0, ask("a", kind=KEYED), ask("b", kind=KEYED, shard=1, time_left=500 * MS))  # the first is out for 2 s
    assert finals(gate.run(2100 * MS)) == [Refuse("b", 0), Fail("a")]


def test_a_body_that_broke_off_on_its_way_keeps_its_window() -> None:
    gate = Gateway(ALL)
    gate.at(0, ask("a", kind=KEYED), ask("b", kind=KEYED, shard=1))
    gate.at(0, StreamStarted("a", 0, upward=True), StreamStarted("b", 0, upward=True))
    assert finals(gate.at(100 * MS, end("a", Result.RESET))) == [Refuse("a", 0)]
    assert finals(gate.at(WINDOW, end("b", Result.RESET, "n1"))) == [Fail("b")]
