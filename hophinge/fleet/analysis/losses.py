"""Why requests earned less than their worth.

Each request that lost worth has one reason: the first that fits, in the order of `LossReason`. The latency of a late
request is split into queueing, the reading of its shared segments and of its own, and the decoding of its first token;
the longest of these is the reason, so the losses by reason add up to the total loss.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from hophinge.fleet.analysis.traces import LoggedAttempt, LoggedRequest

# Classes by size that the operators count separately: the largest tenth, and the fifth below it.
LARGEST_FRACTION = 0.1
NEXT_FRACTION = 0.3
# Factors of a generation's worth by its size, relative to the mean of its kind.
MIN_WORTH = 0.3
SIZED_WORTH = 0.7
MAX_WORTH = 4.0
OUTPUT_TOKEN_WEIGHT = 10  # an output token counts as so many input tokens
PREFILL_STAGE = "prefill"


class LossReason(Enum):
    """Why a request earned less than its worth."""

    NONE = "in time"
    UNINFORMED = "head without knowledge"
    NO_INSTANCE = "no instance of the stage"
    REJECTED = "refused"
    CLIENT_LEFT = "dead at its deadline"
    FAULT = "broken by a fault"
    DECODE = "late by the wait for its tokens"
    QUEUE = "late behind a queue"
    CONCURRENT_REREAD = "late by a part read twice at once"
    REREAD = "late by a part read again"
    CACHE_MISS = "late by a cold read"
    OWN_TOKENS = "late by its own tokens"


@dataclass(frozen=True, slots=True)
class LossKind:
    """A kind of request: its worth, and the mean tokens of its prompts by which its route is identified."""

    name: str
    worth: float
    late_worth: float
    is_staged: bool
    mean_tokens: float


@dataclass(frozen=True, slots=True)
class Loss:
    """The offered and the lost worth of one request."""

    kind: str
    size: str
    zone: str
    arrived_at: float
    offered: float
    lost: float
    reason: LossReason


class SegmentRead(NamedTuple):
    """One read of a segment, from its sending to its end, by the request with an index."""

    since: float
    until: float
    request_index: int


class SegmentReads:
    """When each shared segment was read, over all requests."""

    def __init__(self, requests: Sequence[LoggedRequest]) -> None:
        self.by_segment: dict[str, list[SegmentRead]] = {}
        for index, request in enumerate(requests):
            attempt = prefill_attempt(request)
            if attempt is not None and attempt.ended_s is not None:
                self._record(index, request, attempt, attempt.ended_s)

    def _record(self, index: int, request: LoggedRequest, attempt: LoggedAttempt, ended_s: float) -> None:
        """Record the segments that an attempt read: the last ones, as far as its units reach."""
        read = SegmentRead(request.arrived_at + attempt.sent_s, request.arrived_at + ended_s, index)
        unread = attempt.units - (request.segments[-1][1] if request.segments else 0)
        for segment, tokens in reversed(request.shared_segments):
            if unread < tokens / 2:
                break
            unread -= tokens
            self.by_segment.setdefault(segment, []).append(read)

    def reason_for_read(self, segment: str, request_index: int, started_at: float) -> LossReason:
        """Return why a request read a segment: by whether another had read it before, or was reading it."""
        others = [read for read in self.by_segment.get(segment, ()) if read.request_index != request_index]
        if any(read.until <= started_at for read in others):
            return LossReason.REREAD
        if any(read.since <= started_at < read.until for read in others):
            return LossReason.CONCURRENT_REREAD
        return LossReason.CACHE_MISS


def prefill_attempt(request: LoggedRequest) -> LoggedAttempt | None:
    """Return the attempt that read a request's prompt: the first that did not fail."""
    done = [attempt for attempt in request.attempts if attempt.outcome in ("READ", "ANSWERED", "FAILED", "BROKEN")]
    return done[0] if done else None


def _size(request: LoggedRequest) -> int:
    return request.tokens_in + OUTPUT_TOKEN_WEIGHT * request.tokens_out


def _size_factor(size: int, mean: float) -> float:
    return min(MAX_WORTH, MIN_WORTH + SIZED_WORTH * size / mean) if mean else 1.0


