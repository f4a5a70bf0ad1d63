"""The shards where this head recently wrote objects, by volume and key; no I/O."""

from __future__ import annotations

from collections import OrderedDict

# Clients that read an object within seconds of its write may not know its shard yet; later readers have learned it.
# The longest deadlines are some seconds, and a client may retry after as much.
MAX_AGE_US = 30_000_000
# More writes than a head accepts in that time (130 per second). An entry takes 0.4 KB, all of them 1.7 MB.
MAX_ENTRIES = 4096


class WriteLocations:
    """The shard and time of the latest write of each object, oldest first; bounded in number and age."""

    def __init__(self, max_entries: int = MAX_ENTRIES, max_age_us: int = MAX_AGE_US) -> None:
        self.max_entries = max_entries
        self.max_age_us = max_age_us
        # Shard and time of the write, by volume and key. A plain dict would scan past deleted entries for the oldest.
        self.locations: OrderedDict[tuple[str, str], tuple[int, int]] = OrderedDict()

    def record(self, now_us: int, volume: str, key: str, shard: int) -> None:
        """Record the shard that an object was written to, in place of an earlier one; expired locations are dropped."""
        self.locations.pop((volume, key), None)
        while self.locations:
            oldest = next(iter(self.locations))
            if len(self.locations) < self.max_entries and now_us - self.locations[oldest][1] <= self.max_age_us:
                break
            del self.locations[oldest]
        self.locations[volume, key] = shard, now_us

    def find(self, now_us: int, volume: str, key: str) -> int | None:
        """Return the shard where an object was written; None if unknown or too long ago."""
        location = self.locations.get((volume, key))
        return location[0] if location is not None and now_us - location[1] <= self.max_age_us else None
