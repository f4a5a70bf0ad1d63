"""The steady clock of tests: work and waits count, stalls do not."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.stand_in import Backend, headers, run, world
from tests.steady import LONGEST_STEP_S, SteadyClock, run_steadily
from tests.test_net import READ


def test_a_stall_between_two_looks_counts_as_one_step() -> None:
    now = 100.0
    clock = SteadyClock(lambda: now)
    now += 0.01
    assert clock.seconds() == pytest.approx(100.01)
    now += 5.0
    assert clock.seconds() == pytest.approx(100.01 + LONGEST_STEP_S)
    now += 0.3
    clock.pass_by(0.25)  # a wait of a quarter of a second that ended late
    assert clock.nanoseconds() == pytest.approx((100.26 + LONGEST_STEP_S) * 1e9)


def test_a_loop_on_it_keeps_its_timers_and_all_code_reads_it(monkeypatch: pytest.MonkeyPatch) -> None:
    real = time.monotonic

    async def main() -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        since, real_since, fired = loop.time(), real(), loop.create_future()
        loop.call_later(0.1, lambda: fired.set_result(time.monotonic() - since))
        return await fired, real() - real_since

    passed, real_passed = run_steadily(main(), monkeypatch)
    assert 0.1 <= passed < 0.1 + 3 * LONGEST_STEP_S
    assert real_passed >= passed - LONGEST_STEP_S


def test_a_head_whose_process_stands_still_refuses_nothing_on_it() -> None:
    """By the machine's clock, five of twelve such runs failed: 503 for a request whose 750 ms were over."""

    async def main() -> list[int]:
        async with world(Backend(0)) as made:
            wire = await made.wire(await made.head())
            statuses = []
            for number in range(12):
                wire.send(READ, headers(number))
                await asyncio.sleep(0)
                time.sleep(0.4)
                statuses.append((await wire.receive())[0])
            return statuses

    assert set(run(main())) == {404}
