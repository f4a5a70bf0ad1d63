"""Epidemic dissemination of small records: the newest stamp of a key wins, anti-entropy finds what was missed.

Updates are pushed at once to some neighbours, each of which pushes on what was new to it. What is lost on the way is
found when two members compare digests: fingerprints of buckets first, then keys and stamps of the buckets that differ,
then only the missing records.

`hophinge.cluster` keeps one stream of entries for each owner; here a key moves between owners (an instance sends its
heartbeats to whichever control member answers), so records are compared key by key.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from hophinge.coordination.addressed import AddressedMessage
from hophinge.coordination.codec import wire

BUCKET_COUNT = 16
FINGERPRINT_BYTES = 8
LARGE_BYTES = 2_048  # a larger value is announced to a neighbour by its stamp, and pulled where it is missing
TOMBSTONE_S = 60.0  # how long a deleted record counts in digests: longer than any member is cut off
PUSH_FANOUT = 2  # neighbours that an update is pushed to

Stamp = tuple[int, int]  # orders the values of one key; compared as a tuple, e.g. (incarnation, sequence)


@wire(50)
@dataclass(frozen=True, slots=True)
class GossipRecord:
    """A key's value under a stamp; a deleted record is a tombstone."""

    key: str
    stamp: Stamp
    value: bytes
    is_deleted: bool = False


@wire(51)
@dataclass(frozen=True, slots=True)
class Digest:
    """The fingerprints of all buckets."""

    fingerprints: tuple[int, ...]


@wire(52)
@dataclass(frozen=True, slots=True)
class DigestEntries:
    """Keys with their stamps: all that the sender stores in a bucket, or some where `bucket` is None."""

    bucket: int | None
    entries: tuple[tuple[str, Stamp], ...]


@wire(53)
@dataclass(frozen=True, slots=True)
class Push:
    """Records that may be new to the receiver."""

    records: tuple[GossipRecord, ...]


@wire(54)
@dataclass(frozen=True, slots=True)
class PullRequest:
    """Ask for the records of some keys."""

    keys: tuple[str, ...]


GossipMessage = Digest | DigestEntries | Push | PullRequest


