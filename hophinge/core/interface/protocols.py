"""What others bring to the decisions: bounds of one request, and times added to nodes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Protocol

from hophinge.core.interface.nodes import NodeEntry

if TYPE_CHECKING:
    from hophinge.core.interface.events import Arrival


class Bounds(Protocol):
    """What one request may use, as whoever narrows the module's choice has it; the module never goes beyond."""

    @property
    def attempts(self) -> int:
        """Return how many attempts it may have, the first among them; 0: as the deployment allows."""

    @property
    def hedge_delay_us(self) -> int:
        """Return after how long a second copy may go while the first is out; 0: none."""

    @property
    def version(self) -> int:
        """Return a number that changes with the nodes that may be taken."""

    def allows(self, node: str, shard: int) -> bool:
        """Return whether a node may be used; shard is negative where any will do."""

    def take_retry(self, now_us: int, attempts: int) -> bool:
        """Take one attempt beyond the so many that it had from its budget; False: there is none left."""


class NodeObservation(Protocol):
    """A node as the module's book has it, to be read and never written."""

    @property
    def entry(self) -> NodeEntry:
        """Return its entry in the list."""

    @property
    def free_at(self) -> float:
        """Return when what was sent to it from here should be done, in microseconds."""

    @property
    def units_out(self) -> float:
        """Return the units sent to it from here and not answered."""

    @property
    def recent_latency(self) -> float:
        """Return what its answers took lately, in microseconds."""

    @property
    def failures(self) -> int:
        """Return its trials in a row that failed."""

    def warmth(self, now: int, slow_start_us: int) -> float:
        """Return how far it has warmed up since it started, from 0 to 1."""


class Scorers(Protocol):
    """Whoever adds times to nodes before the one that frees earliest is chosen; it can bring in none."""

    def added_us(self, now_us: int, arrival: Arrival, nodes: Sequence[NodeObservation]) -> Mapping[str, float]:
        """Return added microseconds by node, 0 or more; a node that is not named gets none. It never raises."""
