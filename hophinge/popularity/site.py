"""Demand at one site, as one of its heads reckons it: own counts, what others told, predictions, and what to fetch."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Struct

from hophinge.popularity.object_keys import ObjectKeys, Locator
from hophinge.popularity.planner import Candidate
from hophinge.popularity.predict import Predictor
from hophinge.popularity.peer_demand import ITEMS_PER_PAGE, MAX_PAGES, PeerDemand, DemandItem, encode_pages
from hophinge.popularity.frequency_sketch import FrequencySketch

SPAN_US = 60_000_000  # of one prediction: long enough for some requests, short enough for a flash crowd
DAY_US = 86_400_000_000
HALF_LIFE_SPANS = 10  # of counts: what was asked for an hour ago counts a sixtieth
KEEP_SPANS = 3  # what a peer said counts so long without a new word
BYTES_EACH = 2500  # of memory for a counter with its course and two known objects (measured)
SERVED_MEMORY = 0.9  # a span: a quiet minute must not make peers' claims look large, or count without bound
FIRST_TRUST = 0.5  # of another site's demand that is expected here, before experience
TRUST_WEIGHT = 4.0  # fetches that this first guess counts for
TRUST_MEMORY = 200.0  # fetches that experience with one owner reaches back
UNKNOWN_BYTES = 64 * 1024  # taken for the size of an object that was never seen here


class Known(Struct):
    """What this head knows of an object beside its counts."""

    locator: Locator
    tenant: str
    size: int
    span: int  # when it was last asked for or told of


class Site:
    """One head's reckoning."""

    def __init__(
        self,
        keys: ObjectKeys,
        count_bytes: int,
        tenant_part: float,
        me: str = "",
        zone: str = "",
        span_us: int = SPAN_US,
        day_us: int = DAY_US,
    ) -> None:
        self.keys = keys
        self.me = me
        self.zone = zone
        self.span_us = span_us
        counters = max(16, count_bytes // BYTES_EACH)
        self.sketch = FrequencySketch(counters, HALF_LIFE_SPANS * span_us, tenant_part)
        self.predictor = Predictor(max(1, day_us // span_us))
        self.hearsay = PeerDemand(KEEP_SPANS * span_us)
        self.known: dict[bytes, Known] = {}
        self.by_object: dict[tuple[str, str], bytes] = {}  # by volume and id of the manifest
        self.by_manifest: dict[str, bytes] = {}  # two volumes may have one name: a hint, and never whose count it is
        self.span = 0
        self.served = 0.0
        self.usual_served = 0.0  # requests a span of late, which peers' claims are held to
        self.due: list[tuple[bytes, str, float]] = []  # counts of the closed span that are not looked at yet
        self.elsewhere: dict[bytes, float] = {}  # a key's mean requests a span at other sites
        self.trusts: dict[str, tuple[float, float]] = {}  # by owner: fetches on its word that were asked for, and all

    # --- what comes in

    def note(self, locator: Locator, tenant: str, size: int) -> bytes:
        """Take that an object is there; tells its key."""
        key = self.keys.of(locator)
        held = self.known.get(key)
        if held is None:
            if len(self.known) >= 2 * self.sketch.max_counters:
                self._prune()
            self._know(key, Known(locator, tenant, size, self.span))
        else:
            held.size = size
            held.tenant = tenant
        return key

    def asked(self, now_us: int, key: bytes) -> None:
        """Count a request for an object that was noted."""
        held = self.known.get(key)
        if held is not None:
            held.span = self.span
            self.served += 1.0
            self.sketch.add(now_us, key, held.tenant)

    def gone(self, locator: Locator) -> None:
        """Take that an object is deleted."""
        key = self.keys.of(locator)
        if key in self.known:
            self._forget(key)
            self.sketch.forget(key)
            self.predictor.forget(key)

    def trust(self, owner: str, useful: bool) -> None:
        """Take whether what was fetched on an owner's word was asked for."""
        hits, all_of = self.trusts.get(owner, (0.0, 0.0))
        part = min(1.0, TRUST_MEMORY / (all_of + 1.0))
        self.trusts[owner] = (hits + useful) * part, (all_of + 1.0) * part

    def trusted(self, owner: str) -> float:
        """Return how far an owner's report counts for what was never requested here."""
        hits, all_of = self.trusts.get(owner, (0.0, 0.0))
        return (FIRST_TRUST * TRUST_WEIGHT + hits) / (TRUST_WEIGHT + all_of)

    def tenant(self, now_us: int, tenant: str) -> dict[str, float]:
        """Return one tenant's own metrics, which hold nothing of others'."""
        return {
            "requests": self.sketch.total(now_us, tenant),
            "followed": sum(1 for one in self.predictor.courses.values() if one.tenant == tenant),
        }

    # --- spans

    def close(self, now_us: int, owner_of: Callable[[str], tuple[str, str] | None]) -> list[bytes]:
        """Close a span; tells the pages for the peers. `step` then takes its counts a few at a time."""
        self.step(len(self.due))
        self.hearsay.expire(now_us)
        own = self.sketch.close_span()
        self.usual_served = max(SERVED_MEMORY * self.usual_served, self.served)
        trust = {
            owner: 1.0 if told.zone == self.zone else self.trusted(owner) for owner, told in self.hearsay.owners.items()
        }
        sums = self.hearsay.sums_by_zone(self.usual_served, trust)
        here, others = sums.pop(self.zone, {}), sums
        self._learn(owner_of, self.hearsay.sealed_locators())
        self.elsewhere = {}
        for zone in others.values():
            for key, count in zone.items():
                self.elsewhere[key] = self.elsewhere.get(key, 0.0) + count / len(others)
        self.predictor.bound(self.sketch.max_counters)
        counts = {key: (tenant, count) for key, tenant, count in own}
        for key, course in self.predictor.courses.items():
            counts.setdefault(key, (course.tenant, 0.0))
        for key in here:
            if key in self.known:
                counts.setdefault(key, (self.known[key].tenant, 0.0))
        self.due = [(key, tenant, count + here.get(key, 0.0)) for key, (tenant, count) in counts.items()]
        self.predictor.begin(self.served + sum(here.values()))
        told = sorted(
            ((count, key) for key, _, count in own if count > 0 and key in self.known),
            key=lambda row: (-row[0], row[1]),
        )[: ITEMS_PER_PAGE * MAX_PAGES]
        made = encode_pages(
            self.span,
            self.served,
            [DemandItem(key, self.keys.seal(self.known[key].locator), count) for count, key in told],
        )
        self.span += 1
        self.served = 0.0
        return made

    def step(self, most: int) -> bool:
        """Foretell some of what has closed; tells whether there is more. A span's whole would hold others up."""
        for _ in range(min(most, len(self.due))):
            key, tenant, count = self.due.pop()
            self.predictor.observe(key, tenant, count)
        return bool(self.due)

    def _learn(self, owner_of: Callable[[str], tuple[str, str] | None], sealed: dict[bytes, bytes]) -> None:
        """Take objects that peers told of, where this head knows their tenant; no others can be fetched."""
        for key, hidden in sealed.items():
            if key in self.known:
                self.known[key].span = self.span
            elif (
                len(self.known) < 2 * self.sketch.max_counters and (locator := self.keys.open(key, hidden)) is not None
            ):
                owner = owner_of(locator.volume)
                if owner is not None:
                    self._know(key, Known(locator, owner[0], UNKNOWN_BYTES, self.span))

    def _know(self, key: bytes, one: Known) -> None:
        self.known[key] = one
        self.by_object[one.locator.volume, one.locator.manifest] = key
        self.by_manifest[one.locator.manifest] = key

    def _forget(self, key: bytes) -> None:
        locator = self.known.pop(key).locator
        self.by_object.pop((locator.volume, locator.manifest), None)
        if self.by_manifest.get(locator.manifest) == key:
            del self.by_manifest[locator.manifest]

    def _prune(self) -> None:
        """Forget what is neither counted nor followed, longest unheard of first, down to three quarters."""
        loose = sorted(
            (held.span, key)
            for key, held in self.known.items()
            if key not in self.sketch and key not in self.predictor.courses
        )
        for _, key in loose[: max(1, self.sketch.max_counters // 2)]:
            self._forget(key)

    # --- what is asked

    def expected(self, key: bytes) -> float:
        """Return the requests in the next span. What was asked for here goes by that; only else others' word counts.

        What came in the open span is the least that is expected, or a crowd would be seen a span late.
        """
        course, counter = self.predictor.courses.get(key), self.sketch.counters.get(key)
        found = course.mean if course is not None else self.elsewhere.get(key, 0.0)
        return found if counter is None else max(found, counter.span_requests)

    def wanted(self, key: str) -> float:
        """Return predicted requests a second for the id of an object's manifest, by which backends know it."""
        found = self.by_manifest.get(key)
        return self.expected(found) * 1e6 / self.span_us if found is not None else 0.0

    def wanted_object(self, one: tuple[str, str]) -> float:
        """Return predicted requests a second for an object by its volume and the id of its manifest."""
        found = self.by_object.get(one)
        return self.expected(found) * 1e6 / self.span_us if found is not None else 0.0

    def by_word(self, key: bytes) -> str:
        """Return on whose report alone an object is expected; empty where it was requested here."""
        if key in self.predictor.courses:
            return ""
        return next(iter(self.hearsay.claimants(key)), "")

    def object(self, key: bytes) -> tuple[str, str]:
        """Return a known key's volume and the id of its manifest."""
        locator = self.known[key].locator
        return locator.volume, locator.manifest

    def candidates(self, units: Callable[[int], float]) -> Iterable[Candidate]:
        """Return what is worth a fetch; whoever asks knows what is kept already.

        What was asked for here of late is kept as a rule, so of what is not, only what nine times in ten will be asked
        for: the rest of it is overrated more often than not. What is known by peers' word alone goes by its mean.
        """
        for key, one in self.known.items():
            course = self.predictor.courses.get(key)
            expected = self.expected(key) if course is None or course.low >= 1.0 else 0.0
            if expected > 0.0:
                yield Candidate(key, one.tenant, one.locator.shard, one.size, units(one.size), expected)
