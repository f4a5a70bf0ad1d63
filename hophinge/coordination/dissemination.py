"""Epidemic dissemination of small records: the newest stamp of a key wins, digests find what was missed.

News goes at once to some neighbours, each of which passes on what was new to it. What is lost on the way is found when
two members compare digests: marks of buckets first, rows of the buckets that differ, then only the records that lack.

`hophinge.cluster` keeps one stream of entries for each owner; here a key moves between owners (an instance beats at
whichever control member answers), so records are compared key by key.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from hophinge.coordination.codec import wire

BUCKET_COUNT = 16
FINGERPRINT_BYTES = 8
LARGE_BYTES = 2_048  # a larger value is announced by its row to a neighbour, which asks for it if it lacks it
TOMBSTONE_S = 60.0  # how long a record that is gone counts in digests: longer than any member is cut off
PUSH_FANOUT = 2  # neighbours that news is passed on to


@wire(50)
@dataclass(frozen=True, slots=True)
class GossipRecord:
    """A key's value under a stamp. `gone` marks the end of the key."""

    key: str
    stamp: tuple[int, int]
    value: bytes
    is_deleted: bool = False


@wire(51)
@dataclass(frozen=True, slots=True)
class Digest:
    """The marks of all buckets."""

    fingerprints: tuple[int, ...]


@wire(52)
@dataclass(frozen=True, slots=True)
class DigestEntries:
    """Keys with their stamps; with a bucket's number, all that the sender holds in it."""

    bucket: int | None
    entries: tuple[tuple[str, tuple[int, int]], ...]


@wire(53)
@dataclass(frozen=True, slots=True)
class Push:
    """Records."""

    records: tuple[GossipRecord, ...]


@wire(54)
@dataclass(frozen=True, slots=True)
class PullRequest:
    """Ask for records."""

    keys: tuple[str, ...]


GossipMessage = Digest | DigestEntries | Push | PullRequest


