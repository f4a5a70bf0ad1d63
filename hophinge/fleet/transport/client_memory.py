"""The memory that all clients together make one process hold, without I/O.

Each connection reports what it holds: bytes that are not parsed, requests with their headers and bodies, and responses
that are not sent. What a client makes the process hold by not reading is taken back from those that hold most. What a
request needs before it is served is refused instead, and taken back only from clients that have stopped sending.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, Self

MIB = 1 << 20
DEFAULT_MEMORY_BYTES = 300 * MIB  # of a machine whose settings do not say
CLIENTS_FRACTION = 64 / 300  # of the machine's memory, for everything that clients make a process hold
RESERVE_FRACTION = 8 / 300  # in addition, for connections that hold at most SMALL_BYTES
SMALL_BYTES = 64 << 10
RECLAIM_FRACTION = 0.9  # of the limit, down to which memory is taken back


class BodyMemoryFullError(Exception):
    """A request would make the process exceed the memory for clients: nothing of it was executed."""


class RequestMemory(Protocol):
    """The memory of a connection, as the requests on it use it."""

    def reserve(self, count: int) -> None:
        """Reserve bytes for a request.

        Raises:
            BodyMemoryFullError: All clients together would hold too much.

        """

    def hold(self, count: int) -> None:
        """Account for bytes that a request takes in any case."""

    def release(self, count: int) -> None:
        """Release reserved bytes."""


class MemoryReservation:
    """The memory that one request reserves; the end of the context releases it."""

    def __init__(self, memory: RequestMemory) -> None:
        self.memory = memory
        self.reserved = 0

    def __enter__(self) -> Self:
        """Begin without any memory."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Release all."""
        self.memory.release(self.reserved)

    def extend(self, count: int) -> None:
        """Reserve more bytes.

        Raises:
            BodyMemoryFullError: All clients together would hold too much.

        """
        self.reserved += count  # released also if it did not fit
        self.memory.reserve(count)

    def hold(self, count: int) -> None:
        """Account for bytes that the request takes in any case."""
        self.reserved += count
        self.memory.hold(count)


class MemoryHolder(Protocol):
    """A connection."""

    def measure_memory(self) -> int:
        """Return the bytes that it holds now."""

    @property
    def unsent_bytes(self) -> int:
        """The bytes that its client has not read yet."""

    @property
    def began_at(self) -> float:
        """When its latest request began, in seconds on the caller's clock."""

    def is_incomplete(self) -> bool:
        """Return whether its latest request is still being read."""

    def is_stalled(self) -> bool:
        """Return whether the process waits for the rest of a request, and nearly nothing of it arrives."""

    def release_memory(self) -> None:
        """Release what it holds: reject the incomplete request, or close if the client does not read."""


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """How much may be held, in bytes."""

    common_bytes: int
    reserve_bytes: int  # in addition, for connections that hold at most SMALL_BYTES

    @classmethod
    def of_machine(cls, memory_bytes: int) -> MemoryLimits:
        """Return the limits of a process on a machine with this memory."""
        return cls(int(memory_bytes * CLIENTS_FRACTION), int(memory_bytes * RESERVE_FRACTION))


class ClientMemory:
    """The memory that the connections of one process hold."""

    def __init__(self, limits: MemoryLimits) -> None:
        self.limits = limits
        self.used = 0
        self._held: dict[MemoryHolder, int] = {}
        self.reclaimed = 0  # times that memory was taken back from a connection

    def update(self, holder: MemoryHolder) -> None:
        """Record what a connection holds now, and take memory back where all together hold too much."""
        self._record(holder)
        if self.used > self.limits.common_bytes + self.limits.reserve_bytes:
            self._reclaim()

    def forget(self, holder: MemoryHolder) -> None:
        """Record that a connection is closed."""
        self.used -= self._held.pop(holder, 0)

    def require(self, holder: MemoryHolder) -> None:
        """Check that what a connection holds now is within the limit for its size.

        Of requests that are being read, those that began first are read on, or none of many would be completed.

        Raises:
            BodyMemoryFullError: It is not, and no other connection can be made to release enough.

        """
        self._record(holder)
        if self._exceeds_limit(holder):
            self._reclaim(spared=holder)
            self._reject_younger(holder)
            if self._exceeds_limit(holder):
                raise BodyMemoryFullError

    def _record(self, holder: MemoryHolder) -> None:
        held = holder.measure_memory()
        self.used += held - self._held.get(holder, 0)
        if held:
            self._held[holder] = held
        else:
            self._held.pop(holder, None)

    def _exceeds_limit(self, holder: MemoryHolder) -> bool:
        is_small = self._held.get(holder, 0) <= SMALL_BYTES
        return self.used > self.limits.common_bytes + (self.limits.reserve_bytes if is_small else 0)

    def _reclaim(self, spared: MemoryHolder | None = None) -> None:
        """Take memory back from connections whose clients do not read, then from those that do not send."""
        for holder in list(self._held):
            self._record(holder)
        self._release_largest(lambda holder: holder.unsent_bytes if holder is not spared else 0)
        self._release_largest(lambda holder: self._held[holder] if holder is not spared and holder.is_stalled() else 0)

    def _reject_younger(self, holder: MemoryHolder) -> None:
        """Reject incomplete requests that began after a connection's own, the latest first."""
        younger = [other for other in self._held if other.is_incomplete() and other.began_at > holder.began_at]
        for other in sorted(younger, key=lambda other: other.began_at, reverse=True):
            if not self._exceeds_limit(holder):
                return
            if self._held.get(other, 0) > SMALL_BYTES:
                self._release(other)

    def _release(self, holder: MemoryHolder) -> None:
        self.reclaimed += 1
        holder.release_memory()
        self._record(holder)

    def _release_largest(self, reclaimable: Callable[[MemoryHolder], int]) -> None:
        """Have those with the most reclaimable bytes release them, until enough is free."""
        target = RECLAIM_FRACTION * self.limits.common_bytes
        if self.used <= target:
            return
        sizes = {holder: size for holder in self._held if (size := reclaimable(holder))}
        for holder in sorted(sizes, key=lambda holder: sizes[holder], reverse=True):
            if self.used <= target:
                return
            self._release(holder)
