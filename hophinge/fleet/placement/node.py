"""One instance as a data plane sees it: its book, what others sent there, the prompt parts it keeps, its failures."""

from __future__ import annotations

from collections import OrderedDict

from hophinge.core.choice.books import Book
from hophinge.core.interface.nodes import NodeEntry, Phase
from hophinge.fleet.placement.hints import EngineReport
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.placement.queue import WorkQueue
from hophinge.fleet.registry.instance import LOST, READY, Instance

MICROSECONDS = 1_000_000
BASE_EJECTION_S = 0.15  # rest of an instance after a failure; doubles while it goes on failing
MAX_EJECTION_S = 2.4
SUSPICION_EJECTION_S = 0.7  # rest of an instance that did not answer another member
SUSPICION_IMMUNITY_S = 0.3  # an instance heard here so lately is not suspected
LIVENESS_EVIDENCE_S = 5.0  # an answer here so lately shows that an instance lives
FREE_ADMISSION_FRACTION = 0.6  # part of its memory up to which an instance admits requests without a wait
FULL_MEMORY_WAIT_US = 3_000_000.0  # what a request waits at an instance that is full beyond that by all of its memory
QUEUED_REQUEST_WAIT_US = 40_000.0  # what each request that waits there already adds


class PrefixCache:
    """The prompt parts believed to be kept at an instance, least recently used first."""

    def __init__(self, tokens: int) -> None:
        self.capacity_tokens = tokens  # that fit
        self.used_tokens = 0
        self.segments: OrderedDict[str, int] = OrderedDict()
        self.pending_jobs: dict[str, int] = {}  # parts that are not read yet, and the job that is to read them

    def insert(self, segments: tuple[tuple[str, int], ...]) -> None:
        """Parts were read, or are going to be read, there."""
        for part, tokens in segments:
            self.used_tokens += tokens - self.segments.pop(part, 0)
            self.segments[part] = tokens
        while self.used_tokens > self.capacity_tokens and len(self.segments) > len(segments):
            part, tokens = self.segments.popitem(last=False)
            self.pending_jobs.pop(part, None)
            self.used_tokens -= tokens

    def insert_pending(self, segments: tuple[tuple[str, int], ...], job_id: int) -> None:
        """Parts are going to be read there by a job."""
        new_segments = [part for part, _ in segments if part not in self.segments]
        self.insert(segments)
        self.pending_jobs.update((part, job_id) for part in new_segments if part in self.segments)

    def confirm(self, job_id: int) -> None:
        """A job has read its parts."""
        self.pending_jobs = {part: reader for part, reader in self.pending_jobs.items() if reader != job_id}

    def cancel(self, job_id: int) -> None:
        """A job will not read its parts: those that were not there before are not there."""
        for part in [part for part, reader in self.pending_jobs.items() if reader == job_id]:
            del self.pending_jobs[part]
            self.used_tokens -= self.segments.pop(part, 0)

    def cached_tokens(self, prompt: Prompt) -> int:
        """Tell how many of a prompt's first tokens are kept."""
        cached = 0
        for part, tokens in prompt.segments:
            if part not in self.segments:
                break
            cached += tokens
        return cached


class Node:
    """An instance, and what was learned of it here."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.in_flight = Book(NodeEntry(instance.identity, 0, 0, Phase.ON, 1.0, 0))
        self.queue = WorkQueue()  # the work of all heads there
        self.open_streams = 0  # answers from here that have begun and not ended
        self.cache = PrefixCache(0)
        self.unit_us: float | None = None  # learned time per unit
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.last_answer_at = float("-inf")
        self.last_report: EngineReport | None = None
        self.tokens_since_report = 0  # tokens of memory that requests placed since that report hold

    def is_serving(self, now: float) -> bool:
        """Tell whether it takes new requests; one that answers here is not lost, whatever the core has heard."""
        state = self.instance.state
        return state == READY or (state == LOST and now - self.last_answer_at <= LIVENESS_EVIDENCE_S)

    def drop_job(self, job_id: int) -> None:
        """A job will not be worked on."""
        job = self.queue.find(job_id)
        if job is not None:
            self.queue.drop(job)
        self.cache.cancel(job_id)

    @property
    def outstanding(self) -> int:
        """Tell how many requests it has from here."""
        return len(self.in_flight.slots) + self.open_streams

    def apply_report(self, now_us: float, report: EngineReport, mean_us: float) -> None:
        """Take what the instance told of itself; what was reckoned of its queue is corrected by it."""
        self.last_report, self.tokens_since_report = report, 0
        self.queue.apply_queue_length(now_us, report.waiting, mean_us)

    def running_decodes(self) -> int:
        """Tell how many answers are being made there, where the instance tells it of a decode stage."""
        return self.last_report.running if self.last_report is not None and self.instance.stage == "decode" else 0

    def memory_wait_us(self, tokens: int) -> float:
        """Tell how long a request that holds so many tokens is likely to wait for memory there."""
        report = self.last_report
        if report is None or report.total <= 0:
            return 0.0
        filled_fraction = (report.used + self.tokens_since_report + tokens) / report.total
        return (
            max(0.0, filled_fraction - FREE_ADMISSION_FRACTION) * FULL_MEMORY_WAIT_US
            + report.waiting * QUEUED_REQUEST_WAIT_US
        )

    def is_ejected(self, now: float) -> bool:
        """Tell whether it is spared after a failure."""
        return now < self.ejected_until

    def record_failure(self, now: float) -> None:
        """An attempt failed here; what it answered before is no evidence of life any more."""
        self.last_answer_at = float("-inf")
        self.ejected_until = now + min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.consecutive_failures)
        self.consecutive_failures += 1

    def record_suspicion(self, now: float) -> None:
        """Another member had no answer in time; what was heard here lately says more."""
        if now - self.last_answer_at > SUSPICION_IMMUNITY_S:
            self.ejected_until = max(self.ejected_until, now + SUSPICION_EJECTION_S)

    def record_answer(self, now: float) -> None:
        """An attempt was served here."""
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.last_answer_at = now
