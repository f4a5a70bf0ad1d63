"""Tracks how long instances stay cold according to their heartbeats, and creates the records that inform the heads.

The instance record cannot get another field, since older members would close the connection on it. So how long an
instance stays cold is published as a second record with its own key. The time counts from the receipt of the record by
a head, so a delayed record makes the head limit the instance for too long, but never for too short a time.

A record may also be unconfirmed: an instance that did not respond may have restarted and be cold. This holds until the
record of a later heartbeat, which is published even if nothing else changed. Records are ordered by their stamps, so a
head that has just started, or was disconnected, cannot mistake an older record for the confirmation.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil

from hophinge.coordination.codec import decode, encode, wire
from hophinge.coordination.dissemination import GossipRecord, Stamp

WARMUP_PREFIX = "warmup/"
REMAINING_TOLERANCE_S = 0.2  # by which the end of a cold phase may move without a new record
MILLISECONDS = 1_000
UNCONFIRMED_MS = -1  # the value of `Warmup.remaining_ms` for an instance that is suspected


@wire(100)
@dataclass(frozen=True, slots=True)
class Warmup:
    """How much longer an instance stays cold, from the receipt of this message; 0 if it is warm."""

    remaining_ms: int  # UNCONFIRMED_MS if it is unknown until the next heartbeat

    @property
    def is_confirmed(self) -> bool:
        """Whether the value comes from the instance's newest heartbeat, without a suspicion since."""
        return self.remaining_ms != UNCONFIRMED_MS

    @property
    def remaining_s(self) -> float:
        """The remaining time in seconds; 0 if it is unconfirmed."""
        return max(0, self.remaining_ms) / MILLISECONDS


def warmup_record(identity: str, warmup: Warmup, stamp: Stamp) -> GossipRecord:
    """Return the warmup record of an instance."""
    return GossipRecord(WARMUP_PREFIX + identity, stamp, encode(warmup))


def warmup_tombstone(identity: str, stamp: Stamp) -> GossipRecord:
    """Return the tombstone of the warmup record of an instance that has ended."""
    return GossipRecord(WARMUP_PREFIX + identity, stamp, b"", True)


def warmup_of(record: GossipRecord) -> Warmup | None:
    """Return the content of a warmup record; None for a tombstone or a record of another kind."""
    if record.is_deleted or not record.key.startswith(WARMUP_PREFIX):
        return None
    value = decode(record.value)
    return value if isinstance(value, Warmup) else None


@dataclass(slots=True)
class PublishedWarmup:
    """The newest published warmup record of an instance."""

    stamp: Stamp
    warmup: Warmup
    cold_until: float  # seconds on the caller's clock


class WarmupTable:
    """The newest warmup record of each instance that one control member knows."""

    def __init__(self) -> None:
        self.published: dict[str, PublishedWarmup] = {}

    def record_heartbeat(self, now: float, identity: str, remaining_s: float, sequence: int) -> GossipRecord | None:
        """Apply the newest heartbeat of an instance; return the record to publish, or None if none is needed."""
        published = self.published.get(identity)
        if published is not None and not _needs_publication(now, published, remaining_s):
            return None
        return self._publish(now, identity, Warmup(ceil(remaining_s * MILLISECONDS)), (sequence, 0))

    def suspect(self, now: float, identities: Iterable[str]) -> list[GossipRecord]:
        """Mark the records of instances as unconfirmed, since they may have restarted; return those to publish."""
        records: list[GossipRecord] = []
        for identity in identities:
            published = self.published.get(identity)
            if published is not None and published.warmup.is_confirmed:
                sequence, minor = published.stamp
                records.append(self._publish(now, identity, Warmup(UNCONFIRMED_MS), (sequence, minor + 1)))
        return records

    def _publish(self, now: float, identity: str, warmup: Warmup, stamp: Stamp) -> GossipRecord:
        self.published[identity] = PublishedWarmup(stamp, warmup, now + warmup.remaining_s)
        return warmup_record(identity, warmup, stamp)

    def apply_record(self, now: float, record: GossipRecord) -> None:
        """Apply a record that was received from another member."""
        identity = record.key.removeprefix(WARMUP_PREFIX)
        warmup = warmup_of(record)
        if warmup is None:
            self.forget(identity)
            return
        published = self.published.get(identity)
        if published is None or published.stamp < record.stamp:
            self.published[identity] = PublishedWarmup(record.stamp, warmup, now + warmup.remaining_s)

    def tombstone(self, identity: str) -> GossipRecord | None:
        """Return the tombstone for an instance that is removed after silence; None if no record was published."""
        published = self.published.get(identity)
        if published is None:
            return None
        sequence, minor = published.stamp
        return warmup_tombstone(identity, (sequence, minor + 1))

    def forget(self, identity: str) -> None:
        """Remove an instance that has ended."""
        self.published.pop(identity, None)


def _needs_publication(now: float, published: PublishedWarmup, remaining_s: float) -> bool:
    """Return whether a heartbeat changes the newest record, or has to confirm it."""
    is_longer = remaining_s > 0 and now + remaining_s > published.cold_until + REMAINING_TOLERANCE_S
    is_over = remaining_s <= 0 and published.warmup.remaining_ms > 0
    return is_longer or is_over or not published.warmup.is_confirmed
