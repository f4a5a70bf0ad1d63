"""Backoff, wait and time-out of one head's calls to discovery, decided without I/O.

One discovery serves all heads in turn. A call that it turns away costs it about as much as one that it serves, so
heads that all come back within a second keep it busy with nothing but refusals, and nobody hears a list again. Each
head therefore stays away for its part of what the fleet may ask, drawn by lot so that equal heads spread.

What discovery tells counts as told 6 s after it could be reached, whatever became of the calls before. So a pause, a
call that is given up and the one after it together end within that; who was refused five times in a row, in a fleet too
large for that pace, alone stays away for longer, as else nobody in it would ever be served again.

Where lists are pushed, an agent on the head's own machine answers at once and at no cost, and what it has counts as
told at once, also right after an outage. There the waits are short, and beside a call that says nothing others go out.
"""

from __future__ import annotations

import random

FIRST_BACKOFF_S = 0.02  # after an error on the wire; well under the 200 ms within which a watch goes on
MAX_BACKOFF_S = 1.0  # after such errors in a row
CHAINED_CALL_S = 0.2  # the protocol's time for the next call of a watch
JITTER = (0.5, 1.5)  # parts of a pause
FIRST_REJECTED_BACKOFF_S = 4.0  # the first pause of one turned away at most
MAX_REJECTED_BACKOFF_S = 4.75  # those after it: 5.5 s with their lot, which leaves half a second for the call itself
REJECTED_JITTER = (0.85, 1.15)  # parts of such a pause: narrow, as what ends late counts and what ends early costs
MAX_BOUNDED_REJECTIONS = 5  # of one head in a row that keep to it, 16 s at least; then discovery is not to be reached
MAX_SUSTAINED_CALLS_PER_S = (
    9.5  # calls a second of all heads at that pace from which a discovery that serves 7.4 recovers
)
MAX_RETRY_AFTER_S = 3.6  # of a Retry-After that is kept to: 5.4 s with its lot
LIST_TIMEOUT_S = 2.5  # for a list asked for; over a queue's patience of 2 s, as who gives up begins at its end
MIN_WATCH_S, MAX_WATCH_S = 2.0, 20.0  # a watch's wait, by what all heads' calls together cost discovery
WATCH_MARGIN_S = 1.5  # beyond the wait that a watch states; what it had to tell counts as told after 2 s
FIRST_WATCH_S = 0.1  # of the first: who has the list already is ready after it
PUSHED_WATCH_S, PUSHED_WATCH_MARGIN_S, PUSHED_LIST_TIMEOUT_S = 1.0, 0.3, 1.0  # of an agent beside, which has no queue
PUSHED_MAX_BACKOFF_S = 0.1  # the longest after errors of such an agent: under every drain's grace
HEDGE_DELAY_S = 0.1  # after which another call goes out beside those that say nothing
MAX_HEDGED_CALLS = 10  # such calls at once; each waits `PUSHED_LIST_S`


class DiscoveryPacer:
    """The backoffs and waits of one head's calls to discovery, in seconds."""

    def __init__(self, heads: int, random_source: random.Random, pushed: bool = False) -> None:
        """Set up the backoffs for a fleet.

        Args:
            heads: heads that share one discovery service.
            random_source: draws the jitter.
            pushed: whether an agent on this machine answers at once.

        """
        self.random = random_source
        self.pushed = pushed
        # Pauses whose mean is half a chained call's time for each head let two calls through in that time.
        self.first_rejected_backoff_s = max(FIRST_BACKOFF_S, min(FIRST_REJECTED_BACKOFF_S, heads * CHAINED_CALL_S / 2))
        self.max_rejected_backoff_s = min(MAX_REJECTED_BACKOFF_S, max(MAX_BACKOFF_S, heads * CHAINED_CALL_S * 2))
        self.crowded_backoff_s = (
            heads * CHAINED_CALL_S * 2
            if heads / MAX_REJECTED_BACKOFF_S > MAX_SUSTAINED_CALLS_PER_S
            else self.max_rejected_backoff_s
        )
        if pushed:  # other heads ask agents of their own
            self.first_rejected_backoff_s = self.max_rejected_backoff_s = self.crowded_backoff_s = PUSHED_MAX_BACKOFF_S
        # Waits that end sooner find silence sooner, and cost discovery as many calls more.
        self.watch_s = PUSHED_WATCH_S if pushed else min(MAX_WATCH_S, max(MIN_WATCH_S, heads * CHAINED_CALL_S / 2))
        self.max_backoff_s = PUSHED_MAX_BACKOFF_S if pushed else MAX_BACKOFF_S
        self.errors = self.rejections = 0
        self.is_silent = pushed  # until the next answer, which may come late after an outage

    @property
    def hedges(self) -> bool:
        """Whether calls are hedged now: an agent, whose calls cost nothing, has not answered."""
        return self.pushed and self.is_silent

    def next_timeouts(self, has_version: bool, has_answered: bool) -> tuple[float, float]:
        """Return the wait that the next call requests, 0 for a complete list, and the call's time-out.

        Args:
            has_version: whether there is a version to watch from.
            has_answered: whether there has been an answer since the start.

        """
        limit = PUSHED_LIST_TIMEOUT_S if self.pushed else LIST_TIMEOUT_S
        if not has_version:
            return 0.0, limit
        if not has_answered or self.hedges:
            return FIRST_WATCH_S, FIRST_WATCH_S + limit
        # After a call that came to nothing the next may as well: no long wait before discovery has answered again.
        wait = self.watch_s if not self.is_silent else min(self.watch_s, MIN_WATCH_S)
        return wait, wait + (PUSHED_WATCH_MARGIN_S if self.pushed else WATCH_MARGIN_S)

    def record_answer(self) -> None:
        """Reset the backoff after an answer."""
        self.errors = self.rejections = 0
        self.is_silent = False

    def reset(self) -> None:
        """Reset for another address, of which earlier faults say nothing."""
        self.errors = self.rejections = 0
        self.is_silent = self.pushed

    def record_rejection(self, retry_after_s: float = 0.0) -> float:
        """Return the backoff after a rejected call, given the seconds of its Retry-After header."""
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
        """Return the backoff after a connection error, a time-out or a malformed answer."""
        backoff_s = min(self.max_backoff_s, FIRST_BACKOFF_S * 2.0 ** min(self.errors, 16))
        self.errors += 1
        self.is_silent = True
        return backoff_s * self.random.uniform(*JITTER)
