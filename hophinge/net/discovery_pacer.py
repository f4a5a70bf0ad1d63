"""Backoff, wait and time-out of one head's calls to discovery, decided without I/O.

One discovery service serves all heads in turn. A call that it rejects costs it about as much as one that it serves: if
all heads retried within a second, it would do nothing but reject calls, and no head would get a list again. Each head
therefore backs off in proportion to the number of heads, with jitter so that heads spread.

A head must know what discovery lists within 6 s of discovery becoming reachable, whatever happened to earlier calls. So
a backoff, a call that times out and the call after it together take less than that. The exception is a head that was
rejected more than five times in a row in a fleet too large for that rate: it backs off for longer, as otherwise no head
of such a fleet would be served again.

If lists are pushed, an agent on the head's own machine answers at once and at no cost, and the head must know its list
at once, also right after an outage. Waits are then short, and a call without an answer is hedged with further calls.
"""

from __future__ import annotations

import random

FIRST_BACKOFF_S = 0.02  # after a failed call; well below the 200 ms within which a watch must be continued
MAX_BACKOFF_S = 1.0  # after consecutive failed calls
CHAINED_CALL_S = 0.2  # time within which the protocol expects the next call of a watch
JITTER = (0.5, 1.5)  # range of the factor of a backoff
FIRST_REJECTED_BACKOFF_S = 4.0  # upper bound of the backoff after the first rejected call
MAX_REJECTED_BACKOFF_S = 4.75  # after further ones: up to 5.5 s with jitter, which leaves 0.5 s for the call itself
REJECTED_JITTER = (0.85, 1.15)  # narrow: a late retry exceeds the 6 s, an early one loads discovery
# Consecutive rejections of a head, at least 16 s in all, whose backoff keeps to `MAX_REJECTED_BACKOFF_S`; after them
# discovery counts as unreachable.
MAX_BOUNDED_REJECTIONS = 5
# Calls per second by all heads, at that backoff, from which a service that serves 7.4 per second still recovers.
MAX_SUSTAINED_CALLS_PER_S = 9.5
MAX_RETRY_AFTER_S = 3.6  # longest Retry-After that is obeyed: up to 5.4 s with jitter
# For a complete list. Discovery queues a call for up to 2 s; a head that gave up sooner would requeue at the end.
LIST_TIMEOUT_S = 2.5
MIN_WATCH_S, MAX_WATCH_S = 2.0, 20.0  # wait of a watch; longer with more heads, to limit discovery's load
WATCH_MARGIN_S = 1.5  # time-out of a watch beyond its wait; a change must be known 2 s after it
FIRST_WATCH_S = 0.1  # wait of the first watch: a head whose saved list is current becomes ready after it
PUSHED_WATCH_S, PUSHED_WATCH_MARGIN_S, PUSHED_LIST_TIMEOUT_S = 1.0, 0.3, 1.0  # for an agent on this machine: no queue
PUSHED_MAX_BACKOFF_S = 0.1  # longest backoff after failed calls to such an agent: shorter than any drain's grace period
HEDGE_DELAY_S = 0.1  # time without an answer after which a further call is sent
MAX_HEDGED_CALLS = 10  # open calls at once: one each `HEDGE_DELAY_S` for about `PUSHED_LIST_TIMEOUT_S`


