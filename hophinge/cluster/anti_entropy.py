"""Anti-entropy: two members compare what they store and exchange what either lacks, which repairs lost gossip.

Fingerprints of buckets come first, then digests of the members in buckets that differ, then only the changes above
those digests: two members that agree pay for one datagram.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from hophinge.cluster.core import Core
from hophinge.cluster.datagram import MAX_PAYLOAD_BYTES
from hophinge.cluster.entry_store import UNKNOWN_FINGERPRINT
from hophinge.cluster.member_table import BUCKETS, bucket_of
from hophinge.cluster.messages import (
    DEAD,
    TOPICS,
    BucketDigest,
    MemberDigest,
    MemberRecord,
    Message,
    StreamDelta,
    Summary,
    encode_fields,
    encode_message,
)
from hophinge.cluster.replication import apply_delta, missing_deltas
from hophinge.cluster.send_budget import FIRST_TOPIC_RANK, MEMBER_RANK

BUCKETS_PER_SUMMARY = 4  # whose digests are sent in answer to one summary
MAX_DATAGRAMS = 12  # sent in answer to one digest: the next comparison continues from there
MAX_DIGEST_MEMBERS = 60  # sent in one digest; a reader accepts 64
DIGEST_OVERHEAD_BYTES = 150  # of a digest without its members, two names included
MAX_SEQUENCE = 2**48  # of a stream: only a faulty member exceeds it, and a new generation begins at 0


class ReplicaGap(NamedTuple):
    """A member whose entries the other side has only up to a digest."""

    record: MemberRecord
    digest: MemberDigest


class DigestComparison:
    """What follows from the comparison with another member's digest of a bucket."""

    def __init__(self) -> None:
        self.pulls: list[MemberDigest] = []  # what the other member has more of
        self.records: list[MemberRecord] = []  # newer than the other member's
        self.gaps: list[ReplicaGap] = []