def bucket_of(key: str) -> int:
    """Return the index of a key's bucket."""
    return blake2b(key.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def _fingerprint(key: str, stamp: Stamp) -> int:
    text = f"{key}\0{stamp[0]}\0{stamp[1]}".encode()
    return int.from_bytes(blake2b(text, digest_size=FINGERPRINT_BYTES).digest(), "big")


@dataclass(slots=True)
class StoredRecord:
    """A record, when it was received, and its contribution to the fingerprint of its bucket."""

    record: GossipRecord
    received_at: float
    fingerprint: int


class GossipStore:
    """The records of one member, in buckets that are compared by fingerprint."""

    def __init__(self) -> None:
        self.records: dict[str, StoredRecord] = {}
        self.buckets: list[dict[str, StoredRecord]] = [{} for _ in range(BUCKET_COUNT)]

    def store_if_newer(self, now: float, record: GossipRecord) -> bool:
        """Store a record if its stamp is above the stored one; return whether it was."""
        current = self.records.get(record.key)
        if current is not None and current.record.stamp >= record.stamp:
            return False
        stored = StoredRecord(record, now, _fingerprint(record.key, record.stamp))
        self.records[record.key] = stored
        self.buckets[bucket_of(record.key)][record.key] = stored
        return True

    def get(self, key: str) -> GossipRecord | None:
        """Return a key's record, which may be a tombstone."""
        stored = self.records.get(key)
        return stored.record if stored is not None else None

    def _is_in_digest(self, now: float, stored: StoredRecord) -> bool:
        return not stored.record.is_deleted or now - stored.received_at < TOMBSTONE_S

    def fingerprints(self, now: float) -> tuple[int, ...]:
        """Return the fingerprints of all buckets: the XOR of those of their records."""
        fingerprints = []
        for bucket in self.buckets:
            fingerprint = 0
            for stored in bucket.values():
                if self._is_in_digest(now, stored):
                    fingerprint ^= stored.fingerprint
            fingerprints.append(fingerprint)
        return tuple(fingerprints)

    def entries(self, now: float, bucket: int) -> DigestEntries:
        """Return all keys of a bucket with their stamps."""
        counted = [stored for stored in self.buckets[bucket].values() if self._is_in_digest(now, stored)]
        return DigestEntries(bucket, tuple((stored.record.key, stored.record.stamp) for stored in counted))

    def remove_expired_tombstones(self, now: float) -> None:
        """Remove tombstones that have been out of all digests for as long as they were in them."""
        expired_keys = [
            key
            for key, stored in self.records.items()
            if stored.record.is_deleted and now - stored.received_at > 2 * TOMBSTONE_S
        ]
        for key in expired_keys:
            del self.records[key]
            del self.buckets[bucket_of(key)][key]


@dataclass
class DisseminationStep:
    """The outputs of one step: messages to send, and the records that were new to this member."""

    messages: list[AddressedMessage[GossipMessage]]
    updates: list[GossipRecord]


class Dissemination:
    """One member's part in the dissemination."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.store = GossipStore()
        self.neighbours: tuple[str, ...] = ()  # addresses that updates are pushed to

    def publish(
        self, now: float, records: Iterable[GossipRecord], direct_recipients: Iterable[str] = ()
    ) -> DisseminationStep:
        """Store and push records of this member; direct recipients are sent also large ones at once."""
        updates = [record for record in records if self.store.store_if_newer(now, record)]
        if not updates:
            return DisseminationStep([], [])
        return DisseminationStep(self._push_updates(updates, list(direct_recipients), set()), updates)

    def _push_updates(
        self, updates: list[GossipRecord], direct_recipients: list[str], already_sent: set[str]
    ) -> list[AddressedMessage[GossipMessage]]:
        """Push updates to the direct recipients in full, and to some neighbours: of large ones only the stamp."""
        push = Push(tuple(updates))
        messages: list[AddressedMessage[GossipMessage]] = [
            AddressedMessage(address, push) for address in direct_recipients
        ]
        informed = already_sent.union(direct_recipients)
        candidates = [address for address in self.neighbours if address not in informed]
        recipients = self.random.sample(candidates, min(PUSH_FANOUT, len(candidates)))
        small = tuple(record for record in updates if len(record.value) <= LARGE_BYTES)
        large = tuple((record.key, record.stamp) for record in updates if len(record.value) > LARGE_BYTES)
        for address in recipients:
            if small:
                messages.append(AddressedMessage(address, Push(small)))
            if large:
                messages.append(AddressedMessage(address, DigestEntries(None, large)))
        return messages

    def digest(self, now: float) -> Digest:
        """Return the digest that another member compares with its own."""
        return Digest(self.store.fingerprints(now))

    def handle(
        self, now: float, source: str, message: GossipMessage, direct_recipients: Iterable[str] = ()
    ) -> DisseminationStep:
        """Handle a message of another member; direct recipients are sent also large updates at once."""
        match message:
            case Digest(fingerprints=fingerprints):
                return DisseminationStep(self._compare_digest(now, source, fingerprints), [])
            case DigestEntries():
                return DisseminationStep(self._compare_entries(now, source, message), [])
            case PullRequest(keys=keys):
                records = [record for key in keys if (record := self.store.get(key)) is not None]
                reply = [AddressedMessage[GossipMessage](source, Push(tuple(records)))] if records else []
                return DisseminationStep(reply, [])
            case Push(records=pushed):
                updates = [record for record in pushed if self.store.store_if_newer(now, record)]
                if not updates:
                    return DisseminationStep([], [])
                others = [address for address in direct_recipients if address != source]
                return DisseminationStep(self._push_updates(updates, others, {source}), updates)

    def _compare_digest(
        self, now: float, source: str, remote: tuple[int, ...]
    ) -> list[AddressedMessage[GossipMessage]]:
        """Answer with the entries of the buckets whose fingerprints differ."""
        local = self.store.fingerprints(now)
        differing = [bucket for bucket in range(min(len(local), len(remote))) if local[bucket] != remote[bucket]]
        return [AddressedMessage(source, self.store.entries(now, bucket)) for bucket in differing]

    def _compare_entries(
        self, now: float, source: str, message: DigestEntries
    ) -> list[AddressedMessage[GossipMessage]]:
        """Request the records that are newer at the source, and push those that are newer here."""
        remote_stamps = dict(message.entries)
        missing_keys: list[str] = []
        newer_records: list[GossipRecord] = []
        for key, stamp in remote_stamps.items():
            stored = self.store.records.get(key)
            if stored is None or stored.record.stamp < stamp:
                missing_keys.append(key)
            elif stored.record.stamp > stamp:
                newer_records.append(stored.record)
        if message.bucket is not None and 0 <= message.bucket < BUCKET_COUNT:
            local_stamps = dict(self.store.entries(now, message.bucket).entries)
            newer_records += [self.store.records[key].record for key in local_stamps if key not in remote_stamps]
        messages: list[AddressedMessage[GossipMessage]] = []
        if missing_keys:
            messages.append(AddressedMessage(source, PullRequest(tuple(missing_keys))))
        if newer_records:
            messages.append(AddressedMessage(source, Push(tuple(newer_records))))
        return messages
