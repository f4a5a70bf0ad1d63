"""The work believed to wait at one instance, this head's and that of all others.

An engine reads prompts one at a time: the most urgent of those that wait comes next, in the order of arrival among
equals, and none is interrupted once it has begun. So a short request may wait for a long one of lower priority, and
that is what `begin` tells.

All times are microseconds on the caller's clock.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from dataclasses import dataclass

REMEMBERED = 32  # jobs taken to be begun that are kept, to put back those that were not
MIN_SAMPLE_US = 1_000.0  # a job takes at least that: less is an error of clocks
FRESH_US = 500_000.0  # a report is so old at most: what was placed since may not be in it
PHANTOM_PRIORITY = 9  # of work that an engine reports and nobody told of


@dataclass(slots=True, eq=False)
class Job:
    """One request's work at the instance."""

    priority: int  # 0 first
    spent_us: float  # what it takes of the instance's time
    arrived_us: float
    number: int = 0  # by which heads tell each other that it is done; 0 where nobody will
    units: float = 0.0


def _priority(job: Job) -> int:
    return job.priority


class WorkQueue:
    """The queue of one instance, played forward as time passes."""

    def __init__(self) -> None:
        self.free_us = 0.0  # when the job under way ends
        self.waiting: list[Job] = []  # by priority, then by arrival
        self.begun: deque[Job] = deque(maxlen=REMEMBERED)
        self.done_us = 0.0  # end of the last job that is known to be done

    def _advance(self, now_us: float) -> None:
        """Begin the jobs that the instance should have come to by now."""
        while self.waiting and self.free_us <= now_us:
            job = self.waiting.pop(0)
            self.free_us = max(self.free_us, job.arrived_us) + job.spent_us
            self.begun.append(job)

    def add(self, now_us: float, priority: int, spent_us: float, number: int = 0, units: float = 0.0) -> Job:
        """A request was sent there."""
        self._advance(now_us)
        job = Job(priority, spent_us, now_us, number, units)
        insort(self.waiting, job, key=_priority)
        self._advance(now_us)
        return job

    def begin(self, now_us: float, priority: int) -> float:
        """Tell when another request of a priority would be begun."""
        self._advance(now_us)
        ahead = sum(job.spent_us for job in self.waiting if job.priority <= priority)
        return max(self.free_us, now_us) + ahead

    def drop(self, job: Job) -> None:
        """A request will not be worked on; one that was begun is not interrupted."""
        if job in self.waiting:
            self.waiting.remove(job)

    def find(self, number: int) -> Job | None:
        """Find a job by its number."""
        return next((job for job in (*self.begun, *self.waiting) if job.number == number), None)

    def spent_us(self, job: Job, ended_us: float) -> float:
        """Tell the time that the instance spent on a job that has just ended: since the one before it ended."""
        return max(MIN_SAMPLE_US, ended_us - max(self.done_us, job.arrived_us))

    def finish(self, now_us: float, job: Job, ended_us: float) -> None:
        """Correct the queue by the end of a job.

        Of the jobs reckoned to come before it, all are taken to be done; of those behind it, none is.
        """
        self._advance(now_us)
        self.done_us = max(self.done_us, ended_us)
        if job in self.waiting:
            del self.waiting[: self.waiting.index(job) + 1]
            self.free_us = ended_us
        elif job in self.begun:
            behind = list(self.begun)[self.begun.index(job) + 1 :]
            self.begun = deque(behind, maxlen=REMEMBERED)
            self.free_us = ended_us + sum(one.spent_us for one in behind)
        self._advance(now_us)

    def reported(self, now_us: float, waiting: int, mean_us: float) -> None:
        """Correct the queue by the number of requests that the instance reports as waiting.

        A longer queue loses its oldest jobs first, never those that are too new to be in the report; a shorter one is
        filled with jobs of mean size and least priority. One job more than reported is left: the one under way.
        """
        self._advance(now_us)
        old = [job for job in self.waiting if now_us - job.arrived_us > FRESH_US]
        surplus = len(old) - waiting - 1
        for job in old[: max(0, surplus)]:
            self.waiting.remove(job)
        if not waiting and not self.waiting:
            self.free_us = min(self.free_us, now_us + mean_us)
        for _ in range(waiting - len(self.waiting) - 1):
            self.waiting.append(Job(PHANTOM_PRIORITY, mean_us, now_us))
        self._advance(now_us)
