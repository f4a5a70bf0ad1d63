"""The estimated queue of one instance: the jobs of this head and of all others.

An engine reads prompts one at a time: the queued one of the highest priority comes next, in the order of arrival among
equals, without preemption. So a short request may wait for a long one of lower priority; `start_at_us` takes account
of that.

All times are microseconds on the caller's clock.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from dataclasses import dataclass

MAX_STARTED_JOBS = 32  # of those believed to have started, stored to correct the estimate
MIN_SAMPLE_US = 1_000.0  # a shorter service time is an error of clocks
MAX_REPORT_AGE_US = 500_000.0  # jobs placed more recently may be missing in a report
MAX_PHANTOM_JOBS = 256  # in one queue: by then no request is placed there, and each costs time and memory
PHANTOM_PRIORITY = 9  # of jobs that an engine reports and no head placed


@dataclass(slots=True, eq=False)
class Job:
    """One request's work at an instance."""

    priority: int  # 0 first
    service_us: float  # its service time
    arrived_at_us: float
    job_id: int = 0  # by which heads report that it is done; 0 where none will
    units: float = 0.0


def _priority(job: Job) -> int:
    return job.priority


class WorkQueue:
    """The queue of one instance, simulated forward as time passes."""

    def __init__(self) -> None:
        self.free_at_us = 0.0  # when the running job ends
        self.queued: list[Job] = []  # by priority, then by arrival
        self.started: deque[Job] = deque(maxlen=MAX_STARTED_JOBS)
        self.last_done_at_us = 0.0  # end of the latest job that is known to be done

    def _advance(self, now_us: float) -> None:
        """Start the jobs that the instance should have started by now."""
        while self.queued and self.free_at_us <= now_us:
            job = self.queued.pop(0)
            self.free_at_us = max(self.free_at_us, job.arrived_at_us) + job.service_us
            self.started.append(job)

    def add(self, now_us: float, priority: int, service_us: float, job_id: int = 0, units: float = 0.0) -> Job:
        """Queue a job that was sent to the instance."""
        self._advance(now_us)
        job = Job(priority, service_us, now_us, job_id, units)
        insort(self.queued, job, key=_priority)
        self._advance(now_us)
        return job

    def start_at_us(self, now_us: float, priority: int) -> float:
        """Return when a new job of a priority would start."""
        self._advance(now_us)
        ahead = sum(job.service_us for job in self.queued if job.priority <= priority)
        return max(self.free_at_us, now_us) + ahead

    def drop(self, job: Job) -> None:
        """Remove a job that will not be executed; one that has started is not interrupted."""
        if job in self.queued:
            self.queued.remove(job)

    def find(self, job_id: int) -> Job | None:
        """Return a job by its identifier."""
        return next((job for job in (*self.started, *self.queued) if job.job_id == job_id), None)

    def service_us(self, job: Job, ended_at_us: float) -> float:
        """Return the service time of a job that has just ended: since the end of the one before it, or its arrival."""
        return max(MIN_SAMPLE_US, ended_at_us - max(self.last_done_at_us, job.arrived_at_us))

    def finish(self, now_us: float, job: Job, ended_at_us: float) -> None:
        """Correct the queue by the end of a job.

        All jobs estimated to come before it count as done, and none of those behind it.
        """
        self._advance(now_us)
        self.last_done_at_us = max(self.last_done_at_us, ended_at_us)
        if job in self.queued:
            del self.queued[: self.queued.index(job) + 1]
            self.free_at_us = ended_at_us
        elif job in self.started:
            later = list(self.started)[self.started.index(job) + 1 :]
            self.started = deque(later, maxlen=MAX_STARTED_JOBS)
            self.free_at_us = ended_at_us + sum(later_job.service_us for later_job in later)
        self._advance(now_us)

    def apply_queue_length(self, now_us: float, queued_count: int, mean_us: float) -> None:
        """Correct the queue by the number of requests that the instance reports as waiting.

        A longer queue loses its oldest jobs first, never those that are too new to be in the report; a shorter one is
        filled with jobs of mean size and the lowest priority, up to MAX_PHANTOM_JOBS of them. One job more than
        reported remains: the running one.
        """
        self._advance(now_us)
        reportable = [job for job in self.queued if now_us - job.arrived_at_us > MAX_REPORT_AGE_US]
        surplus = len(reportable) - queued_count - 1
        for job in reportable[: max(0, surplus)]:
            self.queued.remove(job)
        if not queued_count and not self.queued:
            self.free_at_us = min(self.free_at_us, now_us + mean_us)
        missing = queued_count - len(self.queued) - 1
        for _ in range(min(missing, MAX_PHANTOM_JOBS - len(self.queued))):
            self.queued.append(Job(PHANTOM_PRIORITY, mean_us, now_us))
        self._advance(now_us)
