"""Messages between members about shared counters, and the record that a member with a disk writes to its slots."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.codec import wire
from hophinge.coordination.counters import Increment


@wire(91)
@dataclass(frozen=True, slots=True)
class CounterProbe:
    """Ask a member to answer: a round trip shows that messages pass in both directions."""

    number: int
    root: int  # the fingerprint of all increments of the sender


@wire(92)
@dataclass(frozen=True, slots=True)
class CounterProbeReply:
    """Answer a probe."""

    number: int
    root: int  # the fingerprint of all increments of the sender
    is_writable: bool  # the sender's disk takes writes


@wire(93)
@dataclass(frozen=True, slots=True)
class ReplicateIncrements:
    """Ask a member to store increments, and to say when they are synced."""

    increments: tuple[Increment, ...]


@wire(94)
@dataclass(frozen=True, slots=True)
class IncrementsReplicated:
    """The sender has synced the increments with these identifiers, or those that count in their place."""

    identifiers: tuple[str, ...]


@wire(95)
@dataclass(frozen=True, slots=True)
class FetchIncrements:
    """Ask for the increments of the buckets, from the first one on, whose fingerprints differ from the sender's."""

    number: int
    first_bucket: int
    fingerprints: tuple[int, ...]


@wire(96)
@dataclass(frozen=True, slots=True)
class IncrementChunk:
    """One of the `count` parts of the answer to a fetch, which covers the buckets before `next_bucket`."""

    number: int
    index: int
    count: int
    next_bucket: int
    increments: tuple[Increment, ...]


@wire(97)
@dataclass(frozen=True, slots=True)
class CounterStateRecord:
    """All increments of one member: the content of a slot."""

    increments: tuple[Increment, ...]


CounterMessage = (
    CounterProbe | CounterProbeReply | ReplicateIncrements | IncrementsReplicated | FetchIncrements | IncrementChunk
)
