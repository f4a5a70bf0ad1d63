"""What other components provide to the scheduler: the bounds of a request, and times added to nodes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Protocol

from hophinge.core.interface.nodes import NodeEntry

if TYPE_CHECKING:
    from hophinge.core.interface.events import Arrival


class Bounds(Protocol):
    """The nodes and attempts that one request may use, as set by the gate; the scheduler stays within them."""

    @property
    def attempts(self) -> int:
        """The maximum number of attempts, including the first; 0: as the deployment allows."""

    @property
    def hedge_delay_us(self) -> int:
        """The microseconds after which a hedged second attempt may be sent while the first is in flight; 0: none."""

    @property
    def version(self) -> int:
        """A number that changes whenever the set of allowed nodes changes."""

    def allows(self, node: str, shard: int) -> bool:
        """Return whether a node may be used; `shard` is negative if any shard is suitable."""

    def take_retry(self, now_us: int, attempts: int) -> bool:
        """Take a retry, after `attempts` attempts, from the retry budget; returns False if the budget is used up."""


class NodeObservation(Protocol):
    """The scheduler's state of a node, read-only."""

    @property
    def entry(self) -> NodeEntry:
        """Its entry in the node list."""

    @property
    def free_at(self) -> float:
        """When the work that this gateway sent to it should be done, in microseconds."""

    @property
    def units_out(self) -> float:
        """The units that this gateway sent to it and that are not answered."""

    @property
    def recent_latency(self) -> float:
        """The recent latency of its answers, in microseconds."""

    @property
    def failures(self) -> int:
        """The attempts that failed since the last served one, without those sent before a backoff ended."""

    def warmth(self, now: int, slow_start_us: int) -> float:
        """Return how far it has warmed up since it started, from 0 to 1."""


class Scorers(Protocol):
    """Adds times to candidate nodes before the one that is free earliest is chosen; it cannot add a candidate."""

    def added_us(self, now_us: int, arrival: Arrival, nodes: Sequence[NodeObservation]) -> Mapping[str, float]:
        """Return the added microseconds by node, 0 or more; a missing node gets none. It never raises."""
