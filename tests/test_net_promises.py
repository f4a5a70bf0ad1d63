"""Rules REFUSED and TWICE at a head in service: what clients are told has not run, or take as unread, has not run."""

from __future__ import annotations

import asyncio
from collections import Counter

from tests.service_connection_histories import REFUSED, ServiceHistory
from tests.stand_in import run_in_real_time

SEEDS = 30
SIDE_BY_SIDE = 10
CASES = ("refused", "answered", "failed", "rejected", "closed", "unread")


def _cases(history: ServiceHistory) -> Counter[str]:
    """Count what happened to requests of a history."""
    seen: Counter[str] = Counter()
    for client in history.clients:
        statuses = [status for status, _ in client.answers]
        closes = any(closes for _, closes in client.answers)
        seen["refused"] += sum(status in REFUSED for status in statuses)
        seen["answered"] += statuses.count(200)
        seen["failed"] += statuses.count(502)
        seen["rejected"] += sum(400 <= status < 500 for status in statuses)
        seen["closed"] += closes
        seen["unread"] += closes and len(client.answers) < len(client.requests)
    return seen


def test_in_random_orders_nothing_runs_that_was_refused_or_stands_behind_a_close() -> None:
    seen: Counter[str] = Counter()

    async def main() -> None:
        for first in range(0, SEEDS, SIDE_BY_SIDE):
            histories = {seed: ServiceHistory(seed) for seed in range(first, first + SIDE_BY_SIDE)}
            await asyncio.gather(*(history.play() for history in histories.values()))
            for seed, history in histories.items():
                assert not history.findings(), (seed, history.findings())
                seen.update(_cases(history))

    run_in_real_time(main())
    assert all(seen[case] for case in CASES), seen
