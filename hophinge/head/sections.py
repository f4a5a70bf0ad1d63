"""The operator's sections for processes that work together; each is off where its section is absent.

Plain figures alone: the packages that they switch on are imported only where they are there.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec


class ClusterConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`[cluster]`: who this process is among its peers, and what it may use for them."""

    listen: str  # host:port for datagrams, which peers reach it at too unless `advertise` says else
    seeds: list[str]  # host:port of some members; its own may be among them
    key_file: Path  # one key a line, the newest first, at most two: the second is still taken
    name: str = ""  # unlike all others'; the head's own name where it is empty
    zone: str = ""
    advertise: str = ""
    bytes_s: int = 20_000  # sent by this process at most, whatever happens
    members: int = 1_000  # kept at most
    entries: int = 2_000  # of one member at most
    entry_bytes: int = 256_000  # of one member's entries at most

    def __post_init__(self) -> None:
        """Check ranges."""
        if not 2_000 <= self.bytes_s <= 10_000_000:
            raise ValueError("bytes_s must be from 2000 to 10000000")
        if not 2 <= self.members <= 10_000 or not 1 <= self.entries <= 100_000:
            raise ValueError("members must be from 2 to 10000, entries from 1 to 100000")
        if any(":" not in one for one in [self.listen, *self.seeds, *filter(None, [self.advertise])]):
            raise ValueError("listen, seeds and advertise are host:port")


class MaintenanceConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`[maintenance]`: a head's part in drains and releases that its control service agrees; needs `[stream]`."""

    build: str = ""  # what runs here, as a release names it; the program's version where it is empty
    zone: str = ""  # as bounds by zone count it


class ScoringConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`[scoring]`: which scorers are at work, each with its own parameters."""

    scorers: list[str]  # by the names that their packages give them
    most_part: float = 0.25  # of the tightest aim: the longest time that they may add
    budget_us: float = 200.0  # that one scorer may take for one choice
    parameters: dict[str, dict[str, Any]] = {}  # by scorer
    share: bool = True  # weights, with peers, where [cluster] is there

    def __post_init__(self) -> None:
        """Check ranges."""
        if not 0.0 < self.most_part <= 1.0 or not 1.0 <= self.budget_us <= 1e6:
            raise ValueError("most_part must be above 0 and at most 1, budget_us from 1 to 1000000")


class PopularityConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`[popularity]`: counting, prediction and the cache of a site."""

    secret_file: Path  # of the installation: keys leave a process hashed with it
    count_bytes: int = 1_000_000  # for counts
    cache_bytes: int = 16_000_000  # of objects kept at this head; 0: none
    fetch_bytes_s: float = 1e6  # for fetches beforehand
    tenant_part: float = 0.5  # of those budgets that one tenant may use

    def __post_init__(self) -> None:
        """Check ranges."""
        if not 10_000 <= self.count_bytes <= 1_000_000_000 or not 0 <= self.cache_bytes <= 100_000_000_000:
            raise ValueError("count_bytes must be from 10000 to 1000000000, cache_bytes from 0 to 100000000000")
        if not 0.0 <= self.fetch_bytes_s <= 1e10 or not 0.0 < self.tenant_part <= 1.0:
            raise ValueError("fetch_bytes_s must be from 0 to 1e10, tenant_part above 0 and at most 1")
