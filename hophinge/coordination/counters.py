"""Shared counters as a join: the set of all increments by their identifiers, merged by union.

A counter's total is the sum over distinct identifiers, so that an increment which arrives twice, late or in another
order counts once without any agreement. Of two increments with one identifier and different content, the one with the
smaller encoding counts at every member.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b

from hophinge.coordination.codec import encode, wire

BUCKET_COUNT = 256  # in which the increments of two members are compared
FINGERPRINT_BYTES = 8


@wire(90)
@dataclass(frozen=True, slots=True)
class Increment:
    """An amount added to a counter, under an identifier that counts once; also the record of it on a disk."""

    identifier: str
    counter: str
    amount: int


def bucket_of(identifier: str) -> int:
    """Return the index of the bucket of an identifier."""
    return blake2b(identifier.encode(), digest_size=1).digest()[0]


def fingerprint_of(increment: Increment) -> int:
    """Return the fingerprint of an increment's whole content."""
    return int.from_bytes(blake2b(encode(increment), digest_size=FINGERPRINT_BYTES).digest(), "big")


def _name_bytes(increment: Increment) -> int:
    return len(increment.identifier) + len(increment.counter)


class CounterSet:
    """The increments that one member has, the totals, and fingerprints by which two members compare what they have."""

    def __init__(self) -> None:
        self.buckets: list[dict[str, Increment]] = [{} for _ in range(BUCKET_COUNT)]
        self.fingerprints = [0] * BUCKET_COUNT  # of each bucket: the XOR of those of its increments
        self.root = 0  # the XOR of all fingerprints: equal where two members have the same increments
        self.totals: dict[str, int] = {}
        self.count = 0
        self.name_bytes = 0  # of all identifiers and of the counters' names beside them

    def merge(self, increment: Increment) -> bool:
        """Add an increment; return whether the set has changed."""
        index = bucket_of(increment.identifier)
        current = self.buckets[index].get(increment.identifier)
        if current is not None:
            if encode(increment) >= encode(current):
                return False
            self._remove(index, current)
        self.buckets[index][increment.identifier] = increment
        self._count(index, increment, increment.amount)
        self.count += 1
        self.name_bytes += _name_bytes(increment)
        return True

    def _remove(self, index: int, increment: Increment) -> None:
        del self.buckets[index][increment.identifier]
        self._count(index, increment, -increment.amount)
        self.count -= 1
        self.name_bytes -= _name_bytes(increment)

    def _count(self, index: int, increment: Increment, amount: int) -> None:
        """Add to the total, and to or from the fingerprints: XOR is its own inverse."""
        self.totals[increment.counter] = self.totals.get(increment.counter, 0) + amount
        fingerprint = fingerprint_of(increment)
        self.fingerprints[index] ^= fingerprint
        self.root ^= fingerprint

    def total(self, counter: str) -> int:
        """Return a counter's total; that of a new name is 0."""
        return self.totals.get(counter, 0)

    def get(self, identifier: str) -> Increment | None:
        """Return the increment that counts under an identifier."""
        return self.buckets[bucket_of(identifier)].get(identifier)

    def increments(self) -> Iterator[Increment]:
        """Return all increments."""
        for bucket in self.buckets:
            yield from bucket.values()

    def differing_buckets(self, remote: Iterable[int], first: int = 0) -> list[int]:
        """Return the buckets from `first` on whose fingerprints differ from those of another member."""
        pairs = zip(self.fingerprints, remote, strict=False)
        return [index for index, (local, other) in enumerate(pairs) if index >= first and local != other]
