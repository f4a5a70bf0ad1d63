"""Popularity, measured: `python benchmarks/popularity.py` writes benchmarks/popularity.md; about five minutes.

Counts against datasketches, predictions against the last count, LFU with ageing and knowing the rates, what prewarming
brings a site, and what fetches beforehand do to others' requests. Constants were chosen on seeds 1 to 5.
"""

from __future__ import annotations

import asyncio
import math
import platform
import sys
import tracemalloc
from pathlib import Path

import datasketches
import numpy as np

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "benchmarks"))

from hophinge.objects.cache import PieceCache  # noqa: E402
from hophinge.objects.records import Manifest, Piece, Run  # noqa: E402
from hophinge.popularity.keys import Keys, Locator  # noqa: E402
from hophinge.popularity.planner import Facts, Planner, Source  # noqa: E402
from hophinge.popularity.predict import Predictor  # noqa: E402
from hophinge.popularity.rumour import ITEMS_EACH, MOST_PAGES, Hearsay, Item, pages  # noqa: E402
from hophinge.popularity.site import Site  # noqa: E402
from hophinge.popularity.sketch import Sketch  # noqa: E402
from popularity_latency import latency  # noqa: E402
from popularity_traces import SHAPES, SPANS_A_DAY, Trace  # noqa: E402

SEEDS = range(1001, 1006)       # kept apart from those that constants were chosen on
SPAN_US = 10_000_000             # of the replay's clock: a span's bytes are what a planner may save up
AGEING = 0.7                    # of LFU: what a span leaves of a count
VOLUME = "{:016x}"


def sketches() -> list[str]:
    """Compare counts on a Zipf stream: error, what is found, bytes."""
    lots = np.random.default_rng(1001)
    weights = 1 / np.arange(1, 50_001) ** 1.0
    stream = lots.choice(50_000, 200_000, p=weights / weights.sum())
    true = np.bincount(stream, minlength=50_000)
    top = [int(at) for at in np.argsort(-true)[:100]]
    rows = []

    def row(name: str, size: int, memory: str, told: dict[int, float], found: set[int]) -> None:
        error = float(np.mean([abs(told.get(at, 0.0) - true[at]) / true[at] for at in top]))
        rows.append(f"| {name} | {size} | {memory} | {100 * error:.1f} % | {len(found & set(top))} | ")

    for counters in (250, 1000, 4000):
        tracemalloc.start()
        sketch = Sketch(counters, 10**15)
        for at in stream:
            sketch.add(0, int(at).to_bytes(8, "big"), "t")
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        told = {at: (one := sketch.count(0, at.to_bytes(8, "big"), "t")).count - one.error / 2 for at in top}
        found = {int.from_bytes(one.key, "big") for one in sketch.top(0, 100)}
        row(f"own, {counters} counters", counters * 20, f"{memory}", told, found)
    for power in (8, 10, 12):
        items = datasketches.frequent_items_sketch(power)
        for at in stream:
            items.update(int(at))
        found = {int(one[0]) for one in items.get_frequent_items(
            datasketches.frequent_items_error_type.NO_FALSE_NEGATIVES, 0)[:100]}
        told = {at: (items.get_lower_bound(at) + items.get_upper_bound(at)) / 2 for at in top}
        size = len(items.serialize(datasketches.PyIntsSerDe()))
        row(f"datasketches frequent_items, 2^{power}", size, "", told, found)
    for buckets in (1000, 4000):
        mins = datasketches.count_min_sketch(5, buckets)
        for at in stream:
            mins.update(int(at), 1)
        told = {at: mins.get_estimate(at) for at in top}
        row(f"datasketches count_min, 5 x {buckets}", len(mins.serialize()), "", told, set())
    return rows


def prediction(shape: str) -> str:
    """Tell errors on one shape, as parts of all requests, over the seeds that were kept apart."""
    found: dict[str, list[float]] = {"last": [], "lfu": [], "own": [], "counts": [], "draw": [], "held": []}
    shapes = SHAPES if shape == "all together" else (shape,)
    for seed in SEEDS:
        trace = Trace(seed, shapes, 160, 5, 120.0, depth=0.5 if shape == "all together" else 0.0)
        counts, rate = trace.counts[0], trace.rate[0]
        predictor, aged = Predictor(SPANS_A_DAY), np.zeros(160)
        errors = dict.fromkeys(found, 0.0)
        total = seen = 0.0
        for span in range(len(counts)):
            if span >= SPANS_A_DAY:     # a day to learn in, for all
                own = [predictor.predict(bytes([at])) for at in range(160)]
                means = np.array([one.mean if one is not None else 0.0 for one in own])
                for name, guess in (("last", counts[span - 1]), ("lfu", aged), ("own", means)):
                    errors[name] += float(np.abs(guess - rate[span]).sum())
                errors["counts"] += float(np.abs(means - counts[span]).sum())
                errors["draw"] += float(np.abs(rate[span] - counts[span]).sum())
                total += counts[span].sum()
                for at, one in enumerate(own):
                    if one is not None:
                        seen += 1
                        errors["held"] += one.low <= counts[span, at] <= one.high
            predictor.begin(float(counts[span].sum()))
            for at in range(160):
                predictor.observe(bytes([at]), str(trace.publisher[at]), float(counts[span, at]))
            aged = AGEING * aged + (1 - AGEING) * counts[span]
        for name, error in errors.items():
            found[name].append(error / (seen if name == "held" else total))
    mean = {name: 100 * float(np.mean(errors)) for name, errors in found.items()}
    return f"| {shape} | " + " | ".join(f"{mean[name]:.1f} %" for name in found) + " |"


