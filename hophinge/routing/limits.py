"""Limits by scope at this head: request rates with a burst (token buckets), and the number of open requests.

A request is open until it is answered. It must be within all limits that match it.

A limit's state survives a version that changes the limit, so that units which were already used stay used: raising a
limit does not grant them a second time, and lowering it does not cancel a debt. If a limit without a rate gets one, its
bucket starts full.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hophinge.routing.records import Limit, Scope

MIN_RETRY_AFTER_US = 10_000  # shortest retry advice to a rejected client, which would otherwise retry at once
INITIAL_OPEN_US = 100_000  # initial estimate of how long a request stays open
OPEN_TIME_WEIGHT = 0.1  # weight of the newest request in the moving average of open times
MAX_UNUSED_STATES = 256  # states of removed limits that are kept before a scan drops them


class LimitState:
    """Token bucket and open requests of one limit; a negative level is a debt."""

    __slots__ = ("updated_us", "mean_open_us", "level", "limit", "open", "refused")

    def __init__(self, limit: Limit, now_us: int) -> None:
        self.limit = limit
        self.updated_us = now_us
        self.level = self.depth
        self.open = 0
        self.refused = 0
        self.mean_open_us = float(INITIAL_OPEN_US)

    @property
    def depth(self) -> float:
        """Capacity of the bucket, in units."""
        return self.limit.rate * self.limit.burst_us / 1e6

    def refill(self, now_us: int) -> float:
        """Refill the bucket up to now and return its level; a clock that steps back adds nothing."""
        self.level = min(self.depth, self.level + self.limit.rate * max(0, now_us - self.updated_us) / 1e6)
        self.updated_us = now_us
        return self.level

    def set_limit(self, limit: Limit, now_us: int) -> None:
        """Replace the limit by that of another version; used units stay used unless the old limit had no rate."""
        self.refill(now_us)
        has_new_rate = not self.limit.rate and limit.rate
        self.limit = limit
        self.level = self.depth if has_new_rate else min(self.level, self.depth)

    def wait_us(self, units: float, now_us: int) -> int:
        """Return the microseconds until a request may be admitted; 0 means now."""
        wait = 0.0
        # A request larger than the burst is admitted by a full bucket and leaves a debt; it could never pass otherwise.
        needed = min(units, self.depth)
        if self.limit.rate and self.refill(now_us) < needed:
            wait = (needed - self.level) / self.limit.rate * 1e6
        if self.limit.max_open and self.open >= self.limit.max_open:
            # By Little's law, one of the open requests ends in each such interval on average.
            wait = max(wait, self.mean_open_us / self.limit.max_open)
        return max(MIN_RETRY_AFTER_US, int(wait) + 1) if wait > 0 else 0

    def acquire(self, units: float) -> None:
        """Count an admitted request."""
        self.level -= units if self.limit.rate else 0.0
        self.open += 1

    def refund(self, units: float) -> None:
        """Undo `acquire` for a request that was rejected by a later check."""
        self.level += units if self.limit.rate else 0.0
        self.open -= 1

    def release(self, open_us: int) -> None:
        """Record the end of a request that was open for `open_us` microseconds."""
        self.open -= 1
        self.mean_open_us += (open_us - self.mean_open_us) * OPEN_TIME_WEIGHT


class ByteRateState:
    """Byte rates of long bodies under one limit, in and out: a transfer is paced by a delay after each chunk.

    Transferred bytes are taken from a bucket that may become negative; a transfer waits until that debt is refilled.
    All transfers share the bucket, and so the rate, in the order of their chunks.
    """

    __slots__ = ("updated_us", "levels")

    def __init__(self, limit: Limit, now_us: int) -> None:
        self.levels = [limit.bytes_in, limit.bytes_out]
        self.updated_us = [now_us, now_us]

    def pacing_delay_us(self, limit: Limit, direction: int, size: int, now_us: int) -> int:
        """Count `size` transferred bytes; return the us until the next chunk may follow. `direction`: 0 in, 1 out."""
        rate = (limit.bytes_in, limit.bytes_out)[direction]
        if not rate:
            return 0
        level = min(rate, self.levels[direction] + rate * max(0, now_us - self.updated_us[direction]) / 1e6) - size
        self.levels[direction] = level
        self.updated_us[direction] = now_us
        return max(0, int(-level / rate * 1e6))


class Limiter:
    """States of the limits that were used, including removed ones until `drop_removed` drops them."""

    def __init__(self) -> None:
        self.states: dict[str, LimitState] = {}
        self.byte_rates: dict[str, ByteRateState] = {}

    def drop_removed(self, find_limit: Callable[[Scope], Limit | None], size: int) -> None:
        """Drop the states of removed limits once there are many; open requests keep references to theirs.

        Args:
            find_limit: Returns the limit of a scope, or None if the active version has none.
            size: Number of limits of the active version.

        """
        if len(self.states) > 2 * size + MAX_UNUSED_STATES:
            self.states = {
                key: state for key, state in self.states.items() if find_limit(state.limit.scope) is not None
            }
        if len(self.byte_rates) > 2 * size + MAX_UNUSED_STATES:
            self.byte_rates = {}  # each limit is granted at most one more second's worth of bytes

    def state(self, limit: Limit, now_us: int) -> LimitState:
        """Return a limit's state.

        The state is created on first use and adopts a changed limit on its next use, so that neither idle tenants nor
        the activation of a version cost anything.
        """
        state = self.states.get(limit.key)
        if state is None:
            state = self.states[limit.key] = LimitState(limit, now_us)
        elif state.limit is not limit:
            state.set_limit(limit, now_us)
        return state

    def pacing_delay_us(self, limits: Iterable[Limit], direction: int, size: int, now_us: int) -> int:
        """Count transferred bytes under all matching limits; return the longest delay, in microseconds."""
        delay_us = 0
        for limit in limits:
            if limit.bytes_in or limit.bytes_out:
                key = limit.key
                byte_rate = self.byte_rates.get(key) or self.byte_rates.setdefault(key, ByteRateState(limit, now_us))
                delay_us = max(delay_us, byte_rate.pacing_delay_us(limit, direction, size, now_us))
        return delay_us

    def admit(self, limits: Iterable[Limit], units: float, now_us: int) -> tuple[tuple[LimitState, ...], int]:
        """Admit a request if all of its limits allow it; otherwise count it under none of them.

        Returns:
            The states that count the request, and 0; or no states, and the microseconds to wait before a retry.

        """
        states = tuple([self.state(limit, now_us) for limit in limits if limit.rate or limit.max_open])
        wait_us = 0
        for state in states:
            if (state_wait_us := state.wait_us(units, now_us)) > 0:
                state.refused += 1
                wait_us = max(wait_us, state_wait_us)
        if wait_us:
            return (), wait_us
        for state in states:
            state.acquire(units)
        return states, 0
