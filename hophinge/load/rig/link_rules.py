"""Decides loss, duplication, delay and blocking of the nth datagram of a link from a seed: reproducible, without I/O.

The draws of a datagram depend only on the seed, its link and its ordinal, not on the rules in force or on the traffic
of other links. A rule only sets the threshold below which a draw is a loss. A blocked link drops all datagrams, but
counts their ordinals, so that later datagrams have the same draws as without the block.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from hashlib import blake2b

from msgspec import Struct

UNKNOWN_SENDER = "?"  # the name of a sender whose address is not registered
DRAW_RANGE = 1 << 64  # number of values that a draw can have
DRAWS_PER_DATAGRAM = 5  # for its loss, duplication, reordering, delay, and the delay of its duplicate
RETRANSMIT_US = 200_000  # the shortest time after which a kernel retransmits a lost segment

Link = tuple[str, str]


class LinkRule(Struct, frozen=True):
    """The faults of a link; shares are of its datagrams, from 0 to 1."""

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0  # share delayed by `reorder_delay_us`, so that later datagrams overtake them
    delay_us: int = 0
    jitter_us: int = 0  # the delay is up to this much longer, uniformly distributed
    reorder_delay_us: int = 30_000

    def __post_init__(self) -> None:
        """Raise ValueError for a value that is out of range."""
        if any(not 0.0 <= share <= 1.0 for share in (self.loss, self.duplicate, self.reorder)):
            raise ValueError("loss, duplicate and reorder must be shares from 0 to 1")
        if any(not 0 <= span <= 60_000_000 for span in (self.delay_us, self.jitter_us, self.reorder_delay_us)):
            raise ValueError("delay_us, jitter_us and reorder_delay_us must be from 0 to 60000000")


PERFECT_LINK = LinkRule()


def draws(seed: int, link: Link, ordinal: int) -> tuple[float, ...]:
    """Return the draws of a datagram, each at least 0 and less than 1."""
    source, target = link
    digest = blake2b(f"{seed}\0{source}\0{target}\0{ordinal}".encode(), digest_size=8 * DRAWS_PER_DATAGRAM).digest()
    return tuple(
        int.from_bytes(digest[offset : offset + 8], "big") / DRAW_RANGE
        for offset in range(0, 8 * DRAWS_PER_DATAGRAM, 8)
    )


def arrival_delays_us(rule: LinkRule, drawn: tuple[float, ...]) -> tuple[int, ...]:
    """Return the delay in microseconds of each copy of a datagram that arrives; empty if it is lost."""
    loss, duplicate, reorder, delay, duplicate_delay = drawn
    if loss < rule.loss:
        return ()
    first = rule.delay_us + int(rule.jitter_us * delay) + (rule.reorder_delay_us if reorder < rule.reorder else 0)
    if duplicate < rule.duplicate:
        return first, rule.delay_us + int(rule.jitter_us * duplicate_delay) + rule.reorder_delay_us
    return (first,)


class Network:
    """The links between names: their rules, whether they are blocked, and the number of datagrams on each."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.rule = PERFECT_LINK  # for links without a rule of their own
        self.rules: dict[Link, LinkRule] = {}
        self.blocked_links: set[Link] = set()
        self.ordinals: Counter[Link] = Counter()
        self.counts: Counter[str] = Counter()  # datagrams by outcome; `cut`: on a blocked link, `twice`: duplicated
        self.listeners: list[Callable[[], None]] = []  # called when links are blocked or unblocked

    def next_datagram(self, source: str, target: str) -> tuple[int, ...]:
        """Decide on the next datagram of a link; returns the delay in microseconds of each copy that arrives."""
        link = source, target
        ordinal = self.ordinals[link]
        self.ordinals[link] += 1
        if link in self.blocked_links:
            self.counts["cut"] += 1
            return ()
        delays_us = arrival_delays_us(self.rules.get(link, self.rule), draws(self.seed, link, ordinal))
        self.counts["lost" if not delays_us else "twice" if len(delays_us) > 1 else "carried"] += 1
        return delays_us

    def next_segment(self, source: str, target: str) -> int | None:
        """Decide on the next stream segment of a link; returns its delay in microseconds, None if it is blocked."""
        link = source, target
        if link in self.blocked_links:
            return None
        ordinal = self.ordinals[link]
        self.ordinals[link] += 1
        rule = self.rules.get(link, self.rule)
        drawn = draws(self.seed, link, ordinal)
        delays_us = arrival_delays_us(rule, drawn)  # a lost segment is retransmitted, so it arrives late
        return delays_us[0] if delays_us else RETRANSMIT_US + rule.delay_us + int(rule.jitter_us * drawn[3])

    def set_rule(self, rule: LinkRule, links: Iterable[Link] | None = None) -> None:
        """Set the rule of some links, or of all links without a rule of their own if `links` is None."""
        if links is None:
            self.rule = rule
        else:
            self.rules.update(dict.fromkeys(links, rule))

    def block(self, sources: Collection[str], targets: Collection[str], both: bool = True) -> None:
        """Block the links from sources to targets, and with `both` also those in the other direction."""
        self.blocked_links |= {(source, target) for source in sources for target in targets if source != target}
        if both:
            self.blocked_links |= {(target, source) for source in sources for target in targets if source != target}
        self._notify()

    def partition(self, *sides: Collection[str]) -> None:
        """Block all links between the sides; links within a side stay as they are."""
        for index, side in enumerate(sides):
            for other_side in sides[index + 1 :]:
                self.block(set(side), set(other_side))

    def partition_zones(self, zones: Mapping[str, str], *apart: str) -> None:
        """Partition the zones `apart` from each other and from the rest; `zones` has the zone of each name."""
        sides = {zone: {name for name, zone_of_name in zones.items() if zone_of_name == zone} for zone in apart}
        self.partition({name for name, zone_of_name in zones.items() if zone_of_name not in sides}, *sides.values())

    def heal(self, sources: Collection[str] | None = None, targets: Collection[str] | None = None) -> None:
        """Unblock all links, or only those between sources and targets in both directions."""
        if sources is None or targets is None:
            self.blocked_links.clear()
        else:
            self.blocked_links -= {
                link for source in sources for target in targets for link in ((source, target), (target, source))
            }
        self._notify()

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()