class DiscoveryPacer:
    """The backoffs and waits of one head's calls to discovery, in seconds."""

    def __init__(self, heads: int, random_source: random.Random, pushed: bool = False) -> None:
        """Set up the backoffs for a fleet.

        Args:
            heads: heads that share one discovery service.
            random_source: the source of the jitter.
            pushed: whether lists come from an agent on this machine, which answers at once.

        """
        self.random = random_source
        self.pushed = pushed
        # With a mean backoff of `heads * CHAINED_CALL_S / 2` all heads together make two calls in `CHAINED_CALL_S`.
        self.first_rejected_backoff_s = max(FIRST_BACKOFF_S, min(FIRST_REJECTED_BACKOFF_S, heads * CHAINED_CALL_S / 2))
        self.max_rejected_backoff_s = min(MAX_REJECTED_BACKOFF_S, max(MAX_BACKOFF_S, heads * CHAINED_CALL_S * 2))
        self.crowded_backoff_s = (
            heads * CHAINED_CALL_S * 2
            if heads / MAX_REJECTED_BACKOFF_S > MAX_SUSTAINED_CALLS_PER_S
            else self.max_rejected_backoff_s
        )
        if pushed:  # other heads call agents of their own
            self.first_rejected_backoff_s = self.max_rejected_backoff_s = self.crowded_backoff_s = PUSHED_MAX_BACKOFF_S
        # Shorter waits detect an unresponsive service sooner, but cost discovery proportionally more calls.
        self.watch_s = PUSHED_WATCH_S if pushed else min(MAX_WATCH_S, max(MIN_WATCH_S, heads * CHAINED_CALL_S / 2))
        self.max_backoff_s = PUSHED_MAX_BACKOFF_S if pushed else MAX_BACKOFF_S
        self.errors = self.rejections = 0
        self.is_silent = pushed  # no answer since the last failure; after an outage an agent may answer late

    @property
    def hedges(self) -> bool:
        """Whether calls are hedged now: those to an agent on this machine, which cost nothing, until it answers."""
        return self.pushed and self.is_silent

    def next_timeouts(self, has_version: bool, has_answered: bool) -> tuple[float, float]:
        """Return the wait that the next call requests, 0 for a complete list, and the call's time-out, in seconds.

        Args:
            has_version: whether the version to watch from is known.
            has_answered: whether there has been an answer since the start.

        """
        limit = PUSHED_LIST_TIMEOUT_S if self.pushed else LIST_TIMEOUT_S
        if not has_version:
            return 0.0, limit
        if not has_answered or self.hedges:
            return FIRST_WATCH_S, FIRST_WATCH_S + limit
        # After a failed call the next one may fail, too: no long wait until discovery has answered again.
        wait = self.watch_s if not self.is_silent else min(self.watch_s, MIN_WATCH_S)
        return wait, wait + (PUSHED_WATCH_MARGIN_S if self.pushed else WATCH_MARGIN_S)

    def record_answer(self) -> None:
        """Reset the backoff after an answer."""
        self.errors = self.rejections = 0
        self.is_silent = False

    def reset(self) -> None:
        """Reset for another address, to which earlier failures do not apply."""
        self.errors = self.rejections = 0
        self.is_silent = self.pushed

    def record_rejection(self, retry_after_s: float = 0.0) -> float:
        """Return the backoff in seconds after a rejected call, given the seconds of its Retry-After header."""
        backoff_s = min(self.max_rejected_backoff_s, self.first_rejected_backoff_s * 2.0 ** min(self.rejections, 16))
        self.rejections += 1
        self.is_silent = True
        if self.rejections > MAX_BOUNDED_REJECTIONS:
            backoff_s = min(
                self.crowded_backoff_s,
                MAX_REJECTED_BACKOFF_S * 2.0 ** min(self.rejections - MAX_BOUNDED_REJECTIONS, 16),
            )
        advice = 0.0 if self.pushed else min(MAX_RETRY_AFTER_S, max(0.0, retry_after_s))
        return max(backoff_s * self.random.uniform(*REJECTED_JITTER), advice * self.random.uniform(1, JITTER[1]))

    def record_failure(self) -> float:
        """Return the backoff in seconds after a connection error, a time-out or a malformed answer."""
        backoff_s = min(self.max_backoff_s, FIRST_BACKOFF_S * 2.0 ** min(self.errors, 16))
        self.errors += 1
        self.is_silent = True
        return backoff_s * self.random.uniform(*JITTER)