class AntiEntropy:
    """Compares this member's tables with those of a random member each interval."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.has_differences = False  # since the last round
        self.last_superseded_us = -core.tuning.supersede_interval_us

    def start(self) -> None:
        """Schedule the first round."""
        self.core.call_later(self.core.rng.randrange(1, self.core.tuning.sync_interval_us), self.run_round)

    def run_round(self) -> None:
        """Compare with a random member; the next round is sooner if differences were found."""
        core = self.core
        others = core.members.others()
        if others:
            core.send(core.rng.choice(others).address, [self.summary()], MEMBER_RANK)
        is_fast = self.has_differences and core.has_headroom
        interval_us = core.tuning.fast_sync_interval_us if is_fast else core.tuning.sync_interval_us
        core.call_later(core.jitter(interval_us), self.run_round)
        self.has_differences = False

    def summary(self) -> Summary:
        """Return the fingerprints of all buckets."""
        return Summary(list(self.core.members.buckets))

    def handle_summary(self, source: str, summary: Summary) -> None:
        """Send digests of buckets that differ, in random order so that two comparisons do not send the same first."""
        own_fingerprints = self.core.members.buckets
        if len(summary.fingerprints) != BUCKETS:
            return self.core.count("summaries_of_other_form")
        differing = [bucket for bucket in range(BUCKETS) if own_fingerprints[bucket] != summary.fingerprints[bucket]]
        self.has_differences |= bool(differing)
        # Digests that lead to entries which nobody has the budget to send would only use that budget up.
        max_buckets = BUCKETS_PER_SUMMARY if self.core.has_headroom else 1
        buckets = self.core.rng.sample(differing, min(max_buckets, len(differing)))
        self._send_batched(source, (digest for bucket in buckets for digest in self._bucket_digests(bucket)))
        return None

    def handle_digest(self, source: str, digest: BucketDigest) -> None:
        """Send what the other member lacks, and pull what it has more of."""
        core = self.core
        comparison = DigestComparison()
        # Drawn anew: two members that answer one digest at once should not send the same first.
        for member in core.rng.sample(digest.members, len(digest.members)):
            self._compare(source, member, comparison)
        if digest.is_complete:
            self._add_unlisted(digest, comparison)
            if comparison.pulls:
                pulls = comparison.pulls[: MAX_DIGEST_MEMBERS // 2]
                core.send(source, [BucketDigest(digest.bucket, pulls, False)], MEMBER_RANK, piggyback=False)
        for record, member in comparison.gaps:
            if record.name == core.members.own_name and self._is_same_generation(member, record):
                known = zip(member.high_sequences[: len(TOPICS)], member.fingerprints, strict=False)
                for topic, (high_sequence, fingerprint) in enumerate(known):
                    self._supersede_own(topic, high_sequence, fingerprint, True)
        messages = itertools.chain(comparison.records, self._missing_deltas(comparison.gaps))
        self.has_differences |= self._send_batched(source, messages) or bool(comparison.pulls)

    def _compare(self, source: str, member: MemberDigest, comparison: DigestComparison) -> None:
        """Compare the digest of one member with what is stored here."""
        members = self.core.members
        record = members.record(member.name)
        if record is None or member.incarnation > record.incarnation:
            if record is not None and record.name == members.own_name:
                comparison.records.append(record)  # the other has a higher incarnation, which is to be refuted
            if not member.incarnation > members.forgotten_incarnation(member.name):
                dead = MemberRecord(member.name, source, members.forgotten_incarnation(member.name), DEAD)
                comparison.records.append(dead)
            else:
                comparison.pulls.append(self._digest_of(record) if record is not None else MemberDigest(member.name, 0))
        elif member.incarnation < record.incarnation or not record.is_live:
            comparison.records.append(record)
            if record.is_live:
                is_same = self._is_same_generation(member, record)
                comparison.gaps.append(ReplicaGap(record, member if is_same else MemberDigest(member.name, 0)))
        else:
            comparison.gaps.append(ReplicaGap(record, member))
            if self._is_behind(record, member):
                comparison.pulls.append(self._digest_of(record))

    def _add_unlisted(self, digest: BucketDigest, comparison: DigestComparison) -> None:
        """Add the live members within the range of a complete digest that it does not list."""
        listed = {member.name for member in digest.members}
        for record in self.core.members.bucket_records(digest.bucket):
            is_in_range = digest.first_name <= record.name and (not digest.end_name or record.name < digest.end_name)
            if is_in_range and record.name not in listed:
                comparison.records.append(record)
                comparison.gaps.append(ReplicaGap(record, MemberDigest(record.name, 0)))

    def handle_delta(self, source: str, delta: StreamDelta) -> None:
        """Apply a delta of a live member's entries; pull the changes before it if they are missing."""
        core = self.core
        if delta.topic >= len(TOPICS):
            return core.count("unknown_topics")
        if delta.owner == core.members.own_name:
            if delta.generation == core.generation:
                self._supersede_own(delta.topic, delta.up_to_sequence, 0, False)
            return None
        record = core.members.record(delta.owner)
        if record is None or not record.is_live or record.generation != delta.generation:
            return core.count("deltas_of_others")
        stream = core.store.stream(delta.owner, delta.topic)
        if stream is not None and delta.up_to_sequence <= stream.high_sequence:
            core.gossip.record_received(delta.owner, delta.topic)
        if not apply_delta(core.store, delta):
            core.count("deltas_with_a_gap")
            pull = BucketDigest(bucket_of(delta.owner), [self._digest_of(record)], False)
            core.send(source, [pull], FIRST_TOPIC_RANK + delta.topic, piggyback=False)
        return None

    def _supersede_own(self, topic: int, high_sequence: int, fingerprint: int, is_fingerprint_known: bool) -> None:
        """Publish own entries anew if others have more of them than was published, or something else."""
        core = self.core
        stream = core.store.stream(core.members.own_name, topic)
        own_sequence = stream.high_sequence if stream is not None else 0
        own_fingerprint = stream.fingerprint if stream is not None else 0
        is_different = (
            is_fingerprint_known
            and high_sequence == own_sequence
            and fingerprint not in (UNKNOWN_FINGERPRINT, own_fingerprint)
        )
        if high_sequence <= own_sequence and not is_different:
            return
        if core.now_us - self.last_superseded_us < core.tuning.supersede_interval_us:
            return
        self.last_superseded_us = core.now_us
        core.count("own_entries_overruled")
        if high_sequence < MAX_SEQUENCE:
            core.store.supersede(topic, high_sequence)

    def _digest_of(self, record: MemberRecord) -> MemberDigest:
        return MemberDigest(record.name, record.incarnation, *self.core.store.digests(record.name))

    @staticmethod
    def _is_same_generation(digest: MemberDigest, record: MemberRecord) -> bool:
        return MemberRecord(digest.name, "", digest.incarnation).generation == record.generation

    def _missing_deltas(self, gaps: Sequence[ReplicaGap]) -> Iterator[StreamDelta]:
        """Return the changes of members' entries above digests, by topic."""
        for topic in range(len(TOPICS)):
            for record, digest in gaps:
                high_sequence = digest.high_sequences[topic] if topic < len(digest.high_sequences) else 0
                generation = record.generation if digest.incarnation else -1
                yield from missing_deltas(self.core.store, record.name, topic, generation, high_sequence)

    def _is_behind(self, record: MemberRecord, digest: MemberDigest) -> bool:
        """Whether a digest has more of a member's entries than is stored here."""
        own = self.core.store.digests(record.name).high_sequences
        return any(
            high_sequence > (own[topic] if topic < len(own) else 0)
            for topic, high_sequence in enumerate(digest.high_sequences[: len(TOPICS)])
        )

    def _bucket_digests(self, bucket: int) -> Iterator[BucketDigest]:
        """Return the digests of all live members of a bucket, in as many datagrams as they need."""
        members: list[MemberDigest] = []
        first_name = ""
        size = 0
        for record in self.core.members.bucket_records(bucket):
            member = self._digest_of(record)
            member_bytes = len(encode_fields(member))
            is_too_large = size + member_bytes > MAX_PAYLOAD_BYTES - DIGEST_OVERHEAD_BYTES
            if members and (is_too_large or len(members) == MAX_DIGEST_MEMBERS):
                yield BucketDigest(bucket, members, True, first_name, member.name)
                members = []
                first_name = member.name
                size = 0
            members.append(member)
            size += member_bytes
        yield BucketDigest(bucket, members, True, first_name)

    def _send_batched(self, source: str, messages: Iterable[Message]) -> bool:
        """Send messages in as few datagrams as possible, up to `MAX_DATAGRAMS`; returns whether there were any."""
        batch: list[Message] = []
        size = 0
        sent_datagrams = 0
        rank = MEMBER_RANK
        for message in messages:
            message_bytes = len(encode_message(message))
            message_rank = FIRST_TOPIC_RANK + message.topic if isinstance(message, StreamDelta) else MEMBER_RANK
            if batch and (size + message_bytes > MAX_PAYLOAD_BYTES or message_rank != rank):
                sent_datagrams += 1
                if not self.core.send(source, batch, rank, piggyback=False) or sent_datagrams == MAX_DATAGRAMS:
                    return True
                batch = []
                size = 0
            rank = message_rank
            batch.append(message)
            size += message_bytes
        if batch:
            self.core.send(source, batch, rank, piggyback=False)
        return bool(batch)
