"""Comparing what two members hold, and making the one whole that knows less: what rumours missed arrives this way.

Marks of buckets first, rows of buckets that differ, then only what lies above a row: two that agree pay one datagram.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator, Sequence

from hophinge.cluster.budget import FIRST_TOPIC, NEWS
from hophinge.cluster.core import Core
from hophinge.cluster.copies import deltas, take
from hophinge.cluster.messages import DEAD, TOPICS, Delta, Digest, Part, Record, Row, Summary, encoded, packed
from hophinge.cluster.roster import BUCKETS, bucket
from hophinge.cluster.entries import PARTIAL
from hophinge.cluster.wire import ROOM

BUCKETS_AT_ONCE = 4  # whose rows are sent for one summary
MAX_DATAGRAMS = 12  # sent in answer to one digest: the next comparison goes on from there
MAX_ROWS = 60  # of one digest; a reader takes 64
DIGEST_BYTES = 150  # of a digest without its rows, two names among it
HIGHEST_COUNT = 2**48  # of a stream: beyond it only a liar counts, and a new start counts from 0


class Reconciler:
    """Compares with a random member each period; `word` takes records' place in membership."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.differed = False
        self.overruled_us = -core.tuning.overrule_us

    def begin(self) -> None:
        """Compare from now on."""
        self.core.later(self.core.rng.randrange(1, self.core.tuning.sync_us), self.turn)

    def turn(self) -> None:
        """Compare with one member, sooner again where the last time showed differences."""
        core = self.core
        others = core.roster.others()
        if others:
            core.say(core.rng.choice(others).address, [self.summary()], NEWS)
        hurry = self.differed and core.spare
        core.later(core.jitter(core.tuning.hurry_us if hurry else core.tuning.sync_us), self.turn)
        self.differed = False

    def summary(self) -> Summary:
        """Tell all buckets' marks."""
        return Summary(list(self.core.roster.buckets))

    def compared(self, source: str, summary: Summary) -> None:
        """Send rows of buckets that differ, in no order that two comparisons would share."""
        mine = self.core.roster.buckets
        if len(summary.marks) != BUCKETS:
            return self.core.count("summaries_of_other_form")
        differ = [number for number in range(BUCKETS) if mine[number] != summary.marks[number]]
        self.differed |= bool(differ)
        # Rows that lead to entries which nobody has the bytes to send would only take those bytes.
        most = BUCKETS_AT_ONCE if self.core.spare else 1
        self._send(
            source,
            (
                digest
                for number in self.core.rng.sample(differ, min(most, len(differ)))
                for digest in self._digests(number)
            ),
        )

    def digest(self, source: str, digest: Digest) -> None:
        """Send what the other lacks, and ask for what it has more of."""
        core = self.core
        wanted: list[Row] = []
        records: list[Record] = []
        lacking: list[tuple[Record, Row]] = []
        # Drawn anew: two that answer one member at once should not send it the same first.
        for row in core.rng.sample(digest.rows, len(digest.rows)):
            record = core.roster.record(row.name)
            if record is None or row.incarnation > record.incarnation:
                if record is not None and record.name == core.roster.me:
                    records.append(record)  # it knows a higher one: let it say so, to be refuted
                if not row.incarnation > core.roster.grave(row.name):
                    records.append(Record(row.name, source, core.roster.grave(row.name), DEAD))
                else:
                    wanted.append(self._row(record) if record is not None else Row(row.name, 0))
            elif row.incarnation < record.incarnation or not record.counts:
                records.append(record)
                if record.counts:
                    lacking.append((record, row if self._same_start(row, record) else Row(row.name, 0)))
            else:
                lacking.append((record, row))
                if self._below(record, row):
                    wanted.append(self._row(record))
        if digest.whole:
            listed = {row.name for row in digest.rows}
            for record in core.roster.of_bucket(digest.bucket):
                if (
                    digest.first <= record.name
                    and record.name not in listed
                    and (not digest.last or record.name < digest.last)
                ):
                    records.append(record)
                    lacking.append((record, Row(record.name, 0)))
            if wanted:
                core.say(source, [Digest(digest.bucket, wanted[: MAX_ROWS // 2], False)], NEWS, fill=False)
        for record, row in lacking:
            if record.name == core.roster.me and self._same_start(row, record):
                for topic, (high, mark) in enumerate(zip(row.highs[: len(TOPICS)], row.marks, strict=False)):
                    self._overrule(topic, high, mark, True)
        parts = itertools.chain(records, self._above(lacking))
        self.differed |= self._send(source, parts) or bool(wanted)

    def delta(self, source: str, delta: Delta) -> None:
        """Take entries of a member that counts; ask for what lies before them."""
        core = self.core
        if delta.topic >= len(TOPICS):
            return core.count("unknown_topics")
        if delta.owner == core.roster.me:
            if delta.start == core.start:
                self._overrule(delta.topic, delta.upto, 0, False)
            return
        record = core.roster.record(delta.owner)
        if record is None or not record.counts or record.start != delta.start:
            return core.count("deltas_of_others")
        held = core.shelf.stream(delta.owner, delta.topic)
        if held is not None and delta.upto <= held.high:
            core.rumours.known(delta.owner, delta.topic)
        if not take(core.shelf, delta):
            core.count("deltas_with_a_gap")
            lacking = Digest(bucket(delta.owner), [self._row(record)], False)
            core.say(source, [lacking], FIRST_TOPIC + delta.topic, fill=False)

    def _overrule(self, topic: int, high: int, mark: int, compare: bool) -> None:
        """Where others hold more of one's own than one has said, or something else, say it all anew above that."""
        core = self.core
        held = core.shelf.stream(core.roster.me, topic)
        mine = (held.high, held.mark) if held is not None else (0, 0)
        other = compare and high == mine[0] and mark not in (PARTIAL, mine[1])
        if (high <= mine[0] and not other) or core.now_us - self.overruled_us < core.tuning.overrule_us:
            return
        self.overruled_us = core.now_us
        core.count("own_entries_overruled")
        if high < HIGHEST_COUNT:
            core.shelf.overrule(topic, high)

    def _row(self, record: Record) -> Row:
        return Row(record.name, record.incarnation, *self.core.shelf.marks(record.name))

    @staticmethod
    def _same_start(row: Row, record: Record) -> bool:
        return Record(row.name, "", row.incarnation).start == record.start

    def _above(self, lacking: Sequence[tuple[Record, Row]]) -> Iterator[Delta]:
        """Tell what of members' entries lies above rows, by topic."""
        for topic in range(len(TOPICS)):
            for record, row in lacking:
                high = row.highs[topic] if topic < len(row.highs) else 0
                yield from deltas(self.core.shelf, record.name, topic, record.start if row.incarnation else -1, high)

    def _below(self, record: Record, row: Row) -> bool:
        """Tell whether a row knows more of a member's entries than is held here."""
        highs, _ = self.core.shelf.marks(record.name)
        return any(
            high > (highs[topic] if topic < len(highs) else 0) for topic, high in enumerate(row.highs[: len(TOPICS)])
        )

    def _digests(self, number: int) -> Iterator[Digest]:
        """Tell all rows of a bucket, in as many datagrams as they need."""
        rows: list[Row] = []
        first, size = "", 0
        for record in self.core.roster.of_bucket(number):
            row = self._row(record)
            more = len(encoded(row))
            if rows and (size + more > ROOM - DIGEST_BYTES or len(rows) == MAX_ROWS):
                yield Digest(number, rows, True, first, row.name)
                rows, first, size = [], row.name, 0
            rows.append(row)
            size += more
        yield Digest(number, rows, True, first)

    def _send(self, source: str, parts: Iterable[Part]) -> bool:
        """Send parts, packed, as many as the bounds of one answer allow; tells whether there were any."""
        batch: list[Part] = []
        size = sent = 0
        rank = NEWS
        for part in parts:
            more = len(packed(part))
            own = FIRST_TOPIC + part.topic if isinstance(part, Delta) else NEWS
            if batch and (size + more > ROOM or own != rank):
                sent += 1
                if not self.core.say(source, batch, rank, fill=False) or sent == MAX_DATAGRAMS:
                    return True
                batch, size = [], 0
            rank = own
            batch.append(part)
            size += more
        if batch:
            self.core.say(source, batch, rank, fill=False)
        return bool(batch)
