"""Pieces kept at a head, bounded by bytes: what bricks need not be asked for again.

Only pieces are kept, never manifests. A piece is named by the run that wrote it and is never written again; which runs
an object has is read from the bricks for each request. So what was overwritten or deleted is not served from here:
nothing that is asked for names it any more. A head that starts has an empty cache.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterable

from msgspec import Struct

from hophinge.objects.records import Manifest, Run

SAMPLE = 16  # of the pieces used longest ago, the one of least demand a byte goes
MARGIN = 4.0  # times a victim's demand a byte that what nobody asked for must promise: what is chosen for its
#                         prediction is overrated, and what is given up for its own underrated
OVERHEAD = 200  # bytes that a kept piece takes beside its body
MAX_OBJECTS = 50_000  # whose runs are known; beyond, those seen longest ago are forgotten with their pieces

Place = tuple[str, bytes, int]  # volume, run, place in the run
Object = tuple[str, str]  # volume, id of the manifest


class Held(Struct):
    """A kept piece."""

    body: bytes
    object: Object
    tenant: str
    beforehand: bool  # fetched before it was asked for, and not asked for since


class Known(Struct):
    """An object whose manifest was seen: its runs now, and which of its pieces are kept."""

    tenant: str
    runs: frozenset[bytes]
    kept: set[Place]


class PieceCache:
    """Pieces of one head, at most `most` bytes, of one tenant at most `tenant_part` of them."""

    def __init__(
        self,
        most: int,
        tenant_part: float = 1.0,
        tenant_of: Callable[[str], str] = lambda volume: "",
        wanted: Callable[[Object], float] = lambda one: 0.0,
    ) -> None:
        self.most, self.most_each = most, int(most * tenant_part)
        self.tenant_of, self.wanted = tenant_of, wanted
        self.held: OrderedDict[Place, Held] = OrderedDict()
        self.objects: OrderedDict[Object, Known] = OrderedDict()
        self.runs: dict[tuple[str, bytes], Object] = {}
        self.size = 0
        self.sizes: dict[str, int] = {}  # by tenant
        self.hits = self.misses = self.hit_bytes = 0
        self.useful = self.useless = 0  # pieces fetched beforehand that were asked for, or went before that
        self.tell: Callable[[Object, bool], None] = lambda one, useful: None  # of each of these

    # --- versions

    def seen(self, volume: str, name: str, manifest: Manifest) -> None:
        """Take an object's manifest as the bricks told it just now; `name` is the manifest's id."""
        self.version((volume, name), [run.token for run in manifest.runs] if manifest.etag else [])

    def version(self, one: Object, tokens: Iterable[bytes]) -> None:
        """Note an object's runs; pieces of others go, for nobody will name them again."""
        runs = frozenset(tokens)
        known = self.objects.get(one)
        if known is not None and known.runs == runs:
            self.objects.move_to_end(one)
            return
        if known is not None:
            # A run that both versions name stays; a reader of an old manifest that is still at work asks the bricks.
            for place in [place for place in known.kept if place[1] not in runs]:
                self._drop(place)
            for token in known.runs - runs:
                self.runs.pop((one[0], token), None)
        if not runs:
            self.objects.pop(one, None)
            return
        kept = known.kept if known is not None else set()
        self.objects[one] = Known(self.tenant_of(one[0]), runs, kept)
        self.objects.move_to_end(one)
        for token in runs:
            self.runs[one[0], token] = one
        while len(self.objects) > MAX_OBJECTS:
            self.version(next(iter(self.objects)), ())

    def holds(self, one: Object) -> bool:
        """Tell whether any piece of an object is kept."""
        known = self.objects.get(one)
        return known is not None and bool(known.kept)

    def object_of(self, volume: str, run: Run) -> Object | None:
        """Tell whose run it is, where its manifest was seen."""
        return self.runs.get((volume, run.token))

    # --- pieces

    def get(self, volume: str, run: Run, at: int) -> bytes | None:
        """Tell a piece that is kept."""
        place = (volume, run.token, at)
        held = self.held.get(place)
        if held is None:
            self.misses += 1
            return None
        self.hits += 1
        self.hit_bytes += len(held.body)
        self.held.move_to_end(place)
        if held.beforehand:
            held.beforehand = False
            self.useful += 1
            self.tell(held.object, True)
        return held.body

    def has(self, volume: str, run: Run, at: int) -> bool:
        """Tell whether a piece is kept, without counting it as asked for."""
        return (volume, run.token, at) in self.held

    def put(self, volume: str, run: Run, at: int, body: bytes, beforehand: bool = False) -> bool:
        """Keep a piece that was read, if it is worth more than what would go for it; tells whether it is kept."""
        place, one = (volume, run.token, at), self.runs.get((volume, run.token))
        if one is None or place in self.held:
            return place in self.held  # of an unknown or old version: nobody will name it
        known, size = self.objects[one], len(body) + OVERHEAD
        if size > self.most_each or size > self.most:
            return False
        worth = self.wanted(one) / size
        while self.sizes.get(known.tenant, 0) + size > self.most_each:
            if not self._make_room(worth, one, beforehand, known.tenant):
                return False
        while self.size + size > self.most:
            if not self._make_room(worth, one, beforehand, None):
                return False
        self.held[place] = Held(body, one, known.tenant, beforehand)
        known.kept.add(place)
        self.size += size
        self.sizes[known.tenant] = self.sizes.get(known.tenant, 0) + size
        return True

    def would_keep(self, one: Object, size: int) -> bool:
        """Tell whether a piece of an object, so many bytes, would be kept if it were fetched beforehand now."""
        known = self.objects.get(one)
        if known is None or size > min(self.most, self.most_each):
            return False
        worth = self.wanted(one) / size
        if self.sizes.get(known.tenant, 0) + size > self.most_each:
            return self._victim(worth, one, True, known.tenant) is not None
        return self.size + size <= self.most or self._victim(worth, one, True, None) is not None

    def _make_room(self, worth: float, one: Object, beforehand: bool, tenant: str | None) -> bool:
        victim = self._victim(worth, one, beforehand, tenant)
        if victim is not None:
            self._drop(victim)
        return victim is not None

    def _victim(self, worth: float, one: Object, beforehand: bool, tenant: str | None) -> Place | None:
        """Tell the piece of least demand a byte, of those used longest ago; none where the newcomer has less.

        Where nothing is known of demand, both count 0 and the one used longest ago goes.
        """
        old = itertools.islice(
            (place for place, held in self.held.items() if tenant is None or held.tenant == tenant), SAMPLE
        )
        least, _, victim = min(
            (
                (self.wanted(self.held[place].object) / (len(self.held[place].body) + OVERHEAD), at, place)
                for at, place in enumerate(old)
            ),
            key=lambda row: row[:2],
        )
        # An object that pushes out its own pieces would never be whole.
        if worth < least or (beforehand and worth <= MARGIN * least) or self.held[victim].object == one:
            return None
        return victim

    def _drop(self, place: Place) -> None:
        held = self.held.pop(place)
        size = len(held.body) + OVERHEAD
        self.size -= size
        self.sizes[held.tenant] -= size
        if not self.sizes[held.tenant]:
            del self.sizes[held.tenant]
        known = self.objects.get(held.object)
        if known is not None:
            known.kept.discard(place)
        if held.beforehand:
            self.useless += 1
            self.tell(held.object, False)

    def forget_tenant(self, tenant: str) -> None:
        """Drop all of a tenant that is served no more."""
        for one in [one for one, known in self.objects.items() if known.tenant == tenant]:
            self.version(one, ())
