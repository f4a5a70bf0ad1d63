"""A site's cache replayed under one policy of prewarming and eviction, with the real cache, planner and reckoning."""

from __future__ import annotations

import sys
from pathlib import Path

import numpy as np

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "benchmarks"))

from hophinge.objects.chunk_cache import ChunkCache  # noqa: E402
from hophinge.objects.stored_records import Manifest, ChunkRef, ChunkRun  # noqa: E402
from hophinge.popularity.object_keys import ObjectKeys, Locator  # noqa: E402
from hophinge.popularity.planner import LoadSnapshot, PrefetchPlanner, BackendObservation  # noqa: E402
from hophinge.popularity.peer_demand import ITEMS_PER_PAGE, MAX_PAGES, DemandItem, encode_pages  # noqa: E402
from hophinge.popularity.site import SiteDemand  # noqa: E402
from popularity_traces import SHAPES, SPANS_A_DAY, Trace  # noqa: E402

SPAN_US = 10_000_000  # of the replay's clock: a span's bytes are what a planner may save up
AGEING = 0.7  # of LFU: what a span leaves of a count
VOLUME = "{:016x}"

POLICIES = (
    "none: LRU",
    "none: LFU with ageing",
    "none: evicted by prediction",
    "prewarming, own site alone",
    "prewarming, with other sites' words",
    "knowing the next span's rates",
)


class Replay:
    """One site under one policy; its peers' counts come as their pages."""

    def __init__(self, trace: Trace, policy: str, most: int, bytes_span: float) -> None:
        self.trace, self.policy = trace, policy
        objects = len(trace.sizes)
        self.locators = [
            Locator(VOLUME.format(int(trace.publisher[at])), VOLUME.format(at), at % 8) for at in range(objects)
        ]
        self.runs = [
            ChunkRun(at.to_bytes(8, "big"), [ChunkRef(at % 8, int(size), 0)]) for at, size in enumerate(trace.sizes)
        ]
        self.bodies = [bytes(int(size)) for size in trace.sizes]
        keys = ObjectKeys(b"x" * 16)
        self.most, self.met = most, np.zeros(objects, bool)
        self.keys = [keys.of(one) for one in self.locators]
        self.number = {key: at for at, key in enumerate(self.keys)}
        self.restart()
        self.planner = PrefetchPlanner("me", "here", bytes_span / (SPAN_US / 1e6), 0.5, 0)
        self.values = np.zeros(objects)
        self.words: dict[int, str] = {}
        self.hits = self.requests = self.hit_bytes = self.all_bytes = self.fetched = self.useful = 0
        self.first_hits = self.firsts = self.cold_hits = self.cold = 0

    def restart(self) -> None:
        """Begin as a head does that was killed: with no cache and no counts."""
        self.site = SiteDemand(ObjectKeys(b"x" * 16), 4_000_000, 1.0, "me", "here", SPAN_US, SPAN_US * SPANS_A_DAY)
        self.cache = ChunkCache(self.most, 1.0, demand_of=lambda one: self.worth(int(one[1], 16)))
        self.cache.on_prefetch_outcome = self.told

    def told(self, one: tuple[str, str], useful: bool) -> None:
        """Count what a fetch was worth."""
        at = int(one[1], 16)
        self.useful += int(self.trace.sizes[at]) if useful else 0
        if word := self.words.pop(at, ""):
            self.site.record_outcome(word, useful)

    def worth(self, at: int) -> float:
        """Tell what eviction goes by."""
        if self.policy in (POLICIES[1], POLICIES[5]):
            return float(self.values[at])
        return self.site.expected_requests(self.keys[at])

    def run(self, counted_from: int) -> None:
        """Go through all spans; once a day the head is killed, and hears its peers before it is asked again."""
        trace, lots = self.trace, np.random.default_rng(7)
        for span in range(trace.counts.shape[1]):
            now, counted = span * SPAN_US, span >= counted_from
            cold = counted and span % SPANS_A_DAY == SPANS_A_DAY // 2
            if cold:
                self.restart()
                self.close(span - 1, now - 1, counted)
            asked = np.repeat(np.arange(len(trace.sizes)), trace.counts[0, span])
            lots.shuffle(asked)
            for at in map(int, asked):
                hit = self.ask(at, now, counted)
                if cold:
                    self.cold, self.cold_hits = self.cold + 1, self.cold_hits + hit
            self.close(span, now + SPAN_US - 1, span + 1 >= counted_from)

    def ask(self, at: int, now: int, counted: bool) -> bool:
        """Serve one request from the cache or a brick."""
        locator = self.locators[at]
        self.cache.set_runs((locator.volume, locator.manifest), [self.runs[at].token])
        hit = self.cache.get(locator.volume, self.runs[at], 0) is not None
        if not hit:
            self.cache.put(locator.volume, self.runs[at], 0, self.bodies[at])
        if counted:
            self.requests += 1
            self.hits += hit
            self.all_bytes += len(self.bodies[at])
            self.hit_bytes += len(self.bodies[at]) * hit
            if not self.met[at]:
                self.firsts, self.first_hits = self.firsts + 1, self.first_hits + hit
        self.met[at] = True
        if self.policy.startswith("prewarming") or "prediction" in self.policy:
            self.site.record_request(now, self.site.record_object(locator, locator.volume, len(self.bodies[at])))
        return hit

    def close(self, span: int, now: int, counted: bool) -> None:
        """End a span: hear the peers, foretell, and fetch what the budget allows."""
        trace = self.trace
        if self.policy == POLICIES[0]:
            return
        if self.policy == POLICIES[1]:
            self.values = AGEING * self.values + (1 - AGEING) * trace.counts[0, span]
            return
        if self.policy == POLICIES[5]:
            self.values = trace.rate[0, min(span + 1, trace.rate.shape[1] - 1)]
            return self.fetch(now, counted)
        if self.policy == POLICIES[4]:
            self.hear(span, now)
        self.site.close_interval(now, lambda volume: (volume, "basic"))
        self.site.process_pending(10**9)
        if "prewarming" in self.policy:
            self.fetch(now, counted)

    def hear(self, span: int, now: int) -> None:
        """Take what the other sites tell of the span."""
        keys = self.site.keys
        for site in range(1, self.trace.counts.shape[0]):
            counts = self.trace.counts[site, span]
            top = [int(at) for at in np.argsort(-counts)[: ITEMS_PER_PAGE * MAX_PAGES] if counts[at] > 0]
            items = [DemandItem(self.keys[at], keys.seal(self.locators[at]), float(counts[at])) for at in top]
            for number, page in enumerate(encode_pages(span, float(counts.sum()), items)):
                self.site.peer_demand.apply_page(now, f"peer-{site}", f"site-{site}", (1, span * 10 + number), page)

    def fetch(self, now: int, counted: bool) -> None:
        """Fetch what the planner says, all of it; each brick has 64 units to spare in a span."""
        facts = LoadSnapshot(
            0, False, {shard: [BackendObservation(f"s-{shard}", shard, True, True, 64.0)] for shard in range(8)}
        )
        if self.policy == POLICIES[5]:
            for at in map(int, np.flatnonzero(self.values > 0.2)):
                key = self.site.record_object(self.locators[at], self.locators[at].volume, int(self.trace.sizes[at]))
                self.site.demand_elsewhere[key] = float(self.values[at])
        wanted = [
            one
            for one in self.site.candidates(lambda size: 1.0)
            if not self.cache.has_chunks(self.site.object(one.key))
        ]
        for one in self.planner.plan(now, [], facts, wanted, 512):
            at = self.number[one.key]
            place = self.locators[at].volume, self.locators[at].manifest
            self.cache.observe_manifest(*place, Manifest("e", 1, 0, "", "", [self.runs[at]]))
            size = len(self.bodies[at])
            if (
                not self.cache.would_store(place, size + 200)
                or self.planner.hold_reason(now, one.tenant, one.shard, size, 1.0, facts) is not None
            ):
                continue
            if word := self.site.sole_reporter(one.key):
                self.words[at] = word
            self.planner.spend(now, one.tenant, size)
            self.cache.put(place[0], self.runs[at], 0, self.bodies[at], True)
            self.fetched += size if counted else 0


