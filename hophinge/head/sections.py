"""The sections of the operator's file for components that work with peers; without its section one is disabled.

This module imports none of these components, as they are imported only if they are enabled.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec


class ClusterConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`[cluster]`: the member that this process is, and the limits of what it uses for the cluster."""

    listen: str  # host:port for datagrams; peers use it, too, unless `advertise` is set
    seeds: list[str]  # host:port of some members; may include this one
    key_file: Path  # one key per line, newest first, at most two: the first is used, the second is still accepted
    name: str = ""  # unique in the cluster; empty: the head's name
    zone: str = ""
    advertise: str = ""  # host:port at which peers reach this member; empty: `listen`
    bytes_s: int = 20_000  # maximum that this process sends
    members: int = 1_000  # maximum that are stored
    entries: int = 2_000  # maximum of one member
    entry_bytes: int = 256_000  # maximum of one member's entries together

    def __post_init__(self) -> None:
        """Check ranges."""
        if not 2_000 <= self.bytes_s <= 10_000_000:
            raise ValueError("bytes_s must be from 2000 to 10000000")
        if not 2 <= self.members <= 10_000 or not 1 <= self.entries <= 100_000:
            raise ValueError("members must be from 2 to 10000, entries from 1 to 100000")
        if any(":" not in address for address in [self.listen, *self.seeds, *filter(None, [self.advertise])]):
            raise ValueError("listen, seeds and advertise must be host:port")


class MaintenanceConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`[maintenance]`: a head's part in the drains and releases of its control service; needs `[stream]`."""

    build: str = ""  # of this process, as releases name it; empty: the program's version
    zone: str = ""  # for the limits per zone


class ScoringConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`[scoring]`: the scorers in use, each with its own parameters."""

    scorers: list[str]  # names of built-in scorers and of installed packages' scorers
    most_part: float = 0.25  # maximum added time, as a fraction of the tightest latency target
    budget_us: float = 200.0  # of one scorer for one choice
    parameters: dict[str, dict[str, Any]] = {}  # by scorer
    share: bool = True  # share weights with peers, if [cluster] is configured

    def __post_init__(self) -> None:
        """Check ranges."""
        if not 0.0 < self.most_part <= 1.0 or not 1.0 <= self.budget_us <= 1e6:
            raise ValueError("most_part must be above 0 and at most 1, budget_us from 1 to 1000000")


class PopularityConfig(msgspec.Struct, forbid_unknown_fields=True):
    """`[popularity]`: request counts, prediction and the cache of prefetched objects."""

    secret_file: Path  # the installation's secret; names of objects leave a process only hashed with it
    count_bytes: int = 1_000_000  # memory for counts
    cache_bytes: int = 16_000_000  # of objects cached at this head; 0: no cache
    fetch_bytes_s: float = 1e6  # for prefetches
    tenant_part: float = 0.5  # maximum fraction of these budgets for one tenant

    def __post_init__(self) -> None:
        """Check ranges."""
        if not 10_000 <= self.count_bytes <= 1_000_000_000 or not 0 <= self.cache_bytes <= 100_000_000_000:
            raise ValueError("count_bytes must be from 10000 to 1000000000, cache_bytes from 0 to 100000000000")
        if not 0.0 <= self.fetch_bytes_s <= 1e10 or not 0.0 < self.tenant_part <= 1.0:
            raise ValueError("fetch_bytes_s must be from 0 to 1e10, tenant_part above 0 and at most 1")
