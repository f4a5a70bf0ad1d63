"""The retry budget of all heads together, over restarts and while they do not know each other yet.

Guards against heads that start at once and each claim the whole slack while they know only themselves: on a simulated
day all 63 heads lost power, and then sent 723 extra attempts in 10 s, where 441 were allowed.
"""

from __future__ import annotations

from random import Random

import pytest

from hophinge.fleet.forwarding.budget import RetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 60.0, 10.0
STEP_S = 0.25
LENGTH_S = 45.0
HEADS = 12
KNOWN_S = 2.0  # the latest time after its start at which a head is known to the others
COUNTED_S = 3.0  # from a start until a head counts the others


class Head:
    """A head that retries as often as its budget allows."""

    def __init__(self, now: float) -> None:
        self.budget = RetryBudget(RATIO, SLACK, WINDOW_S, now)
        self.started = now
        self.max_heads = 0  # known at once


def max_excess(requests: list[float], extras: list[float]) -> float:
    """Return by how many attempts the worst window exceeds the budget, as the operators count it."""

    def within(times: list[float], begin: float) -> int:
        return sum(begin <= at < begin + WINDOW_S for at in times)

    worst = float("-inf")
    for begin in sorted(set(extras)):
        counted = max(
            within(requests, begin), within(requests, begin - WINDOW_S), within(requests, begin - WINDOW_S / 2)
        )
        worst = max(worst, within(extras, begin) - (RATIO * counted + SLACK))
    return worst


def play(seed: int, restarts: int) -> tuple[float, int]:
    """Simulate heads that restart at random times, some or all; return the largest excess and the extra attempts."""
    random = Random(seed)
    heads = [Head(-WINDOW_S) for _ in range(HEADS)]
    restart_all = random.random() < 0.5
    restart_times = sorted(random.uniform(5.0, LENGTH_S) for _ in range(restarts))
    requests: list[float] = []
    extras: list[float] = []
    for tick in range(int(LENGTH_S / STEP_S)):
        now = tick * STEP_S
        while restart_times and restart_times[0] <= now:
            restart_times.pop(0)
            for number in range(HEADS):
                if restart_all or random.random() < 0.3:
                    heads[number] = Head(now)
        known = sum(now - head.started > KNOWN_S for head in heads)
        for head in heads:
            if random.random() < 0.5:
                requests.append(now)
                head.budget.record_request(now)
            if now - head.started >= COUNTED_S:
                head.max_heads = max(head.max_heads, known)
            while head.budget.allows_extra_attempt(now, head.max_heads):
                head.budget.record_extra_attempt(now)
                extras.append(now)
    return max_excess(requests, extras), len(extras)


@pytest.mark.parametrize("restarts", [0, 1, 3, 8])
def test_restarted_heads_spend_no_share_that_others_may_have_spent(restarts: int) -> None:
    for seed in range(40):
        excess, extras = play(seed, restarts)
        assert excess <= 0.0, f"seed {seed}: {excess:.0f} attempts more than allowed"
        assert extras > 50, "the budget is used"


def test_a_started_head_gets_its_share_of_the_slack_in_steps() -> None:
    budget = RetryBudget(RATIO, SLACK, WINDOW_S, 100.0)
    assert not budget.allows_extra_attempt(100.0, 0)
    for _ in range(10):
        budget.record_request(101.0)
    assert budget.allows_extra_attempt(101.0, 0), "the share by its requests"
    for begin, extras in ((103.0, 1), (110.5, 4)):
        budget = RetryBudget(RATIO, SLACK, WINDOW_S, 100.0)
        spent = 0
        while budget.allows_extra_attempt(begin, 12):
            budget.record_extra_attempt(begin)
            spent += 1
        assert spent == extras


def test_records_are_dropped_after_the_window_even_without_retries() -> None:
    """Guards against a record kept for each request since the last extra attempt: memory would grow for days."""
    budget = RetryBudget(RATIO, SLACK, WINDOW_S, 0.0)
    for number in range(10_000):
        budget.record_request(number * STEP_S)
    assert len(budget.requests) <= WINDOW_S / STEP_S + 1