POLICIES = ("none: LRU", "none: LFU with ageing", "none: evicted by prediction", "prewarming, own site alone",
            "prewarming, with other sites' words", "knowing the next span's rates")


class Replay:
    """One site under one policy; its peers' counts come as their pages."""

    def __init__(self, trace: Trace, policy: str, most: int, bytes_span: float) -> None:
        self.trace, self.policy = trace, policy
        objects = len(trace.sizes)
        self.locators = [Locator(VOLUME.format(int(trace.publisher[at])), VOLUME.format(at), at % 8)
                         for at in range(objects)]
        self.runs = [Run(at.to_bytes(8, "big"), [Piece(at % 8, int(size), 0)]) for at, size in enumerate(trace.sizes)]
        self.bodies = [bytes(int(size)) for size in trace.sizes]
        keys = Keys(b"x" * 16)
        self.most, self.met = most, np.zeros(objects, bool)
        self.keys = [keys.of(one) for one in self.locators]
        self.number = {key: at for at, key in enumerate(self.keys)}
        self.restart()
        self.planner = Planner("me", "here", bytes_span / (SPAN_US / 1e6), 0.5, 0)
        self.values = np.zeros(objects)
        self.words: dict[int, str] = {}
        self.hits = self.requests = self.hit_bytes = self.all_bytes = self.fetched = self.useful = 0
        self.first_hits = self.firsts = self.cold_hits = self.cold = 0

    def restart(self) -> None:
        """Begin as a head does that was killed: with no cache and no counts."""
        self.site = Site(Keys(b"x" * 16), 4_000_000, 1.0, "me", "here", SPAN_US, SPAN_US * SPANS_A_DAY)
        self.cache = PieceCache(self.most, 1.0, wanted=lambda one: self.worth(int(one[1], 16)))
        self.cache.tell = self.told

    def told(self, one: tuple[str, str], useful: bool) -> None:
        """Count what a fetch was worth."""
        at = int(one[1], 16)
        self.useful += int(self.trace.sizes[at]) if useful else 0
        if word := self.words.pop(at, ""):
            self.site.trust(word, useful)

    def worth(self, at: int) -> float:
        """Tell what eviction goes by."""
        if self.policy in (POLICIES[1], POLICIES[5]):
            return float(self.values[at])
        return self.site.expected(self.keys[at])

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
        self.cache.version((locator.volume, locator.manifest), [self.runs[at].token])
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
            self.site.asked(now, self.site.note(locator, locator.volume, len(self.bodies[at])))
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
        self.site.close(now, lambda volume: (volume, "basic"))
        self.site.step(10**9)
        if "prewarming" in self.policy:
            self.fetch(now, counted)

    def hear(self, span: int, now: int) -> None:
        """Take what the other sites tell of the span."""
        keys = self.site.keys
        for site in range(1, self.trace.counts.shape[0]):
            counts = self.trace.counts[site, span]
            top = [int(at) for at in np.argsort(-counts)[:ITEMS_EACH * MOST_PAGES] if counts[at] > 0]
            items = [Item(self.keys[at], keys.seal(self.locators[at]), float(counts[at])) for at in top]
            for number, page in enumerate(pages(span, float(counts.sum()), items)):
                self.site.hearsay.take(now, f"peer-{site}", f"site-{site}", (1, span * 10 + number), page)

    def fetch(self, now: int, counted: bool) -> None:
        """Fetch what the planner says, all of it; each brick has 64 units to spare in a span."""
        facts = Facts(0, False, {shard: [Source(f"s-{shard}", shard, True, True, 64.0)] for shard in range(8)})
        if self.policy == POLICIES[5]:
            for at in map(int, np.flatnonzero(self.values > 0.2)):
                key = self.site.note(self.locators[at], self.locators[at].volume, int(self.trace.sizes[at]))
                self.site.elsewhere[key] = float(self.values[at])
        wanted = [one for one in self.site.candidates(lambda size: 1.0)
                  if not self.cache.holds(self.site.object(one.key))]
        for one in self.planner.plan(now, [], facts, wanted, 512):
            at = self.number[one.key]
            place = self.locators[at].volume, self.locators[at].manifest
            self.cache.seen(*place, Manifest("e", 1, 0, "", "", [self.runs[at]]))
            size = len(self.bodies[at])
            if not self.cache.would_keep(place, size + 200) or self.planner.may(
                    now, one.tenant, one.shard, size, 1.0, facts) is not None:
                continue
            if word := self.site.by_word(one.key):
                self.words[at] = word
            self.planner.spend(now, one.tenant, size)
            self.cache.put(place[0], self.runs[at], 0, self.bodies[at], True)
            self.fetched += size if counted else 0


