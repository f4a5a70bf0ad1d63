"""What scopes may take at this head: rates with a burst, and open requests. Each request passes all limits that fit.

A state lives on when a version changes its limit: what was taken stays taken, so a raised limit gives nothing twice
and a lowered one is owed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hophinge.routing.records import Limit, Scope

MIN_RETRY_AFTER_US = 10_000  # a refused client is told at least so long, or it would ask again at once
INITIAL_OPEN_US = 100_000  # a request is open for about so long, until some have ended
OPEN_TIME_WEIGHT = 0.1  # of the newest in how long requests are open
MAX_UNUSED_STATES = 256  # of removed limits, before a look for them is worth it


class LimitState:
    """One limit's bucket and its open requests; a level below 0 is owed."""

    __slots__ = ("updated_us", "mean_open_us", "level", "limit", "open", "refused")

    def __init__(self, limit: Limit, now_us: int) -> None:
        self.limit, self.updated_us = limit, now_us
        self.level = self.depth
        self.open = self.refused = 0
        self.mean_open_us = float(INITIAL_OPEN_US)

    @property
    def depth(self) -> float:
        """Tell how many units may be saved up."""
        return self.limit.rate * self.limit.burst_us / 1e6

    def refill(self, now_us: int) -> float:
        """Bring the bucket up to now; a clock that went back adds nothing."""
        self.level = min(self.depth, self.level + self.limit.rate * max(0, now_us - self.updated_us) / 1e6)
        self.updated_us = now_us
        return self.level

    def set_limit(self, limit: Limit, now_us: int) -> None:
        """Go on under another version's figures."""
        self.refill(now_us)
        grown = not self.limit.rate and limit.rate
        self.limit = limit
        self.level = self.depth if grown else min(self.level, self.depth)

    def wait_us(self, units: float, now_us: int) -> int:
        """Tell when a request may come; 0: now."""
        wait = 0.0
        # A request larger than the burst passes a full bucket and leaves it owing, or it would never pass.
        wanted = min(units, self.depth)
        if self.limit.rate and self.refill(now_us) < wanted:
            wait = (wanted - self.level) / self.limit.rate * 1e6
        if self.limit.max_open and self.open >= self.limit.max_open:
            # By Little's law one of them ends about every so often.
            wait = max(wait, self.mean_open_us / self.limit.max_open)
        return max(MIN_RETRY_AFTER_US, int(wait) + 1) if wait > 0 else 0

    def acquire(self, units: float) -> None:
        """Count a request in."""
        self.level -= units if self.limit.rate else 0.0
        self.open += 1

    def refund(self, units: float) -> None:
        """Undo `take`, for a request that was refused for another reason."""
        self.level += units if self.limit.rate else 0.0
        self.open -= 1

    def release(self, open_us: int) -> None:
        """Count a request out that was open for so long."""
        self.open -= 1
        self.mean_open_us += (open_us - self.mean_open_us) * OPEN_TIME_WEIGHT


class ByteRateState:
    """Bytes on their way under one limit, in and out: whoever moves some is told how long to pause before the next.

    What was moved cannot be taken back, so it is owed; the next mover waits until that is worked off, which shares the
    rate among all that move, in the order in which they come.
    """

    __slots__ = ("updated_us", "levels")

    def __init__(self, limit: Limit, now_us: int) -> None:
        self.levels = [limit.bytes_in, limit.bytes_out]
        self.updated_us = [now_us, now_us]

    def pacing_delay_us(self, limit: Limit, direction: int, size: int, now_us: int) -> int:
        """Count bytes and tell the pause; `way` is 0 for in, 1 for out."""
        rate = (limit.bytes_in, limit.bytes_out)[direction]
        if not rate:
            return 0
        level = min(rate, self.levels[direction] + rate * max(0, now_us - self.updated_us[direction]) / 1e6) - size
        self.levels[direction], self.updated_us[direction] = level, now_us
        return max(0, int(-level / rate * 1e6))


class Limiter:
    """The states of all limits in force."""

    def __init__(self) -> None:
        self.states: dict[str, LimitState] = {}
        self.byte_rates: dict[str, ByteRateState] = {}

    def drop_removed(self, find_limit: Callable[[Scope], Limit | None], size: int) -> None:
        """Drop states of removed limits, once they are many; requests that are open in those still end there."""
        if len(self.states) > 2 * size + MAX_UNUSED_STATES:
            self.states = {
                key: state for key, state in self.states.items() if find_limit(state.limit.scope) is not None
            }
        if len(self.byte_rates) > 2 * size + MAX_UNUSED_STATES:
            self.byte_rates = {}  # a second's worth more for each at most

    def state(self, limit: Limit, now_us: int) -> LimitState:
        """Tell a limit's state; it is made when first asked for, so that quiet tenants cost nothing.

        A version that changes a limit costs nothing either: its state goes on under the new figures when next used.
        """
        state = self.states.get(limit.key)
        if state is None:
            state = self.states[limit.key] = LimitState(limit, now_us)
        elif state.limit is not limit:
            state.set_limit(limit, now_us)
        return state

    def pacing_delay_us(self, limits: Iterable[Limit], direction: int, size: int, now_us: int) -> int:
        """Count bytes under all limits that fit and tell the longest pause."""
        pause = 0
        for limit in limits:
            if limit.bytes_in or limit.bytes_out:
                key = limit.key
                paces = self.byte_rates.get(key) or self.byte_rates.setdefault(key, ByteRateState(limit, now_us))
                pause = max(pause, paces.pacing_delay_us(limit, direction, size, now_us))
        return pause

    def admit(self, limits: Iterable[Limit], units: float, now_us: int) -> tuple[tuple[LimitState, ...], int]:
        """Take a request under all of its limits, or under none; the wait is 0 where it is taken."""
        states = tuple([self.state(limit, now_us) for limit in limits if limit.rate or limit.max_open])
        wait = 0
        for state in states:
            if (own := state.wait_us(units, now_us)) > 0:
                state.refused += 1
                wait = max(wait, own)
        if wait:
            return (), wait
        for state in states:
            state.acquire(units)
        return states, 0