def bucket_of(key: str) -> int:
    """Tell a key's bucket."""
    return blake2b(key.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def _fingerprint(key: str, stamp: tuple[int, int]) -> int:
    text = f"{key}\0{stamp[0]}\0{stamp[1]}".encode()
    return int.from_bytes(blake2b(text, digest_size=FINGERPRINT_BYTES).digest(), "big")


@dataclass(slots=True)
class StoredRecord:
    """A record, and when it came."""

    record: GossipRecord
    received_at: float
    fingerprint: int


class GossipStore:
    """The records held by one member, and the marks of their buckets."""

    def __init__(self) -> None:
        self.records: dict[str, StoredRecord] = {}
        self.buckets: list[dict[str, StoredRecord]] = [{} for _ in range(BUCKET_COUNT)]

    def store_if_newer(self, now: float, record: GossipRecord) -> bool:
        """Take a record if it is newer than what is held; tells whether it was."""
        current = self.records.get(record.key)
        if current is not None and current.record.stamp >= record.stamp:
            return False
        stored = StoredRecord(record, now, _fingerprint(record.key, record.stamp))
        self.records[record.key] = stored
        self.buckets[bucket_of(record.key)][record.key] = stored
        return True

    def get(self, key: str) -> GossipRecord | None:
        """Tell a key's record."""
        stored = self.records.get(key)
        return stored.record if stored is not None else None

    def _is_in_digest(self, now: float, stored: StoredRecord) -> bool:
        return not stored.record.is_deleted or now - stored.received_at < TOMBSTONE_S

    def fingerprints(self, now: float) -> tuple[int, ...]:
        """Tell the marks of all buckets."""
        fingerprints = []
        for bucket in self.buckets:
            fingerprint = 0
            for stored in bucket.values():
                if self._is_in_digest(now, stored):
                    fingerprint ^= stored.fingerprint
            fingerprints.append(fingerprint)
        return tuple(fingerprints)

    def entries(self, now: float, bucket: int) -> DigestEntries:
        """Tell all keys of a bucket with their stamps."""
        stored_records = [one for one in self.buckets[bucket].values() if self._is_in_digest(now, one)]
        return DigestEntries(bucket, tuple((one.record.key, one.record.stamp) for one in stored_records))

    def remove_expired_tombstones(self, now: float) -> None:
        """Forget tombstones that no digest counts any more, after as long again."""
        expired_keys = [
            key
            for key, one in self.records.items()
            if one.record.is_deleted and now - one.received_at > 2 * TOMBSTONE_S
        ]
        for key in expired_keys:
            del self.records[key]
            del self.buckets[bucket_of(key)][key]


@dataclass
class DisseminationStep:
    """What a step of dissemination sends, and the records that were new to this member."""

    messages: list[tuple[str, GossipMessage]]
    updates: list[GossipRecord]


class Dissemination:
    """One member's part of the epidemic."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.store = GossipStore()
        self.neighbours: tuple[str, ...] = ()  # to whom news is passed on

    def publish(
        self, now: float, records: Iterable[GossipRecord], direct_recipients: Iterable[str] = ()
    ) -> DisseminationStep:
        """Take own records; `direct` members get them whole."""
        updates = [record for record in records if self.store.store_if_newer(now, record)]
        if not updates:
            return DisseminationStep([], [])
        push = Push(tuple(updates))
        messages: list[tuple[str, GossipMessage]] = [(address, push) for address in direct_recipients]
        return DisseminationStep(messages + self._forward_updates(updates, set(direct_recipients)), updates)

    def _forward_updates(self, updates: list[GossipRecord], already_sent: set[str]) -> list[tuple[str, GossipMessage]]:
        """Pass news on to some neighbours: small records whole, large ones by name."""
        candidates = [address for address in self.neighbours if address not in already_sent]
        recipients = self.random.sample(candidates, min(PUSH_FANOUT, len(candidates)))
        small = tuple(record for record in updates if len(record.value) <= LARGE_BYTES)
        large = tuple((record.key, record.stamp) for record in updates if len(record.value) > LARGE_BYTES)
        messages: list[tuple[str, GossipMessage]] = []
        for address in recipients:
            messages += [(address, Push(small))] if small else []
            messages += [(address, DigestEntries(None, large))] if large else []
        return messages

    def digest(self, now: float) -> Digest:
        """Tell what to compare."""
        return Digest(self.store.fingerprints(now))

    def handle(
        self, now: float, source: str, message: GossipMessage, direct_recipients: Iterable[str] = ()
    ) -> DisseminationStep:
        """Take a message of another member; `direct` members get news whole."""
        match message:
            case Digest(fingerprints=marks):
                mine = self.store.fingerprints(now)
                differ = [number for number in range(min(len(mine), len(marks))) if mine[number] != marks[number]]
                return DisseminationStep([(source, self.store.entries(now, number)) for number in differ], [])
            case DigestEntries():
                return DisseminationStep(self._compare_entries(now, source, message), [])
            case PullRequest(keys=keys):
                found = [record for key in keys if (record := self.store.get(key)) is not None]
                return DisseminationStep([(source, Push(tuple(found)))] if found else [], [])
            case Push(records=records):
                news = [record for record in records if self.store.store_if_newer(now, record)]
                if not news:
                    return DisseminationStep([], [])
                push = Push(tuple(news))
                told = [address for address in direct_recipients if address != source]
                messages: list[tuple[str, GossipMessage]] = [(address, push) for address in told]
                return DisseminationStep(messages + self._forward_updates(news, {source, *told}), news)

    def _compare_entries(self, now: float, source: str, message: DigestEntries) -> list[tuple[str, GossipMessage]]:
        """Ask for what is newer there, and send what is newer here."""
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
        messages: list[tuple[str, GossipMessage]] = [(source, PullRequest(tuple(missing_keys)))] if missing_keys else []
        messages += [(source, Push(tuple(newer_records)))] if newer_records else []
        return messages
