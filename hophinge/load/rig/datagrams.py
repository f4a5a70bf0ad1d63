"""What becomes of the nth datagram of a link: decided from a seed, without I/O, so that it can be told again.

The lots of a datagram depend on the seed, its link and its ordinal alone, not on the rules in force nor on what other
links carry. A rule only says from where on a lot is a loss; a cut takes all, and counts on.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from hashlib import blake2b

from msgspec import Struct

STRANGER = "?"  # whoever sends from an address that is no member's
SAME = 1 << 64  # a lot is one of so many
LOTS = 5  # of a datagram: lost, twice, late, its delay, its double's delay
RETRANSMIT_US = 200_000  # what a lost segment costs a stream: the least time after which a kernel sends it again

Link = tuple[str, str]


class Rule(Struct, frozen=True):
    """What a link does to what it carries; shares are of all datagrams, times in microseconds."""

    loss: float = 0.0
    twice: float = 0.0
    late: float = 0.0  # held back for `late_us`, so that those after it overtake it
    delay_us: int = 0
    spread_us: int = 0  # on top of the delay, uniformly
    late_us: int = 30_000

    def __post_init__(self) -> None:
        """Check ranges."""
        if any(not 0.0 <= share <= 1.0 for share in (self.loss, self.twice, self.late)):
            raise ValueError("loss, twice and late are shares from 0 to 1")
        if any(not 0 <= span <= 60_000_000 for span in (self.delay_us, self.spread_us, self.late_us)):
            raise ValueError("delay_us, spread_us and late_us are from 0 to 60000000")


CLEAR = Rule()


def lots(seed: int, link: Link, ordinal: int) -> tuple[float, ...]:
    """Draw the lots of a datagram, each from 0 to below 1."""
    source, target = link
    drawn = blake2b(f"{seed}\0{source}\0{target}\0{ordinal}".encode(), digest_size=8 * LOTS).digest()
    return tuple(int.from_bytes(drawn[at : at + 8], "big") / SAME for at in range(0, 8 * LOTS, 8))


def fate(rule: Rule, drawn: tuple[float, ...]) -> tuple[int, ...]:
    """Tell after how many microseconds a datagram comes, once for each copy; none: it is lost."""
    lost, twice, late, delay, again = drawn
    if lost < rule.loss:
        return ()
    first = rule.delay_us + int(rule.spread_us * delay) + (rule.late_us if late < rule.late else 0)
    if twice < rule.twice:
        return first, rule.delay_us + int(rule.spread_us * again) + rule.late_us
    return (first,)


class Network:
    """The links between names: their rules, what is cut, and how many each has carried."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.rule = CLEAR  # of links that have none of their own
        self.rules: dict[Link, Rule] = {}
        self.cuts: set[Link] = set()
        self.ordinals: Counter[Link] = Counter()
        self.figures: Counter[str] = Counter()  # carried, lost, cut, twice
        self.changed: list[Callable[[], None]] = []

    def fate(self, source: str, target: str) -> tuple[int, ...]:
        """Decide on the link's next datagram."""
        link = source, target
        ordinal = self.ordinals[link]
        self.ordinals[link] += 1
        if link in self.cuts:
            self.figures["cut"] += 1
            return ()
        found = fate(self.rules.get(link, self.rule), lots(self.seed, link, ordinal))
        self.figures["lost" if not found else "twice" if len(found) > 1 else "carried"] += 1
        return found

    def stream(self, source: str, target: str) -> int | None:
        """Decide on the link's next segment of a stream: after how many microseconds it comes; None: it is held."""
        link = source, target
        if link in self.cuts:
            return None
        ordinal = self.ordinals[link]
        self.ordinals[link] += 1
        rule = self.rules.get(link, self.rule)
        drawn = lots(self.seed, link, ordinal)
        found = fate(rule, drawn)  # nothing of a stream is lost, doubled or overtaken: it is sent again, and late
        return found[0] if found else RETRANSMIT_US + rule.delay_us + int(rule.spread_us * drawn[3])

    def set(self, rule: Rule, links: Iterable[Link] | None = None) -> None:
        """Give links a rule, or all that have none of their own."""
        if links is None:
            self.rule = rule
        else:
            self.rules.update(dict.fromkeys(links, rule))

    def cut(self, sources: Collection[str], targets: Collection[str], both: bool = True) -> None:
        """Cut the way from sources to targets, and back where `both`."""
        self.cuts |= {(one, other) for one in sources for other in targets if one != other}
        if both:
            self.cuts |= {(other, one) for one in sources for other in targets if one != other}
        self._tell()

    def split(self, *sides: Collection[str]) -> None:
        """Cut all ways between sides; within a side nothing changes."""
        for at, side in enumerate(sides):
            for other in sides[at + 1 :]:
                self.cut(set(side), set(other))

    def split_zones(self, zones: Mapping[str, str], *apart: str) -> None:
        """Cut zones off from the others; `zones` tells each name's."""
        sides = {zone: {name for name, where in zones.items() if where == zone} for zone in apart}
        self.split({name for name, where in zones.items() if where not in sides}, *sides.values())

    def heal(self, sources: Collection[str] | None = None, targets: Collection[str] | None = None) -> None:
        """Undo cuts: all, or those between sources and targets either way."""
        if sources is None or targets is None:
            self.cuts.clear()
        else:
            self.cuts -= {link for one in sources for other in targets for link in ((one, other), (other, one))}
        self._tell()

    def _tell(self) -> None:
        for hear in self.changed:
            hear()
