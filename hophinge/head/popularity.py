"""Popularity at a head: counts what its object front reads, tells peers, foretells, and fetches beforehand."""

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

TICK_S = 0.5  # between looks at peers, spans and what might be fetched
STEP, REST_S = 25, 0.02  # predictions made at once, and the rest after: a millisecond in twenty, so that nobody waits
PLAN_TICKS = 4  # between plans, where the last one was carried out
FETCH_US = 2_000_000  # of one plan: peers are to be heard and spans closed in time
# Tightest aims of others' work at a backend beyond which it has nothing to spare: the scheduler's own bound for what is
# late and beyond each reserve and fair part, by the settings' usual worths (0.75 sqrt(0.1 x 0.2)).
MAX_IDLE_WAIT = 0.1
WAIT_FADES = 4.0  # tightest aims after which a wait that was seen says nothing
MAX_SECRET = 4096  # bytes of the file


class SecretUnusableError(HophingeError):
    """The installation's secret cannot be used."""

    code = "popularity-secret-unusable"
    remedy = (
        "Put the installation's secret, the same at each head and at least 16 bytes long, into the file that "
        "[popularity] names, readable by the head."
    )


def read_secret(path: Path) -> bytes:
    """Read the installation's secret."""
    try:
        with path.open("rb") as file:
            secret = file.read(MAX_SECRET).strip()
        ObjectKeys(secret)
    except (OSError, ValueError) as error:
        raise SecretUnusableError(f"[popularity] secret_file {str(path)!r}: {error}") from error
    return secret


def drained(board: ReplicatedEntries | None) -> frozenset[str]:
    """Return the backends that some member's statement names; one that is back counts until its permit is free."""
    if board is None:
        return frozenset()
    return frozenset(one.backend for rows in statements_by_owner(board.entries(Topic.DRAINS)).values() for one in rows)


