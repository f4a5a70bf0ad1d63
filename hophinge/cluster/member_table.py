"""The newest record of each member, and the last incarnation of members that were forgotten."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from msgspec import Struct

from hophinge.cluster.interface import Member
from hophinge.cluster.messages import LEFT, MemberRecord, fingerprint

BUCKETS = 32  # by which members are compared: of 1,000 members about 31 in each, two datagrams of digests
FORGOTTEN_PER_MEMBER = 4  # forgotten members are remembered up to this multiple of the limit on members


class TrackedMember(Struct):
    """One member and its failure detection; times in microseconds."""

    record: MemberRecord
    state_changed_us: int
    last_ack_us: int = -1  # of the last acknowledgement of a probe by this process itself
    accusers: frozenset[str] = frozenset()
    stalled_us: int = 0  # for how long this process had stalled in all when the suspicion began
    is_verifying: bool = False  # a report of its death is being verified
    rival: MemberRecord | None = None  # a newer process with the same name at another address
    bucket: int = 0
    fingerprint: int = 0  # its share of the bucket's fingerprint
    member: Member | None = None  # the record as other packages see it


class ForgottenMember(NamedTuple):
    """A member that was removed from the table."""

    incarnation: int
    forgotten_us: int
    address: str  # empty if the member left on its own


def bucket_of(name: str) -> int:
    """Return the bucket of a member's name."""
    return zlib.crc32(name.encode()) % BUCKETS


class MemberTable:
    """Members by name, this one's own included.

    Args:
        own_record: The record of this member.
        max_members: The limit on tracked members, dead ones included.
        now_us: The current time.
        encoded_digests: Returns the digests of an owner's entries as bytes.
        count: Increments a counter by name.

    """

    def __init__(
        self,
        own_record: MemberRecord,
        max_members: int,
        now_us: int,
        encoded_digests: Callable[[str], bytes],
        count: Callable[[str], None],
    ) -> None:
        self.own_name = own_record.name
        self.max_members = max_members
        self.encoded_digests = encoded_digests
        self.count = count
        self.tracked: dict[str, TrackedMember] = {}
        self.forgotten: OrderedDict[str, ForgottenMember] = OrderedDict()
        self.buckets = [0] * BUCKETS  # fingerprints
        self.live: dict[str, None] = {}  # names of live members, in order of arrival
        self.live_by_bucket: list[set[str]] = [set() for _ in range(BUCKETS)]
        self.update(own_record, now_us)

    @property
    def own_record(self) -> MemberRecord:
        """The record of this member."""
        return self.tracked[self.own_name].record

    def record(self, name: str) -> MemberRecord | None:
        """Return the newest record of a member, if it is tracked."""
        tracked = self.tracked.get(name)
        return tracked.record if tracked is not None else None

    def update(self, record: MemberRecord, now_us: int) -> bool:
        """Store a record; returns False if it is of a new member beyond the limit."""
        tracked = self.tracked.get(record.name)
        if tracked is None:
            if len(self.tracked) >= self.max_members and record.name != self.own_name:
                self.count("members_over_bound")
                return False
            tracked = TrackedMember(record, now_us, bucket=bucket_of(record.name))
            self.tracked[record.name] = tracked
            self.forgotten.pop(record.name, None)
        else:
            if tracked.record.generation != record.generation:
                tracked.last_ack_us = -1
                tracked.rival = None
            if tracked.record.incarnation != record.incarnation or not record.is_live:
                tracked.accusers = frozenset()
            tracked.record = record
            tracked.state_changed_us = now_us
            tracked.is_verifying = False
        tracked.member = record.to_member()
        if record.is_live:
            self.live[record.name] = None
            self.live_by_bucket[tracked.bucket].add(record.name)
        else:
            self.live.pop(record.name, None)
            self.live_by_bucket[tracked.bucket].discard(record.name)
        self.refresh_fingerprint(record.name)
        return True

    def refresh_fingerprint(self, name: str) -> None:
        """Update the fingerprint of a member whose record or entries have changed."""
        tracked = self.tracked.get(name)
        if tracked is None:
            return
        new_fingerprint = 0
        if tracked.record.is_live:
            new_fingerprint = fingerprint(
                b"%d %s %s" % (tracked.record.incarnation, name.encode(), self.encoded_digests(name))
            )
        self.buckets[tracked.bucket] ^= tracked.fingerprint ^ new_fingerprint
        tracked.fingerprint = new_fingerprint

    def members(self) -> Iterator[Member]:
        """Return all tracked members, sorted by name."""
        for name in sorted(self.tracked):
            yield self.tracked[name].member or self.tracked[name].record.to_member()

    def forget(self, name: str, now_us: int) -> None:
        """Remove a member, and remember its incarnation so that stale records of it are recognized."""
        tracked = self.tracked.pop(name)
        self.live.pop(name, None)
        self.live_by_bucket[tracked.bucket].discard(name)
        self.buckets[tracked.bucket] ^= tracked.fingerprint
        record = tracked.record
        address = record.address if record.state != LEFT else ""
        self.forgotten[name] = ForgottenMember(record.incarnation, now_us, address)
        while len(self.forgotten) > self.max_members * FORGOTTEN_PER_MEMBER:
            self.forgotten.popitem(last=False)

    def forgotten_incarnation(self, name: str) -> int:
        """Return the last incarnation of a forgotten member, -1 if none is remembered."""
        return self.forgotten[name].incarnation if name in self.forgotten else -1

    def expire_forgotten(self, before_us: int) -> None:
        """Drop what is remembered of members that were forgotten before a time."""
        while self.forgotten and next(iter(self.forgotten.values())).forgotten_us < before_us:
            self.forgotten.popitem(last=False)

    def lost_addresses(self) -> list[str]:
        """Return the addresses of forgotten members that did not leave on their own."""
        return [member.address for member in self.forgotten.values() if member.address]

    def others(self) -> list[MemberRecord]:
        """Return the records of the other live members."""
        return [self.tracked[name].record for name in self.live if name != self.own_name]

    def bucket_records(self, bucket: int) -> Iterator[MemberRecord]:
        """Return the records of the live members of one bucket, sorted by name."""
        for name in sorted(self.live_by_bucket[bucket]):
            yield self.tracked[name].record
