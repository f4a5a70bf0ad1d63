"""One instance as a head observes it: requests in flight, queue, prefix cache and failures."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from hophinge.core.choice.node_state import NodeState
from hophinge.core.interface.nodes import NodeEntry, Phase
from hophinge.fleet.placement.hints import EngineReport
from hophinge.fleet.placement.prompt import Prompt, PromptSegment
from hophinge.fleet.placement.queue import WorkQueue
from hophinge.fleet.placement.surplus_rate import SurplusRate
from hophinge.fleet.registry.instance import LOST, READY, Instance

MICROSECONDS = 1_000_000
MAX_SEGMENTS = 4_096  # that an instance is assumed to have cached
BASE_EJECTION_S = 0.15  # after a failure; doubles with each consecutive failure
MAX_EJECTION_S = 2.4
SUSPICION_EJECTION_S = 0.7  # of an instance that did not respond to another head
SUSPICION_IMMUNITY_S = 0.3  # after a response to this head, in which suspicions of other heads are ignored
LIVENESS_EVIDENCE_S = 5.0  # for which a response to this head shows that the instance is live
FREE_ADMISSION_FRACTION = 0.6  # of an instance's memory, up to which it admits requests without a wait
FULL_MEMORY_WAIT_US = 3_000_000.0  # expected wait per unit of the used fraction above FREE_ADMISSION_FRACTION
QUEUED_REQUEST_WAIT_US = 40_000.0  # expected wait for each request that is queued at the instance


@dataclass(slots=True)
class SegmentBudget:
    """The number of segments that all prefix caches of a head may hold together: clients choose their names."""

    max_segments: int
    used: int = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether segments have to be evicted."""
        return self.used > self.max_segments


class PrefixCache:
    """The prompt segments that an instance is assumed to have cached, least recently used first.

    Segments may be of any size, also without tokens, so their number is limited as well as their tokens.
    """

    def __init__(self, capacity_tokens: int, budget: SegmentBudget | None = None) -> None:
        self.budget = budget or SegmentBudget(MAX_SEGMENTS)
        self.capacity_tokens = capacity_tokens
        self.used_tokens = 0
        self.segments: OrderedDict[str, int] = OrderedDict()
        self.pending_jobs: dict[str, int] = {}  # by segment without a finished prefill: the job that will prefill it

    def insert(self, segments: tuple[PromptSegment, ...]) -> None:
        """Insert segments, and evict the least recently used ones if the capacity is exceeded."""
        previous_count = len(self.segments)
        for segment, tokens in segments:
            self.used_tokens += tokens - self.segments.pop(segment, 0)
            self.segments[segment] = tokens
        self.budget.used += len(self.segments) - previous_count
        while self._is_full() and len(self.segments) > len(segments):
            segment, _ = next(iter(self.segments.items()))
            self.pending_jobs.pop(segment, None)
            self._remove(segment)

    def _is_full(self) -> bool:
        return self.used_tokens > self.capacity_tokens or len(self.segments) > MAX_SEGMENTS or self.budget.is_exceeded

    def _remove(self, segment: str) -> None:
        tokens = self.segments.pop(segment, None)
        if tokens is not None:
            self.used_tokens -= tokens
            self.budget.used -= 1

    def clear(self) -> None:
        """Remove all segments."""
        self.budget.used -= len(self.segments)
        self.segments.clear()
        self.pending_jobs.clear()
        self.used_tokens = 0

    def insert_pending(self, segments: tuple[PromptSegment, ...], job_id: int) -> None:
        """Insert segments that a job will prefill."""
        new_segments = [segment for segment, _ in segments if segment not in self.segments]
        self.insert(segments)
        self.pending_jobs.update((segment, job_id) for segment in new_segments if segment in self.segments)

    def confirm(self, job_id: int) -> None:
        """Record that a job has prefilled its segments."""
        self.pending_jobs = {segment: reader for segment, reader in self.pending_jobs.items() if reader != job_id}

    def cancel(self, job_id: int) -> None:
        """Remove the segments that a job was to prefill, except those that were cached before it."""
        for segment in [segment for segment, reader in self.pending_jobs.items() if reader == job_id]:
            del self.pending_jobs[segment]
            self._remove(segment)

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the number of tokens in the longest cached prefix of a prompt."""
        cached = 0
        for segment, tokens in prompt.segments:
            if segment not in self.segments:
                break
            cached += tokens
        return cached


class Node:
    """An instance, with its load and health as this head observes them."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.switching_since: float | None = None  # when this head learned that the instance is changing its stage
        self.in_flight = NodeState(NodeEntry(instance.identity, 0, 0, Phase.ON, 1.0, 0))
        self.queue = WorkQueue()  # jobs of all heads at this instance
        self.open_streams = 0  # responses that are being streamed to this head
        self.cache = PrefixCache(0)
        self.unit_us: float | None = None  # learned service time per unit
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.surplus_rate = SurplusRate()
        self.response_limit_until = float("-inf")  # ejected until then, as a response exceeded a limit
        self.last_answer_at = float("-inf")
        self.last_report: EngineReport | None = None
        self.tokens_since_report = 0  # memory of the requests placed since the last report

    def is_serving(self, now: float) -> bool:
        """Return whether the instance accepts new requests.

        An instance that the registry marked lost still counts as live if it responded to this head recently.
        """
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
        """The number of this head's requests that are outstanding at the instance."""
        return len(self.in_flight.reservations) + self.open_streams

    def apply_report(self, now_us: float, report: EngineReport, mean_us: float) -> None:
        """Record the instance's report, and correct its estimated queue."""
        self.last_report = report
        self.tokens_since_report = 0
        self.queue.apply_queue_length(now_us, report.waiting, mean_us)

    def running_decodes(self) -> int:
        """Return the number of responses that the instance reports as being decoded; 0 outside the decode stage."""
        return self.last_report.running if self.last_report is not None and self.instance.stage == "decode" else 0

    def memory_wait_us(self, tokens: int) -> float:
        """Return how long a request that needs memory for this many tokens is expected to wait for it."""
        report = self.last_report
        if report is None or report.total <= 0:
            return 0.0
        filled_fraction = (report.used + self.tokens_since_report + tokens) / report.total
        return (
            max(0.0, filled_fraction - FREE_ADMISSION_FRACTION) * FULL_MEMORY_WAIT_US
            + report.waiting * QUEUED_REQUEST_WAIT_US
        )

    def is_ejected(self, now: float) -> bool:
        """Return whether the instance is ejected, after a failure, a response without bounds, or many surplus ones."""
        return now < max(self.ejected_until, self.response_limit_until) or self.surplus_rate.is_avoided(now)

    def record_failure(self, now: float) -> None:
        """Eject the instance after a failed attempt, longer each time; earlier responses no longer prove liveness."""
        self.last_answer_at = float("-inf")
        self.ejected_until = now + min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.consecutive_failures)
        self.consecutive_failures += 1

    def record_response_limit(self, now: float) -> None:
        """Eject the instance as one of its responses exceeded a limit; sound ones do not end this ejection."""
        self.response_limit_until = now + MAX_EJECTION_S

    def record_suspicion(self, now: float) -> bool:
        """Eject the instance as it did not respond to another head; return whether the suspicion was applied.

        It is ignored if the instance responded to this head recently.
        """
        is_silent = now - self.last_answer_at > SUSPICION_IMMUNITY_S
        if is_silent:
            self.ejected_until = max(self.ejected_until, now + SUSPICION_EJECTION_S)
        return is_silent

    def record_answer(self, now: float) -> None:
        """Record a response, which ends the ejection."""
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.last_answer_at = now