def losses(requests: Sequence[LoggedRequest], kinds: Sequence[LossKind]) -> list[Loss]:
    """Return the offered and the lost worth of each request, with the reason."""
    reads = SegmentReads(requests)
    results: list[Loss] = []
    for route, kind in _kind_of_routes(requests, kinds).items():
        results += _losses_of_route([item for item in enumerate(requests) if item[1].route == route], kind, reads)
    return results


def _losses_of_route(
    indexed_requests: Sequence[tuple[int, LoggedRequest]], kind: LossKind, reads: SegmentReads
) -> list[Loss]:
    sizes = [_size(request) for _, request in indexed_requests]
    mean = sum(sizes) / len(sizes)
    ordered = sorted(sizes, reverse=True)
    large = ordered[int(LARGEST_FRACTION * len(ordered))]
    next_largest = ordered[int(NEXT_FRACTION * len(ordered))]
    results: list[Loss] = []
    for (index, request), size in zip(indexed_requests, sizes, strict=True):
        label = "largest tenth" if size > large else "fifth beneath" if size > next_largest else "rest"
        offered = kind.worth * _size_factor(size, mean)
        reason = _reason(request, index, reads)
        lost = offered - _earned(request, reason, offered, kind)
        results.append(Loss(kind.name, label, request.zone, request.arrived_at, offered, lost, reason))
    return results


def _earned(request: LoggedRequest, reason: LossReason, offered: float, kind: LossKind) -> float:
    if reason is LossReason.NONE:
        return offered
    is_late = request.first_s is not None and request.outcome in ("ANSWERED", "FAILED")
    return offered * kind.late_worth / kind.worth if is_late else 0.0


def _kind_of_routes(requests: Sequence[LoggedRequest], kinds: Sequence[LossKind]) -> dict[str, LossKind]:
    """Match routes to kinds by the mean size of their prompts."""
    tokens: dict[str, list[int]] = {}
    for request in requests:
        tokens.setdefault(request.route, []).append(request.tokens_in)
    return {
        route: min(kinds, key=lambda kind: abs(kind.mean_tokens - sum(sizes) / len(sizes)))
        for route, sizes in tokens.items()
    }


def _reason(request: LoggedRequest, index: int, reads: SegmentReads) -> LossReason:
    if request.outcome == "ANSWERED" and request.first_s is not None and request.first_s <= request.target_s:
        return LossReason.NONE
    if request.outcome != "ANSWERED":
        return _unserved(request)
    attempt = prefill_attempt(request)
    has_failed = any(other.outcome not in ("READ", "ANSWERED") for other in request.attempts)
    if has_failed and (attempt is None or attempt.sent_s > request.target_s / 4):
        return LossReason.FAULT
    if attempt is None or not request.segments:
        return LossReason.QUEUE
    return _late(request, attempt, index, reads)


def _unserved(request: LoggedRequest) -> LossReason:
    if not request.attempts:
        return LossReason.NO_INSTANCE
    if request.outcome == "client left":
        return LossReason.CLIENT_LEFT
    if request.outcome.startswith("refused"):
        return LossReason.REJECTED
    return LossReason.FAULT


def _late(request: LoggedRequest, attempt: LoggedAttempt, index: int, reads: SegmentReads) -> LossReason:
    """Return the reason for the longest of the durations that a late request's latency consists of."""
    is_separate = attempt.stage == PREFILL_STAGE
    until = attempt.ended_s if is_separate and attempt.ended_s is not None else request.first_s or 0.0
    service_s = min(attempt.service_s, until - attempt.sent_s)
    own_fraction = min(1.0, request.segments[-1][1] / max(1.0, attempt.units))
    durations = {
        LossReason.QUEUE: until - attempt.sent_s - service_s,
        LossReason.OWN_TOKENS: service_s * own_fraction,
        LossReason.DECODE: max(0.0, (request.first_s or 0.0) - until),
    }
    read_reason = LossReason.CACHE_MISS
    if request.shared_segments:
        last_shared, _ = request.shared_segments[-1]
        read_reason = reads.reason_for_read(last_shared, index, request.arrived_at + attempt.sent_s)
    durations[read_reason] = service_s * (1.0 - own_fraction)
    return max(durations, key=lambda reason: durations[reason])
