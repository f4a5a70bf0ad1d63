"""The demand at a site as one of its heads estimates it, from its own counts and peers' reports."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Struct

from hophinge.popularity.object_keys import ObjectKeys, Locator
from hophinge.popularity.planner import PrefetchCandidate
from hophinge.popularity.predict import Predictor
from hophinge.popularity.peer_demand import ITEMS_PER_PAGE, MAX_PAGES, PeerDemand, DemandItem, encode_pages
from hophinge.popularity.frequency_sketch import FrequencySketch

INTERVAL_US = 60_000_000  # of one span: long enough for some requests, short enough to notice a flash crowd
DAY_US = 86_400_000_000
HALF_LIFE_INTERVALS = 10  # of counts: a request an hour ago counts about a sixtieth
RETENTION_INTERVALS = 3  # after which a peer's report expires without a newer one
BYTES_PER_COUNTER = 2500  # of memory for a counter with its forecast and two known objects
SERVED_DECAY = 0.9  # per span: a quiet minute must not make peers' claims look large or count without a limit
FIRST_TRUST = 0.5  # share of another site's demand that is expected here, before any experience
TRUST_WEIGHT = 4.0  # number of fetches that `FIRST_TRUST` counts for
MAX_TRUST_SAMPLES = 200.0  # number of past fetches on one owner's reports that count
DEFAULT_OBJECT_BYTES = 64 * 1024  # assumed size of an object that was never served here


class KnownObject(Struct):
    """The metadata of an object; its counts are kept in the sketch."""

    locator: Locator
    tenant: str
    size: int
    last_interval: int  # the span in which it was last requested, or reported by a peer


class SiteDemand:
    """One head's estimate of the demand at its site."""

    def __init__(
        self,
        keys: ObjectKeys,
        count_bytes: int,
        tenant_part: float,
        own_name: str = "",
        zone: str = "",
        span_us: int = INTERVAL_US,
        day_us: int = DAY_US,
    ) -> None:
        self.keys = keys
        self.own_name = own_name
        self.zone = zone
        self.span_us = span_us
        counters = max(16, count_bytes // BYTES_PER_COUNTER)
        self.sketch = FrequencySketch(counters, HALF_LIFE_INTERVALS * span_us, tenant_part)
        self.predictor = Predictor(max(1, day_us // span_us))
        self.peer_demand = PeerDemand(RETENTION_INTERVALS * span_us)
        self.known: dict[bytes, KnownObject] = {}
        self.by_object: dict[tuple[str, str], bytes] = {}  # by volume and manifest id
        self.by_manifest: dict[str, bytes] = {}  # by manifest id; not unique across volumes, so only used as a hint
        self.span = 0
        self.served = 0.0
        self.typical_served = 0.0  # decaying maximum of own requests per span, by which peers' claims are limited
        # Key, tenant and count of the closed span, as far as they are not forecast yet.
        self.pending_counts: list[tuple[bytes, str, float]] = []
        self.demand_elsewhere: dict[bytes, float] = {}  # mean requests per span at other sites, by key
        # Fetches on an owner's report alone: those that were requested later, and all of them.
        self.trust_by_owner: dict[str, tuple[float, float]] = {}

    # --- inputs

    def record_object(self, locator: Locator, tenant: str, size: int) -> bytes:
        """Record that an object exists; returns its key."""
        key = self.keys.of(locator)
        known_object = self.known.get(key)
        if known_object is None:
            if len(self.known) >= 2 * self.sketch.max_counters:
                self._prune()
            self._add(key, KnownObject(locator, tenant, size, self.span))
        else:
            known_object.size = size
            known_object.tenant = tenant
        return key

    def record_request(self, now_us: int, key: bytes) -> None:
        """Count a request for a recorded object."""
        known_object = self.known.get(key)
        if known_object is not None:
            known_object.last_interval = self.span
            self.served += 1.0
            self.sketch.add(now_us, key, known_object.tenant)

    def record_deletion(self, locator: Locator) -> None:
        """Remove a deleted object."""
        key = self.keys.of(locator)
        if key in self.known:
            self._remove(key)
            self.sketch.forget(key)
            self.predictor.remove(key)

    def record_outcome(self, owner: str, useful: bool) -> None:
        """Record whether an object that was prefetched on an owner's report was requested later."""
        hits, total = self.trust_by_owner.get(owner, (0.0, 0.0))
        scale = min(1.0, MAX_TRUST_SAMPLES / (total + 1.0))
        self.trust_by_owner[owner] = (hits + useful) * scale, (total + 1.0) * scale

    def trust_in(self, owner: str) -> float:
        """Return the factor from 0 to 1 for an owner's reports of objects that were never requested here."""
        hits, total = self.trust_by_owner.get(owner, (0.0, 0.0))
        return (FIRST_TRUST * TRUST_WEIGHT + hits) / (TRUST_WEIGHT + total)

    def tenant_metrics(self, now_us: int, tenant: str) -> dict[str, float]:
        """Return the metrics of one tenant, without anything of other tenants."""
        return {
            "requests": self.sketch.total(now_us, tenant),
            "followed": sum(1 for forecast in self.predictor.forecasts.values() if forecast.tenant == tenant),
        }

    # --- intervals

    def close_interval(self, now_us: int, owner_of: Callable[[str], tuple[str, str] | None]) -> list[bytes]:
        """Close a span; returns the pages for the peers. `process_pending` then forecasts its counts in batches.

        `owner_of` returns the tenant and plan of a volume that this head serves, None for others.
        """
        self.process_pending(len(self.pending_counts))
        self.peer_demand.expire(now_us)
        own_counts = self.sketch.close_span()
        self.typical_served = max(SERVED_DECAY * self.typical_served, self.served)
        trust = {
            owner: 1.0 if owner_pages.zone == self.zone else self.trust_in(owner)
            for owner, owner_pages in self.peer_demand.owners.items()
        }
        sums = self.peer_demand.sums_by_zone(self.typical_served, trust)
        site_sums, other_zones = sums.pop(self.zone, {}), sums
        self._add_peer_objects(owner_of, self.peer_demand.sealed_locators())
        self.demand_elsewhere = {}
        for zone_sums in other_zones.values():
            for key, count in zone_sums.items():
                self.demand_elsewhere[key] = self.demand_elsewhere.get(key, 0.0) + count / len(other_zones)
        self.predictor.evict_to(self.sketch.max_counters)
        counts = {key: (tenant, count) for key, tenant, count in own_counts}
        for key, forecast in self.predictor.forecasts.items():
            counts.setdefault(key, (forecast.tenant, 0.0))
        for key in site_sums:
            if key in self.known:
                counts.setdefault(key, (self.known[key].tenant, 0.0))
        self.pending_counts = [
            (key, tenant, count + site_sums.get(key, 0.0)) for key, (tenant, count) in counts.items()
        ]
        self.predictor.begin_interval(self.served + sum(site_sums.values()))
        reported = sorted(
            ((count, key) for key, _, count in own_counts if count > 0 and key in self.known),
            key=lambda row: (-row[0], row[1]),
        )[: ITEMS_PER_PAGE * MAX_PAGES]
        pages = encode_pages(
            self.span,
            self.served,
            [DemandItem(key, self.keys.seal(self.known[key].locator), count) for count, key in reported],
        )
        self.span += 1
        self.served = 0.0
        return pages

    def process_pending(self, limit: int) -> bool:
        """Forecast at most `limit` counts of the closed span; returns whether more are left.

        The limit keeps the event loop free for requests.
        """
        for _ in range(min(limit, len(self.pending_counts))):
            key, tenant, count = self.pending_counts.pop()
            self.predictor.observe(key, tenant, count)
        return bool(self.pending_counts)

    def _add_peer_objects(self, owner_of: Callable[[str], tuple[str, str] | None], sealed: dict[bytes, bytes]) -> None:
        """Add the objects reported by peers whose tenant is known; the others cannot be fetched."""
        for key, sealed_locator in sealed.items():
            if key in self.known:
                self.known[key].last_interval = self.span
            elif (
                len(self.known) < 2 * self.sketch.max_counters
                and (locator := self.keys.open(key, sealed_locator)) is not None
            ):
                owner = owner_of(locator.volume)
                if owner is not None:
                    self._add(key, KnownObject(locator, owner[0], DEFAULT_OBJECT_BYTES, self.span))

    def _add(self, key: bytes, known_object: KnownObject) -> None:
        self.known[key] = known_object
        self.by_object[known_object.locator.volume, known_object.locator.manifest] = key
        self.by_manifest[known_object.locator.manifest] = key

    def _remove(self, key: bytes) -> None:
        locator = self.known.pop(key).locator
        self.by_object.pop((locator.volume, locator.manifest), None)
        if self.by_manifest.get(locator.manifest) == key:
            del self.by_manifest[locator.manifest]

    def _prune(self) -> None:
        """Remove objects that are neither counted nor forecast, the least recent first, down to 3/4 of the limit."""
        unused = sorted(
            (known_object.last_interval, key)
            for key, known_object in self.known.items()
            if key not in self.sketch and key not in self.predictor.forecasts
        )
        for _, key in unused[: max(1, self.sketch.max_counters // 2)]:
            self._remove(key)

    # --- queries

    def expected_requests(self, key: bytes) -> float:
        """Return the expected requests in the next span, by the site's forecast, or else by other sites' reports.

        The count of the current span is a lower bound, as a flash crowd would otherwise be noticed a span late.
        """
        forecast, counter = self.predictor.forecasts.get(key), self.sketch.counters.get(key)
        expected = forecast.mean if forecast is not None else self.demand_elsewhere.get(key, 0.0)
        return expected if counter is None else max(expected, counter.span_requests)

    def request_rate(self, key: str) -> float:
        """Return the predicted requests per second for the id of a manifest, by which backends know an object."""
        object_key = self.by_manifest.get(key)
        return self.expected_requests(object_key) * 1e6 / self.span_us if object_key is not None else 0.0

    def object_request_rate(self, volume_and_manifest: tuple[str, str]) -> float:
        """Return the predicted requests per second for an object by its volume and manifest id."""
        object_key = self.by_object.get(volume_and_manifest)
        return self.expected_requests(object_key) * 1e6 / self.span_us if object_key is not None else 0.0

    def sole_reporter(self, key: bytes) -> str:
        """Return the owner with the largest claim for an object that is expected by reports alone.

        Empty if the site has a forecast of its own for the object, or if no owner claims it.
        """
        if key in self.predictor.forecasts:
            return ""
        return next(iter(self.peer_demand.claimants(key)), "")

    def object(self, key: bytes) -> tuple[str, str]:
        """Return the volume and manifest id of a known key."""
        locator = self.known[key].locator
        return locator.volume, locator.manifest

    def candidates(self, units: Callable[[int], float]) -> Iterable[PrefetchCandidate]:
        """Return the prefetch candidates, whether or not they are cached already.

        An object that was requested here recently is usually cached. So an object with a forecast is a candidate only
        if its lower bound is at least one request: of the objects with a smaller bound, those that are not cached are
        overestimated more often than not. An object without a forecast here counts by its expected requests.

        Args:
            units: Returns the cost of a read by its size in bytes.

        """
        for key, known_object in self.known.items():
            forecast = self.predictor.forecasts.get(key)
            expected = self.expected_requests(key) if forecast is None or forecast.low >= 1.0 else 0.0
            if expected > 0.0:
                yield PrefetchCandidate(
                    key,
                    known_object.tenant,
                    known_object.locator.shard,
                    known_object.size,
                    units(known_object.size),
                    expected,
                )