class HeadPopularity:
    """What a head does about popularity; alone, without sight and board, it goes by its own counts."""

    def __init__(
        self,
        config: PopularityConfig,
        store: ObjectStore,
        owner_of: Callable[[str], tuple[str, str] | None],
        log: Callable[[str], None],
        sight: MembershipView | None = None,
        board: ReplicatedEntries | None = None,
        span_us: int = INTERVAL_US,
        day_us: int = DAY_US,
    ) -> None:
        """`owner_of` tells a volume's tenant and plan; it knows the volumes that this head serves."""
        self.config = config
        self.store = store
        self.owner_of = owner_of
        self.log = log
        self.faults = self.failed_publications = 0  # of this part, and pages that the board had no room for
        self.sight = sight
        self.board = board
        self.exchange = store.chunk_store.exchange
        me = sight.own_name if sight is not None else ""
        zone = next((one.zone for one in sight.members() if one.name == me), "") if sight is not None else ""
        object_keys = ObjectKeys(read_secret(config.secret_file))
        self.site = SiteDemand(object_keys, config.count_bytes, config.tenant_part, me, zone, span_us, day_us)
        self.cache = ChunkCache(
            config.cache_bytes,
            config.tenant_part,
            lambda volume: (owner_of(volume) or ("",))[0],
            lambda one: self.site.object_request_rate(one),
        )
        self.cache.on_prefetch_outcome = self._record_request
        now_us = self.exchange.now_us()
        self.planner = PrefetchPlanner(me, zone, config.fetch_bytes_s, config.tenant_part, now_us)
        self.fetcher = Prefetcher(store.chunk_store, self.cache, self.planner, self.load_snapshot)
        store.watcher = self
        store.chunk_store.cache = self.cache
        self.closes_us = now_us + span_us
        self.words: dict[ObjectKey, str] = {}  # of what was fetched on a peer's word: whose
        self.taken: dict[tuple[str, str], EntryVersion] = {}  # versions of pages that were looked at
        self.published_pages = 0  # pages that are on the board
        self.attempted: dict[bytes, int] = {}  # in which span a fetch was tried
        self.unfinished: set[bytes] = set()  # whose fetch broke off
        self.refusals = 0

    # --- what the store tells

    def _locator(self, volume: Volume, name: str) -> Locator:
        return Locator(volume.id, manifest_id(name), shard_of(volume.id, name, self.store.chunk_store.shards))

    def manifest_changed(self, volume: Volume, name: str, manifest: Manifest) -> None:
        """Take an object's manifest as it is now; one without an ETag is that of a deleted object."""
        locator = self._locator(volume, name)
        self.cache.observe_manifest(volume.id, locator.manifest, manifest)
        if manifest.etag:
            self.site.record_object(locator, (self.owner_of(volume.id) or ("",))[0], manifest.size)
        else:
            self.site.record_deletion(locator)

    def read_started(self, volume: Volume, manifest: Manifest, first: int, last: int) -> None:
        """Count a read that begins."""
        one = self.cache.object_of(volume.id, manifest.runs[0]) if manifest.runs else None
        key = self.site.by_object.get(one) if one is not None else None
        if key is not None:
            self.site.record_request(self.exchange.now_us(), key)

    def requests_per_second(self, key: str) -> float:
        """Return predicted requests a second for what a backend is asked for; 0.0 where nothing is known."""
        return self.site.request_rate(key)

    def _record_request(self, one: ObjectKey, useful: bool) -> None:
        owner = self.words.pop(one, "")
        if owner:
            self.site.record_outcome(owner, useful)

    # --- facts

    def load_snapshot(self) -> LoadSnapshot:
        """Return what this head observes now; a backend has capacity for a full body, less what is in flight there."""
        now_us, exchange = self.exchange.now_us(), self.exchange
        refused = exchange.counters.counts["requests_refused"] - self.fetcher.rejected_reads
        overloaded, self.refusals = refused > self.refusals, refused
        sources, draining = dict[int, list[BackendObservation]](), drained(self.board)
        aim = exchange.scheduler.target_us
        for name, book in exchange.scheduler.nodes.items():
            queued = book.queue_delay > MAX_IDLE_WAIT * aim and now_us - book.queue_delay_at < WAIT_FADES * aim
            waits = book.queued or book.is_blocked or book.failures or queued
            spare = 0.0 if waits else exchange.settings.max_units - book.units_out
            warm = book.warmth(now_us, exchange.settings.rules.slow_start_us) >= 1.0
            sources.setdefault(book.entry.shard, []).append(
                BackendObservation(
                    name, book.entry.shard, book.entry.phase is api.Phase.ON, warm, spare, name in draining
                )
            )
        return LoadSnapshot(max(0, exchange.unanswered - self.fetcher.reads_in_flight), overloaded, sources)

    # --- the loop

    async def run(self) -> None:
        """Go on until cancelled; a fault costs popularity, never a request."""
        ticks = 0
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self.tick()
                while self.site.process_pending(STEP):
                    await asyncio.sleep(REST_S)
                ticks += 1
                if ticks % PLAN_TICKS == 0:
                    await self.fetch()
            except Exception as error:
                self.faults += 1
                self.log(f"popularity: {one_line(error)}")

    def tick(self) -> None:
        """Hear peers, and close a span that is over; `Site.step` then foretells."""
        now_us = self.exchange.now_us()
        self._receive_peer_demand(now_us)
        if now_us >= self.closes_us:
            self.closes_us = max(self.closes_us + self.site.span_us, now_us)
            self.attempted = {key: span for key, span in self.attempted.items() if span >= self.site.span}
            self._publish(self.site.close_interval(now_us, self.owner_of))

    def _receive_peer_demand(self, now_us: int) -> None:
        if self.board is None or self.sight is None:
            return
        members = self.sight.members()
        zones = {one.name: one.zone for one in members if one.is_live}
        live = [one.zone for one in members if one.role is Role.HEAD and one.state is MemberState.ALIVE]
        self.planner.divide(now_us, live.count(self.site.zone), len(live))
        seen = {}
        for entry in self.board.entries(Topic.POPULARITY):
            if entry.owner == self.site.own_name or entry.owner not in zones:
                continue
            place = entry.owner, entry.key
            seen[place] = entry.version
            if self.taken.get(place) != entry.version:
                self.site.peer_demand.apply_page(now_us, entry.owner, zones[entry.owner], entry.version, entry.value)
        self.taken = seen
        for owner in self.site.peer_demand.owners.keys() - zones.keys():
            self.site.peer_demand.forget(owner)

    def _publish(self, made: list[bytes]) -> None:
        if self.board is None:
            return
        try:
            for number, page in enumerate(made):
                self.board.put(Topic.POPULARITY, str(number), page)
            for number in range(len(made), self.published_pages):
                self.board.delete(Topic.POPULARITY, str(number))
            self.published_pages = len(made)
        except HophingeError as error:
            # Peers then go by what they have; it is only a hint.
            self.failed_publications += 1
            self.log(f"popularity is not told: {one_line(error)}")

    async def fetch(self) -> None:
        """Carry out a plan, one read at a time; what does not come to its turn is planned anew."""
        if not self.config.cache_bytes or not self.config.fetch_bytes_s:
            return
        members = self.sight.members() if self.sight is not None else ()
        self.unfinished &= self.site.known.keys()
        fresh = (
            one
            for one in self.site.candidates(self.store.chunk_store.units)
            if one.key not in self.attempted
            and (one.key in self.unfinished or not self.cache.has_chunks(self.site.object(one.key)))
        )
        until_us = self.exchange.now_us() + FETCH_US
        for one in self.planner.plan(self.exchange.now_us(), members, self.load_snapshot(), fresh):
            known = self.site.known.get(one.key)
            owner = self.owner_of(known.locator.volume) if known is not None else None
            if known is None or owner is None:
                continue
            self.attempted[one.key] = self.site.span
            if word := self.site.sole_reporter(one.key):
                self.words[known.locator.volume, known.locator.manifest] = word
            manifest, whole = await self.fetcher.fetch(
                one, known.locator, Volume(known.locator.volume, owner[1]), until_us
            )
            (self.unfinished.discard if whole else self.unfinished.add)(one.key)
            if manifest is not None and manifest.etag:
                known.size = manifest.size
            elif manifest is not None:
                self.site.record_deletion(known.locator)
            over = self.exchange.now_us() >= until_us
            if over and not whole:
                self.attempted.pop(one.key, None)  # a long object goes on with the next plan
            if over or self.planner.is_backing_off(self.exchange.now_us(), self.load_snapshot()):
                break

    # --- what operators and tenants see

    def status(self) -> dict[str, object]:
        """Return the status for operators; no object is named."""
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
            "held_back": {why.value: count for why, count in self.planner.hold_counts.items()},
        }

    def tenant(self, tenant: str) -> dict[str, float]:
        """Return a tenant's own metrics."""
        return {
            **self.site.tenant_metrics(self.exchange.now_us(), tenant),
            "kept_bytes": self.cache.tenant_bytes.get(tenant, 0),
        }