def prewarming() -> list[str]:
    """Compare what a site serves itself, and what that took, over the seeds that were kept apart."""
    found: dict[str, list[tuple[float, ...]]] = {policy: [] for policy in POLICIES}
    for seed in SEEDS:
        trace = Trace(seed, SHAPES, 1500, 4, 60.0, sites=3, depth=0.5)
        per_span = float((trace.counts[0] * trace.sizes).sum() / trace.counts.shape[1])
        for policy in POLICIES:
            replay = Replay(trace, policy, int(trace.sizes.sum() * 0.08), 0.2 * per_span)
            replay.run(SPANS_A_DAY)
            found[policy].append((
                replay.hits / replay.requests, replay.first_hits / replay.firsts, replay.cold_hits / replay.cold,
                replay.hit_bytes / replay.all_bytes, replay.fetched / replay.all_bytes,
                replay.useful / max(1, replay.fetched),
                (replay.all_bytes - replay.hit_bytes + replay.fetched) / replay.all_bytes))
    rows = []
    for policy, runs in found.items():
        mean = [100 * float(one) for one in np.mean(runs, axis=0)]
        worth = f"{mean[5]:.0f} %" if mean[4] > 0 else "-"
        parts = " | ".join(f"{one:.1f} %" for one in mean[:5])
        rows.append(f"| {policy} | {parts} | {worth} | {mean[6]:.1f} % |")
    return rows


def doubled() -> str:
    """Show what a rumour that comes twice does to both."""
    hearsay, items = Hearsay(10**9), datasketches.frequent_items_sketch(8)
    told = datasketches.frequent_items_sketch(8)
    told.update(1, 100)
    page = pages(0, 100.0, [Item(bytes(8), b"", 100.0)])[0]
    for _ in range(2):
        hearsay.take(0, "peer", "", (1, 1), page)
        items.merge(told)
    own = math.fsum(one for zone in hearsay.sums().values() for one in zone.values())
    return f"A count of 100 that comes twice is {own:.0f} here and {items.get_estimate(1)} in a merged datasketches."


def main() -> None:
    """Measure all and write the tables."""
    lines = [f"# Popularity, measured on Python {platform.python_version()}", "",
             "`python benchmarks/popularity.py` writes this file. Traces and streams are seeded; the tables' seeds "
             f"({SEEDS[0]} to {SEEDS[-1]}) are kept apart from those that constants were chosen on.", "",
             "## Counts", "",
             "200,000 requests, 50,000 keys by Zipf's law (1.0), no decay, for datasketches has none. Bytes are those "
             "that are sent: 20 a counter of the project's own (key, count, error), the serialized form of the others. "
             "The error is the mean over the 100 keys asked for most, of the middle of the bounds. " + doubled(), "",
             "| counts | bytes sent | bytes held | error | found of the first 100 |", "| --- | --- | --- | --- | --- |",
             *(row.rstrip() for row in sketches()), "",
             "## Predictions", "",
             "Sum of absolute errors over all requests, after a day to learn in: of the next span's rates (who knows "
             "the future errs by 0), then of its counts, where who knows the rates still errs by the draw. An object's "
             "first span, of which nobody can know, is among them. `held`: how often a count lay within the interval, "
             "meant for 90 %.", "",
             "| shape | last count | LFU with ageing | own | own, counts | knowing the rates, counts | held |",
             "| --- | --- | --- | --- | --- | --- | --- |",
             *(prediction(shape) for shape in (*SHAPES, "all together")), "",
             "## Prewarming", "",
             "One of three sites, all shapes, 1,500 objects, a cache of 8 % of their bytes; fetches may take a fifth "
             "of the bytes asked for. Parts of requests and of bytes asked for; `of use`: fetched bytes that were "
             "asked for while kept; `read`: what bricks were read, for misses and beforehand. Once a day the head is "
             "killed and begins with no cache and no counts; what its peers told, it then hears.", "",
             "| policy | hits | of first requests | in the span after a kill | byte hits | fetched | of use | read |",
             "| --- | --- | --- | --- | --- | --- | --- | --- |",
             *prewarming(), "", *asyncio.run(latency()), ""]
    (ROOT / "benchmarks" / "popularity.md").write_text("\n".join(lines))
    print("\n".join(lines))


if __name__ == "__main__":
    main()
