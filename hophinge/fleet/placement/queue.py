"""The estimated queue of one instance: the jobs of this head and of all other heads.

An engine prefills one prompt at a time: next comes the queued prompt of the highest priority, in order of arrival among
equals, without preemption. So a short request may wait for a long running job of lower priority; `start_at_us`
includes that wait.

All times are microseconds on the caller's clock.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from dataclasses import dataclass

MAX_STARTED_JOBS = 32  # jobs estimated to have started, kept to correct the estimate
MIN_SAMPLE_US = 1_000.0  # a shorter measured service time comes from clock differences
MAX_REPORT_AGE_US = 500_000.0  # of a report: it may miss jobs that were placed more recently
MAX_PHANTOM_JOBS = 256  # in one queue: with so many no request is placed there, and each costs time and memory
PHANTOM_PRIORITY = 9  # of jobs that an engine reports and that no head is known to have placed


@dataclass(slots=True, eq=False)
class Job:
    """The work of one request at an instance."""

    priority: int  # 0 is the highest
    service_us: float
    arrived_at_us: float
    job_id: int = 0  # by which heads announce its end; 0 if none will
    units: float = 0.0


def _priority(job: Job) -> int:
    return job.priority


class WorkQueue:
    """The queue of one instance, simulated forward as time passes."""

    def __init__(self) -> None:
        self.free_at_us = 0.0  # when the running job ends
        self.queued: list[Job] = []  # by priority, then by arrival
        self.started: deque[Job] = deque(maxlen=MAX_STARTED_JOBS)
        self.last_done_at_us = 0.0  # end of the latest job that is known to have finished

    def _advance(self, now_us: float) -> None:
        """Move the jobs that the instance should have started by now to the started ones."""
        while self.queued and self.free_at_us <= now_us:
            job = self.queued.pop(0)
            self.free_at_us = max(self.free_at_us, job.arrived_at_us) + job.service_us
            self.started.append(job)

    def add(self, now_us: float, priority: int, service_us: float, job_id: int = 0, units: float = 0.0) -> Job:
        """Add a job that was sent to the instance."""
        self._advance(now_us)
        job = Job(priority, service_us, now_us, job_id, units)
        insort(self.queued, job, key=_priority)
        self._advance(now_us)
        return job

    def start_at_us(self, now_us: float, priority: int) -> float:
        """Return the time at which a new job of a priority would start."""
        self._advance(now_us)
        ahead = sum(job.service_us for job in self.queued if job.priority <= priority)
        return max(self.free_at_us, now_us) + ahead

    def drop(self, job: Job) -> None:
        """Remove a job that will not be executed; one that has started is not interrupted."""
        if job in self.queued:
            self.queued.remove(job)

    def find(self, job_id: int) -> Job | None:
        """Return the job with an identifier, or None if it is not known."""
        return next((job for job in (*self.started, *self.queued) if job.job_id == job_id), None)

    def service_us(self, job: Job, ended_at_us: float) -> float:
        """Return the service time of a job that has just ended: since the last job's end, or its own later arrival."""
        return max(MIN_SAMPLE_US, ended_at_us - max(self.last_done_at_us, job.arrived_at_us))

    def finish(self, now_us: float, job: Job, ended_at_us: float) -> None:
        """Correct the estimate at the end of a job.

        All jobs estimated to run before it count as done, and none of those after it.
        """
        self._advance(now_us)
        self.last_done_at_us = max(self.last_done_at_us, ended_at_us)
        if job in self.queued:
            del self.queued[: self.queued.index(job) + 1]
            self.free_at_us = ended_at_us
        elif job in self.started:
            later_jobs = list(self.started)[self.started.index(job) + 1 :]
            self.started = deque(later_jobs, maxlen=MAX_STARTED_JOBS)
            self.free_at_us = ended_at_us + sum(later_job.service_us for later_job in later_jobs)
        self._advance(now_us)

    def apply_queue_length(self, now_us: float, queued_count: int, mean_us: float) -> None:
        """Correct the estimate by the number of requests that the instance reports as waiting.

        If the estimated queue is longer, its first jobs are removed, except those that are too new to be in the report.
        One job more than reported remains: the running one. If the queue is shorter by more than one job, jobs of mean
        size and the lowest priority are added until it is one job shorter, up to a length of MAX_PHANTOM_JOBS.
        """
        self._advance(now_us)
        reportable = [job for job in self.queued if now_us - job.arrived_at_us > MAX_REPORT_AGE_US]
        excess_count = len(reportable) - queued_count - 1
        for job in reportable[: max(0, excess_count)]:
            self.queued.remove(job)
        if not queued_count and not self.queued:
            self.free_at_us = min(self.free_at_us, now_us + mean_us)
        missing_count = queued_count - len(self.queued) - 1
        for _ in range(min(missing_count, MAX_PHANTOM_JOBS - len(self.queued))):
            self.queued.append(Job(PHANTOM_PRIORITY, mean_us, now_us))
        self._advance(now_us)
