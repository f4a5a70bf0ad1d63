"""Popularity at a head: counts the objects read, exchanges demand with peers, forecasts and prefetches.

The counts are those of the head's object front; the forecast is made for the site of the head.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from hophinge.cluster.interface import ReplicatedEntries, Role, MembershipView, MemberState, Topic, EntryVersion
from hophinge.core import interface as api
from hophinge.core.errors import HophingeError, one_line
from hophinge.head.sections import PopularityConfig
from hophinge.maintenance.statements import statements_by_owner
from hophinge.objects.prefetch import Prefetcher
from hophinge.objects.chunk_cache import ObjectKey, ChunkCache
from hophinge.objects.stored_records import Manifest, manifest_id, shard_of
from hophinge.objects.object_store import ObjectStore
from hophinge.objects.account_access import Volume
from hophinge.popularity.object_keys import ObjectKeys, Locator
from hophinge.popularity.planner import LoadSnapshot, PrefetchPlanner, BackendObservation
from hophinge.popularity.site import DAY_US, INTERVAL_US, SiteDemand

TICK_S = 0.5  # between rounds: read peers' pages, close a span that has ended, forecast, prefetch
# Forecasts per batch, and the pause after it: about 1 ms of work in 20 ms, so that requests do not wait.
FORECAST_BATCH, FORECAST_PAUSE_S = 25, 0.02
PLAN_TICKS = 4  # between two plans
FETCH_US = 2_000_000  # for one plan, so that peers' pages are read and spans closed in time
# In target latencies of the tightest class: a backend whose queueing delay from other work is longer has no spare
# capacity. The scheduler has the same bound for requests that are late and beyond each reserve and fair share, at the
# usual weights of the settings: 0.75 sqrt(0.1 x 0.2).
MAX_QUEUE_DELAY_TARGETS = 0.1
QUEUE_DELAY_MAX_AGE_TARGETS = 4.0  # an older observation of the queueing delay is ignored
MAX_SECRET_BYTES = 4096  # of the secret's file


class SecretUnusableError(HophingeError):
    """The installation's secret cannot be read or used."""

    code = "popularity-secret-unusable"
    remedy = (
        "Put the installation's secret, the same at each head and at least 16 bytes long, into the file that "
        "[popularity] names, readable by the head."
    )


def read_secret(path: Path) -> bytes:
    """Return the installation's secret; raises SecretUnusableError."""
    try:
        with path.open("rb") as file:
            secret = file.read(MAX_SECRET_BYTES).strip()
        ObjectKeys(secret)
    except (OSError, ValueError) as error:
        raise SecretUnusableError(f"[popularity] secret_file {str(path)!r}: {error}") from error
    return secret


def drained(entries: ReplicatedEntries | None) -> frozenset[str]:
    """Return the backends that the members' drain statements name.

    A restored backend counts as drained until its permit is released.
    """
    if entries is None:
        return frozenset()
    return frozenset(
        statement.backend
        for statements in statements_by_owner(entries.entries(Topic.DRAINS)).values()
        for statement in statements
    )


