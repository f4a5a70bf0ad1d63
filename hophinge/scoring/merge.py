"""How own weights and peers' words become the weights that are used, and what f liars among n peers can move.

n words on a brick, one of each peer that speaks at all (one that leaves a brick out says that it is neutral); a third
of them, g, is taken off at either end, and of the rest the mean is taken by trust. With f <= g liars each word that is
left lies between honest words, whatever trust says; with more the bound is `most_moved`.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from itertools import islice

from msgspec import Struct

from hophinge.scoring.interface import Weight

TRIM = 3  # of so many words one is taken off at either end
MIN_WORDS = 3  # fewer are filled up with neutral ones: one peer alone moves nothing
HEARSAY = 3.0  # own answers that all peers' words together count as much as
OWN_MAX = 8.0  # own answers that count at most: a brick may have failed since many good ones
MIN_ADDED = 0.05  # less than this peers add nothing: where bricks are idle the least time decides who is chosen
NEUTRAL = 1.0  # answers that the neutral weight counts as: who knows nothing assumes nothing
MIN_TRUST = 0.1  # part of full trust that a peer keeps: its word may still be the one honest one
FADE = 0.98  # part of former agreement that is left at each merge, once a second: half in 35 s
APART = 0.25  # weights further apart than this disagree; a brick both hold for better than it tells nothing
SURE = 5.0  # own answers from which one's own weight judges a peer's


def trimmed(number: int) -> int:
    """Tell how many words are taken off at either end."""
    return max(1, number // TRIM)


def hearsay(words: Sequence[tuple[float, float]]) -> float:
    """Tell what peers say together, from (weight, trust) of each."""
    kept = sorted(words) + [(0.0, 1.0)] * (MIN_WORDS - len(words))
    if len(words) < MIN_WORDS:
        kept.sort()
    cut = trimmed(len(kept))
    kept = kept[cut : len(kept) - cut]
    total = sum(trust for _, trust in kept)
    return sum(value * trust for value, trust in kept) / total


def combined(own: Weight | None, heard: float, peers_part: float) -> float:
    """Tell the weight to use; peers_part, from 0 to 1, is how much of the peers' word has not aged away.

    Peers can accuse, as far as one's own answers leave it open; they cannot praise: what a head has seen fail itself
    needs no one's leave, and without peers its own weights are used as they are.
    """
    evidence = min(own.evidence, OWN_MAX) if own is not None else 0.0
    value = own.value if own is not None else 0.0
    told = HEARSAY * peers_part
    weight = (evidence * value + told * heard) / (evidence + told + NEUTRAL)
    return weight if weight - value >= MIN_ADDED else value


def most_moved(liars: int, peers: int, evidence: float, liars_trust: float = 1.0, others: float = MIN_TRUST) -> float:
    """Tell by how much so many liars among so many peers raise the weight of a brick that is neutral to all others.

    Without trusts given it is the worst: liars trusted in full, all others hardly.
    """
    words = max(peers, MIN_WORDS)
    cut = trimmed(words)
    part = HEARSAY / (min(evidence, OWN_MAX) + HEARSAY + NEUTRAL)
    lies, honest = max(0, liars - cut), words - liars - cut
    most = part * lies * liars_trust / (lies * liars_trust + max(0, honest) * others) if lies else 0.0
    return most if most >= MIN_ADDED else 0.0


class Agreement(Struct):
    """How often a peer's words and one's own agreed, lately."""

    agreed: float = 0.0
    differed: float = 0.0

    @property
    def trust(self) -> float:
        """Tell a peer's trust: one that nothing is known of has half of it."""
        return max(MIN_TRUST, (self.agreed + 1.0) / (self.agreed + self.differed + 2.0))

    def compare(
        self, sure: Mapping[str, float], accused: Collection[str], said: Mapping[str, float], most: int = 1_000
    ) -> None:
        """Count where one of both accuses; bricks that are well to both would make any liar look honest.

        `sure` are own weights that rest on enough answers, `accused` those of them that are above APART; of a
        peer's words so many are looked at.
        """
        self.agreed *= FADE
        self.differed *= FADE
        for node, word in islice(said.items(), most):
            if (own := sure.get(node)) is not None and (word > APART or own > APART):
                if abs(word - own) > APART:
                    self.differed += 1.0
                else:
                    self.agreed += 1.0
        self.differed += sum(node not in said for node in accused)
