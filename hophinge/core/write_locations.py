"""Where objects were written lately by this head: the shard that answered for each, by volume and key; no I/O."""

from __future__ import annotations

from collections import OrderedDict

# Clients read an object in the seconds after it was written; whoever reads it later has heard where it lies. The
# longest deadlines are some seconds, and a client may come again after as much.
MAX_AGE_US = 30_000_000
# More writes than a head takes in that time (130 a second). An entry takes 0.4 KB, all of them 1.7 MB.
MAX_ENTRIES = 4096


class WriteLocations:
    """The latest write of each object, the oldest first; bounded in entries and in age."""

    def __init__(self, max_entries: int = MAX_ENTRIES, max_age_us: int = MAX_AGE_US) -> None:
        self.max_entries = max_entries
        self.max_age_us = max_age_us
        # Shard and when, by volume and key; a plain dict finds its oldest entry only past all that were deleted.
        self.locations: OrderedDict[tuple[str, str], tuple[int, int]] = OrderedDict()

    def record(self, now_us: int, volume: str, key: str, shard: int) -> None:
        """Record the shard that answered for a write of an object; an earlier location is replaced."""
        self.locations.pop((volume, key), None)
        while self.locations:
            oldest = next(iter(self.locations))
            if len(self.locations) < self.max_entries and now_us - self.locations[oldest][1] <= self.max_age_us:
                break
            del self.locations[oldest]
        self.locations[volume, key] = shard, now_us

    def find(self, now_us: int, volume: str, key: str) -> int | None:
        """Return the shard where an object was written; None where that is not known or too long ago."""
        place = self.locations.get((volume, key))
        return place[0] if place is not None and now_us - place[1] <= self.max_age_us else None