def prewarming(seeds: range) -> list[str]:
    """Compare what a site serves itself, and what that took, over the seeds that were kept apart."""
    found: dict[str, list[tuple[float, ...]]] = {policy: [] for policy in POLICIES}
    for seed in seeds:
        trace = Trace(seed, SHAPES, 1500, 4, 60.0, sites=3, depth=0.5)
        per_span = float((trace.counts[0] * trace.sizes).sum() / trace.counts.shape[1])
        for policy in POLICIES:
            replay = Replay(trace, policy, int(trace.sizes.sum() * 0.08), 0.2 * per_span)
            replay.run(SPANS_A_DAY)
            found[policy].append(
                (
                    replay.hits / replay.requests,
                    replay.first_hits / replay.firsts,
                    replay.cold_hits / replay.cold,
                    replay.hit_bytes / replay.all_bytes,
                    replay.fetched / replay.all_bytes,
                    replay.useful / max(1, replay.fetched),
                    (replay.all_bytes - replay.hit_bytes + replay.fetched) / replay.all_bytes,
                )
            )
    rows = []
    for policy, runs in found.items():
        mean = [100 * float(one) for one in np.mean(runs, axis=0)]
        worth = f"{mean[5]:.0f} %" if mean[4] > 0 else "-"
        parts = " | ".join(f"{one:.1f} %" for one in mean[:5])
        rows.append(f"| {policy} | {parts} | {worth} | {mean[6]:.1f} % |")
    return rows
