"""Decides whether a request waits for a stage that is about to have an instance, or is rejected with `Retry-After`.

A rejected client retries once, and follows `Retry-After` only up to a fraction of its remaining time. A response after
the target has less value, and a missing one has none. So a request waits if it can still be answered by its target, or
if its client would retry too early; it is rejected at once if the client can retry in time, or would give up before.

Without I/O; times are seconds on the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

RETRY_AFTER_FRACTION = 1 / 3  # of its remaining time: the longest `Retry-After` that a client follows
MIN_SERVICE_S = 0.1  # from an instance's readiness to the first event of a response, at least
POLL_INTERVAL_S = 0.1  # between checks whether the stage is ready
FRESH_FRACTION = (
    0.95  # of the route's timeout: a request that arrives with less time left is taken for a client's retry
)
MAX_PENDING = 64  # requests of one head that wait at once; its limit on bodies bounds their memory


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that no instance can take now."""

    now: float
    ready_at: float  # when an instance is expected
    target_at: float  # a response until then has its full value
    give_up_at: float  # when its client gives up
    deadline: float
    may_return: bool  # its client would retry after a rejection


def should_wait(request: PendingRequest) -> bool:
    """Return whether the request waits; otherwise it is rejected at once."""
    served_at = request.ready_at + MIN_SERVICE_S
    if served_at <= request.target_at:
        return True
    max_retry_after_s = (request.deadline - request.now) * RETRY_AFTER_FRACTION
    can_return = request.may_return and request.ready_at - request.now <= max_retry_after_s
    return not can_return and served_at <= request.give_up_at
