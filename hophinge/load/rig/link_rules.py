"""Loss, duplication, delay and partition of the nth datagram of a link: decided from a seed, without I/O, repeatably.

The draws of a datagram depend on the seed, its link and its ordinal alone, not on the rules in force nor on what other
links carry. A rule only gives the threshold from which a draw is a loss; a blocked link drops all, and counts on.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from hashlib import blake2b

from msgspec import Struct

UNKNOWN_SENDER = "?"  # a sender whose address is no member's
DRAW_RANGE = 1 << 64  # a draw is one of so many
DRAWS_PER_DATAGRAM = 5  # loss, duplicate, reorder, its delay, its duplicate's delay
RETRANSMIT_US = 200_000  # the least time after which a kernel retransmits a lost segment

Link = tuple[str, str]


class LinkRule(Struct, frozen=True):
    """The faults of a link; shares are of all datagrams, times in microseconds."""

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0  # delayed by `reorder_delay_us`, so that later ones overtake it
    delay_us: int = 0
    jitter_us: int = 0  # added to the delay, uniformly
    reorder_delay_us: int = 30_000

    def __post_init__(self) -> None:
        """Check ranges."""
        if any(not 0.0 <= share <= 1.0 for share in (self.loss, self.duplicate, self.reorder)):
            raise ValueError("loss, duplicate and reorder are shares from 0 to 1")
        if any(not 0 <= span <= 60_000_000 for span in (self.delay_us, self.jitter_us, self.reorder_delay_us)):
            raise ValueError("delay_us, jitter_us and reorder_delay_us are from 0 to 60000000")


PERFECT_LINK = LinkRule()


def draws(seed: int, link: Link, ordinal: int) -> tuple[float, ...]:
    """Return the draws of a datagram, each from 0 to below 1."""
    source, target = link
    drawn = blake2b(f"{seed}\0{source}\0{target}\0{ordinal}".encode(), digest_size=8 * DRAWS_PER_DATAGRAM).digest()
    return tuple(int.from_bytes(drawn[at : at + 8], "big") / DRAW_RANGE for at in range(0, 8 * DRAWS_PER_DATAGRAM, 8))


def arrival_delays_us(rule: LinkRule, drawn: tuple[float, ...]) -> tuple[int, ...]:
    """Return the microseconds after which a datagram arrives, once for each copy; none: it is lost."""
    loss, duplicate, reorder, delay, duplicate_delay = drawn
    if loss < rule.loss:
        return ()
    first = rule.delay_us + int(rule.jitter_us * delay) + (rule.reorder_delay_us if reorder < rule.reorder else 0)
    if duplicate < rule.duplicate:
        return first, rule.delay_us + int(rule.jitter_us * duplicate_delay) + rule.reorder_delay_us
    return (first,)


class Network:
    """The links between names: their rules, which are blocked, and how many datagrams each has carried."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.rule = PERFECT_LINK  # of links that have none of their own
        self.rules: dict[Link, LinkRule] = {}
        self.blocked_links: set[Link] = set()
        self.ordinals: Counter[Link] = Counter()
        self.counts: Counter[str] = Counter()  # carried, lost, cut, twice
        self.listeners: list[Callable[[], None]] = []

    def next_datagram(self, source: str, target: str) -> tuple[int, ...]:
        """Decide on a link's next datagram; returns the delay in microseconds of each copy that arrives."""
        link = source, target
        ordinal = self.ordinals[link]
        self.ordinals[link] += 1
        if link in self.blocked_links:
            self.counts["cut"] += 1
            return ()
        found = arrival_delays_us(self.rules.get(link, self.rule), draws(self.seed, link, ordinal))
        self.counts["lost" if not found else "twice" if len(found) > 1 else "carried"] += 1
        return found

    def next_segment(self, source: str, target: str) -> int | None:
        """Decide on a link's next segment of a stream; returns its delay in microseconds, None where it is blocked."""
        link = source, target
        if link in self.blocked_links:
            return None
        ordinal = self.ordinals[link]
        self.ordinals[link] += 1
        rule = self.rules.get(link, self.rule)
        drawn = draws(self.seed, link, ordinal)
        found = arrival_delays_us(rule, drawn)  # a lost segment of a stream is retransmitted
        return found[0] if found else RETRANSMIT_US + rule.delay_us + int(rule.jitter_us * drawn[3])

    def set_rule(self, rule: LinkRule, links: Iterable[Link] | None = None) -> None:
        """Set the rule of some links, or of all that have none of their own."""
        if links is None:
            self.rule = rule
        else:
            self.rules.update(dict.fromkeys(links, rule))

    def block(self, sources: Collection[str], targets: Collection[str], both: bool = True) -> None:
        """Block the links from sources to targets, and back where `both`."""
        self.blocked_links |= {(one, other) for one in sources for other in targets if one != other}
        if both:
            self.blocked_links |= {(other, one) for one in sources for other in targets if one != other}
        self._notify()

    def partition(self, *sides: Collection[str]) -> None:
        """Block all links between sides; within a side nothing changes."""
        for at, side in enumerate(sides):
            for other in sides[at + 1 :]:
                self.block(set(side), set(other))

    def partition_zones(self, zones: Mapping[str, str], *apart: str) -> None:
        """Partition zones from the others; `zones` has each name's zone."""
        sides = {zone: {name for name, where in zones.items() if where == zone} for zone in apart}
        self.partition({name for name, where in zones.items() if where not in sides}, *sides.values())

    def heal(self, sources: Collection[str] | None = None, targets: Collection[str] | None = None) -> None:
        """Unblock links: all, or those between sources and targets in either direction."""
        if sources is None or targets is None:
            self.blocked_links.clear()
        else:
            self.blocked_links -= {
                link for one in sources for other in targets for link in ((one, other), (other, one))
            }
        self._notify()

    def _notify(self) -> None:
        for hear in self.listeners:
            hear()
