"""Anti-entropy of shared counters: a member fetches from a peer what that peer has and it has not.

A fetch names the fingerprints of all buckets; the answer brings the peer's increments of those that differ, in chunks
of a bounded size, up to a bounded number. What is left is fetched next, from the bucket on that the answer names.
"""

from __future__ import annotations

import itertools

from hophinge.coordination.counter_events import CounterOutputs
from hophinge.coordination.counter_messages import FetchIncrements, IncrementChunk
from hophinge.coordination.counter_peers import CounterPeer, Fetch
from hophinge.coordination.counters import BUCKET_COUNT, CounterSet, Increment

MAX_FETCHED_INCREMENTS = 2_000  # of one answer; exceeded by one bucket at most
MAX_CHUNK_INCREMENTS = 200  # of one message
FETCH_TIMEOUT_S = 0.6  # without a chunk, after which a fetch is begun anew


class CounterExchange:
    """The fetches of one member, and its answers to those of others."""

    def __init__(self, counters: CounterSet) -> None:
        self.counters = counters
        self.numbers = itertools.count(1)

    def compare(self, awake_s: float, peer: CounterPeer, outputs: CounterOutputs) -> None:
        """Fetch from a peer whose increments are not the local ones, unless a fetch is under way."""
        if peer.root == self.counters.root:
            peer.is_merged = True
        elif peer.fetch is None or awake_s - peer.fetch.sent_at > FETCH_TIMEOUT_S:
            self._fetch(awake_s, peer, 0, outputs)

    def _fetch(self, awake_s: float, peer: CounterPeer, first_bucket: int, outputs: CounterOutputs) -> None:
        peer.fetch = Fetch(next(self.numbers), awake_s)
        fingerprints = tuple(self.counters.fingerprints)
        outputs.send(peer.replica.address, FetchIncrements(peer.fetch.number, first_bucket, fingerprints))

    def answer(self, address: str, fetch: FetchIncrements, outputs: CounterOutputs) -> None:
        """Send the increments of the buckets that differ, as many as one answer may hold."""
        increments: list[Increment] = []
        next_bucket = BUCKET_COUNT
        for bucket in self.counters.differing_buckets(fetch.fingerprints, fetch.first_bucket):
            if len(increments) >= MAX_FETCHED_INCREMENTS:
                next_bucket = bucket
                break
            increments += self.counters.buckets[bucket].values()
        parts = [
            tuple(increments[begin : begin + MAX_CHUNK_INCREMENTS])
            for begin in range(0, max(1, len(increments)), MAX_CHUNK_INCREMENTS)
        ]
        for index, part in enumerate(parts):
            outputs.send(address, IncrementChunk(fetch.number, index, len(parts), next_bucket, part))

    def record_chunk(self, awake_s: float, peer: CounterPeer, chunk: IncrementChunk, outputs: CounterOutputs) -> None:
        """Record a chunk whose increments have been merged; go on with the rest, or complete the merge."""
        fetch = peer.fetch
        if fetch is None or fetch.number != chunk.number:
            return
        fetch.sent_at = awake_s
        fetch.received_indexes.add(chunk.index)
        if len(fetch.received_indexes) < chunk.count:
            return
        peer.fetch = None
        if chunk.next_bucket < BUCKET_COUNT:
            self._fetch(awake_s, peer, chunk.next_bucket, outputs)
        else:
            peer.is_merged = True
