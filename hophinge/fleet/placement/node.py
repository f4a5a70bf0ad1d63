"""One instance as a head observes it: requests in flight, queue, prefix cache and failures."""

from __future__ import annotations

from collections import OrderedDict

from hophinge.core.choice.node_state import NodeState
from hophinge.core.interface.nodes import NodeEntry, Phase
from hophinge.fleet.placement.hints import EngineReport
from hophinge.fleet.placement.prompt import Prompt, PromptSegment
from hophinge.fleet.placement.queue import WorkQueue
from hophinge.fleet.placement.surplus_rate import SurplusRate
from hophinge.fleet.registry.instance import LOST, READY, Instance

MICROSECONDS = 1_000_000
BASE_EJECTION_S = 0.15  # after a failure; doubles with each further one
MAX_EJECTION_S = 2.4
SUSPICION_EJECTION_S = 0.7  # of an instance that did not answer another head
SUSPICION_IMMUNITY_S = 0.3  # an instance that answered here so lately is not suspected
LIVENESS_EVIDENCE_S = 5.0  # an answer here so lately shows that an instance is live
FREE_ADMISSION_FRACTION = 0.6  # of its memory, up to which an instance admits requests without a wait
FULL_MEMORY_WAIT_US = 3_000_000.0  # expected wait for memory, for each multiple of it that is used beyond that
QUEUED_REQUEST_WAIT_US = 40_000.0  # expected wait for each request that is queued there


class PrefixCache:
    """The prompt segments that an instance is believed to have cached, least recently used first."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.used_tokens = 0
        self.segments: OrderedDict[str, int] = OrderedDict()
        self.pending_jobs: dict[str, int] = {}  # by segment that is not read yet: the job that will read it

    def insert(self, segments: tuple[PromptSegment, ...]) -> None:
        """Insert segments, and evict the least recently used ones where they do not fit."""
        for segment, tokens in segments:
            self.used_tokens += tokens - self.segments.pop(segment, 0)
            self.segments[segment] = tokens
        while self.used_tokens > self.capacity_tokens and len(self.segments) > len(segments):
            segment, tokens = self.segments.popitem(last=False)
            self.pending_jobs.pop(segment, None)
            self.used_tokens -= tokens

    def insert_pending(self, segments: tuple[PromptSegment, ...], job_id: int) -> None:
        """Insert segments that a job is going to read."""
        new_segments = [segment for segment, _ in segments if segment not in self.segments]
        self.insert(segments)
        self.pending_jobs.update((segment, job_id) for segment in new_segments if segment in self.segments)

    def confirm(self, job_id: int) -> None:
        """Record that a job has read its segments."""
        self.pending_jobs = {segment: reader for segment, reader in self.pending_jobs.items() if reader != job_id}

    def cancel(self, job_id: int) -> None:
        """Remove the segments that a job will not read, unless they were cached before."""
        for segment in [segment for segment, reader in self.pending_jobs.items() if reader == job_id]:
            del self.pending_jobs[segment]
            self.used_tokens -= self.segments.pop(segment, 0)

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return how many of a prompt's first tokens are cached."""
        cached = 0
        for segment, tokens in prompt.segments:
            if segment not in self.segments:
                break
            cached += tokens
        return cached


class Node:
    """An instance, with the load and the health that this head observes."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.switching_since: float | None = None  # since this head learned that it changes its stage
        self.in_flight = NodeState(NodeEntry(instance.identity, 0, 0, Phase.ON, 1.0, 0))
        self.queue = WorkQueue()  # the jobs of all heads there
        self.open_streams = 0  # answers to this head that are being streamed
        self.cache = PrefixCache(0)
        self.unit_us: float | None = None  # learned service time per unit
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.surplus_rate = SurplusRate()
        self.last_answer_at = float("-inf")
        self.last_report: EngineReport | None = None
        self.tokens_since_report = 0  # of memory, for requests placed since the last report

    def is_serving(self, now: float) -> bool:
        """Return whether it accepts new requests; one that answers here counts as live though the registry lost it."""
        state = self.instance.state
        return state == READY or (state == LOST and now - self.last_answer_at <= LIVENESS_EVIDENCE_S)

    def drop_job(self, job_id: int) -> None:
        """Remove a job that will not be executed, with its pending segments."""
        job = self.queue.find(job_id)
        if job is not None:
            self.queue.drop(job)
        self.cache.cancel(job_id)

    @property
    def outstanding(self) -> int:
        """The number of requests of this head that are outstanding there."""
        return len(self.in_flight.reservations) + self.open_streams

    def apply_report(self, now_us: float, report: EngineReport, mean_us: float) -> None:
        """Record the instance's report, and correct its estimated queue."""
        self.last_report = report
        self.tokens_since_report = 0
        self.queue.apply_queue_length(now_us, report.waiting, mean_us)

    def running_decodes(self) -> int:
        """Return the number of answers being decoded there, as reported by an instance of the decode stage."""
        return self.last_report.running if self.last_report is not None and self.instance.stage == "decode" else 0

    def memory_wait_us(self, tokens: int) -> float:
        """Return the expected wait for memory of a request that needs this many tokens."""
        report = self.last_report
        if report is None or report.total <= 0:
            return 0.0
        filled_fraction = (report.used + self.tokens_since_report + tokens) / report.total
        return (
            max(0.0, filled_fraction - FREE_ADMISSION_FRACTION) * FULL_MEMORY_WAIT_US
            + report.waiting * QUEUED_REQUEST_WAIT_US
        )

    def is_ejected(self, now: float) -> bool:
        """Return whether it gets no requests for now, after a failure or many surplus responses."""
        return now < self.ejected_until or self.surplus_rate.is_avoided(now)

    def record_failure(self, now: float) -> None:
        """Eject the instance after a failed attempt, for longer with each; earlier answers no longer count."""
        self.last_answer_at = float("-inf")
        self.ejected_until = now + min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.consecutive_failures)
        self.consecutive_failures += 1

    def record_suspicion(self, now: float) -> bool:
        """Eject the instance as another head had no answer, unless it has answered here lately; return whether."""
        is_silent = now - self.last_answer_at > SUSPICION_IMMUNITY_S
        if is_silent:
            self.ejected_until = max(self.ejected_until, now + SUSPICION_EJECTION_S)
        return is_silent

    def record_answer(self, now: float) -> None:
        """Record an answer, which ends the ejection."""
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.last_answer_at = now