class HeadPopularity:
    """Popularity prediction and prefetching of a head; without membership and entries it uses its own counts alone."""

    def __init__(
        self,
        config: PopularityConfig,
        store: ObjectStore,
        owner_of: Callable[[str], tuple[str, str] | None],
        log: Callable[[str], None],
        membership: MembershipView | None = None,
        entries: ReplicatedEntries | None = None,
        span_us: int = INTERVAL_US,
        day_us: int = DAY_US,
    ) -> None:
        """`owner_of` returns the tenant and plan of a volume that this head serves, None for any other volume."""
        self.config = config
        self.store = store
        self.owner_of = owner_of
        self.log = log
        self.faults = self.failed_publications = 0  # failed rounds, and publications that were rejected
        self.membership = membership
        self.entries = entries
        self.exchange = store.chunk_store.exchange
        own_name = membership.own_name if membership is not None else ""
        zone = (
            next((member.zone for member in membership.members() if member.name == own_name), "")
            if membership is not None
            else ""
        )
        object_keys = ObjectKeys(read_secret(config.secret_file))
        self.site = SiteDemand(object_keys, config.count_bytes, config.tenant_part, own_name, zone, span_us, day_us)
        self.cache = ChunkCache(
            config.cache_bytes,
            config.tenant_part,
            lambda volume: (owner_of(volume) or ("",))[0],
            lambda object_key: self.site.object_request_rate(object_key),
        )
        self.cache.on_prefetch_outcome = self._record_prefetch_outcome
        now_us = self.exchange.now_us()
        self.planner = PrefetchPlanner(own_name, zone, config.fetch_bytes_s, config.tenant_part, now_us)
        self.fetcher = Prefetcher(store.chunk_store, self.cache, self.planner, self.load_snapshot)
        store.watcher = self
        store.chunk_store.cache = self.cache
        self.closes_us = now_us + span_us
        self.prefetch_reporters: dict[ObjectKey, str] = {}  # the peer on whose report alone an object was prefetched
        self.applied_versions: dict[tuple[str, str], EntryVersion] = {}  # of peers' pages, by owner and key
        self.published_pages = 0  # own pages among the replicated entries
        self.attempted: dict[bytes, int] = {}  # by object: the span of the last fetch
        self.unfinished: set[bytes] = set()  # objects whose fetch was not completed
        self.refusals = 0

    # --- callbacks of the store

    def _locator(self, volume: Volume, name: str) -> Locator:
        return Locator(volume.id, manifest_id(name), shard_of(volume.id, name, self.store.chunk_store.shards))

    def manifest_changed(self, volume: Volume, name: str, manifest: Manifest) -> None:
        """Record the current manifest of an object; a manifest without an ETag is that of a deleted object."""
        locator = self._locator(volume, name)
        self.cache.observe_manifest(volume.id, locator.manifest, manifest)
        if manifest.etag:
            self.site.record_object(locator, (self.owner_of(volume.id) or ("",))[0], manifest.size)
        else:
            self.site.record_deletion(locator)

    def read_started(self, volume: Volume, manifest: Manifest, first: int, last: int) -> None:
        """Count a read of an object as it begins."""
        object_key = self.cache.object_of(volume.id, manifest.runs[0]) if manifest.runs else None
        key = self.site.by_object.get(object_key) if object_key is not None else None
        if key is not None:
            self.site.record_request(self.exchange.now_us(), key)

    def requests_per_second(self, key: str) -> float:
        """Return the predicted requests per second for the key of a request to a backend; 0.0 for an unknown key."""
        return self.site.request_rate(key)

    def _record_prefetch_outcome(self, object_key: ObjectKey, useful: bool) -> None:
        owner = self.prefetch_reporters.pop(object_key, "")
        if owner:
            self.site.record_outcome(owner, useful)

    # --- observed load

    def load_snapshot(self) -> LoadSnapshot:
        """Return the load that this head observes now.

        A backend's spare capacity is the units of a full body, less the units in flight there; 0 if requests wait.
        """
        now_us, exchange = self.exchange.now_us(), self.exchange
        refused = exchange.counters.counts["requests_refused"] - self.fetcher.rejected_reads
        overloaded, self.refusals = refused > self.refusals, refused
        sources, draining = dict[int, list[BackendObservation]](), drained(self.entries)
        target_us = exchange.scheduler.target_us
        for name, node in exchange.scheduler.nodes.items():
            is_delayed = (
                node.queue_delay > MAX_QUEUE_DELAY_TARGETS * target_us
                and now_us - node.queue_delay_at < QUEUE_DELAY_MAX_AGE_TARGETS * target_us
            )
            has_waiting = node.queued or node.is_blocked or node.failures or is_delayed
            spare = 0.0 if has_waiting else exchange.settings.max_units - node.units_out
            is_warm = node.warmth(now_us, exchange.settings.rules.slow_start_us) >= 1.0
            sources.setdefault(node.entry.shard, []).append(
                BackendObservation(
                    name, node.entry.shard, node.entry.phase is api.Phase.ON, is_warm, spare, name in draining
                )
            )
        return LoadSnapshot(max(0, exchange.unanswered - self.fetcher.reads_in_flight), overloaded, sources)

    # --- the loop

    async def run(self) -> None:
        """Run rounds until cancelled; an error is logged and does not affect requests."""
        ticks = 0
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self.tick()
                while self.site.process_pending(FORECAST_BATCH):
                    await asyncio.sleep(FORECAST_PAUSE_S)
                ticks += 1
                if ticks % PLAN_TICKS == 0:
                    await self.fetch()
            except Exception as error:
                self.faults += 1
                self.log(f"popularity: {one_line(error)}")

    def tick(self) -> None:
        """Read peers' pages and close a span that has ended; `SiteDemand.process_pending` then makes the forecasts."""
        now_us = self.exchange.now_us()
        self._receive_peer_demand(now_us)
        if now_us >= self.closes_us:
            self.closes_us = max(self.closes_us + self.site.span_us, now_us)
            self.attempted = {key: span for key, span in self.attempted.items() if span >= self.site.span}
            self._publish(self.site.close_interval(now_us, self.owner_of))

    def _receive_peer_demand(self, now_us: int) -> None:
        if self.entries is None or self.membership is None:
            return
        members = self.membership.members()
        zones = {member.name: member.zone for member in members if member.is_live}
        head_zones = [
            member.zone for member in members if member.role is Role.HEAD and member.state is MemberState.ALIVE
        ]
        self.planner.divide(now_us, head_zones.count(self.site.zone), len(head_zones))
        versions = {}
        for entry in self.entries.entries(Topic.POPULARITY):
            if entry.owner == self.site.own_name or entry.owner not in zones:
                continue
            page_key = entry.owner, entry.key
            versions[page_key] = entry.version
            if self.applied_versions.get(page_key) != entry.version:
                self.site.peer_demand.apply_page(now_us, entry.owner, zones[entry.owner], entry.version, entry.value)
        self.applied_versions = versions
        for owner in self.site.peer_demand.owners.keys() - zones.keys():
            self.site.peer_demand.forget(owner)

    def _publish(self, pages: list[bytes]) -> None:
        if self.entries is None:
            return
        try:
            for number, page in enumerate(pages):
                self.entries.put(Topic.POPULARITY, str(number), page)
            for number in range(len(pages), self.published_pages):
                self.entries.delete(Topic.POPULARITY, str(number))
            self.published_pages = len(pages)
        except HophingeError as error:
            # Peers go on with the pages that they have; these are only hints.
            self.failed_publications += 1
            self.log(f"popularity: cannot publish the demand to peers: {one_line(error)}")

    async def fetch(self) -> None:
        """Make a plan and carry it out, one read at a time; objects that it does not reach are planned again."""
        if not self.config.cache_bytes or not self.config.fetch_bytes_s:
            return
        members = self.membership.members() if self.membership is not None else ()
        self.unfinished &= self.site.known.keys()
        candidates = (
            candidate
            for candidate in self.site.candidates(self.store.chunk_store.units)
            if candidate.key not in self.attempted
            and (candidate.key in self.unfinished or not self.cache.has_chunks(self.site.object(candidate.key)))
        )
        until_us = self.exchange.now_us() + FETCH_US
        for prefetch in self.planner.plan(self.exchange.now_us(), members, self.load_snapshot(), candidates):
            known = self.site.known.get(prefetch.key)
            owner = self.owner_of(known.locator.volume) if known is not None else None
            if known is None or owner is None:
                continue
            self.attempted[prefetch.key] = self.site.span
            if reporter := self.site.sole_reporter(prefetch.key):
                self.prefetch_reporters[known.locator.volume, known.locator.manifest] = reporter
            manifest, is_complete = await self.fetcher.fetch(
                prefetch, known.locator, Volume(known.locator.volume, owner[1]), until_us
            )
            (self.unfinished.discard if is_complete else self.unfinished.add)(prefetch.key)
            if manifest is not None and manifest.etag:
                known.size = manifest.size
            elif manifest is not None:
                self.site.record_deletion(known.locator)
            is_over = self.exchange.now_us() >= until_us
            if is_over and not is_complete:
                self.attempted.pop(prefetch.key, None)  # a long object is continued in the next plan
            if is_over or self.planner.is_backing_off(self.exchange.now_us(), self.load_snapshot()):
                break

    # --- status and metrics

    def status(self) -> dict[str, object]:
        """Return the status for operators; it does not disclose names of objects."""
        cache, fetcher = self.cache, self.fetcher
        return {
            "span": self.site.span,
            "counters": len(self.site.sketch),
            "followed": len(self.site.predictor.forecasts),
            "peers": len(self.site.peer_demand.owners),
            "malformed": self.site.peer_demand.malformed,
            "kept_bytes": cache.used_bytes,
            "kept_pieces": len(cache.chunks),
            "hits": cache.hits,
            "misses": cache.misses,
            "fetched_objects": fetcher.fetched_objects,
            "fetched_bytes": fetcher.fetched_bytes,
            "fetches_refused": fetcher.rejected_reads,
            "faults": self.faults,
            "untold": self.failed_publications,
            "useful": cache.used_prefetches,
            "useless": cache.wasted_prefetches,
            "held_back": {reason.value: count for reason, count in self.planner.hold_counts.items()},
        }

    def tenant(self, tenant: str) -> dict[str, float]:
        """Return the metrics of one tenant."""
        return {
            **self.site.tenant_metrics(self.exchange.now_us(), tenant),
            "kept_bytes": self.cache.tenant_bytes.get(tenant, 0),
        }
