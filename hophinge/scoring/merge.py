"""Merges own weights with peers' reports, and bounds the influence of f Byzantine members among n peers.

There are n reports on a backend, one by each live peer (a peer that omits a backend reports it as neutral); g, a third
of them, is trimmed at either end, and the rest is averaged by trust. With f <= g Byzantine members each remaining
report lies between honest ones, whatever the trust; with more of them, `max_influence` is the bound.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from itertools import islice

from msgspec import Struct

from hophinge.scoring.interface import Weight

TRIM_DIVISOR = 3  # one report in this many is trimmed at either end
MIN_REPORTS = 3  # fewer are filled up with neutral ones: one peer alone has no influence
PEERS_EVIDENCE = 3.0  # the reports of all peers together count as this many own answers
MAX_OWN_EVIDENCE = 8.0  # own answers that count at most: a backend may have failed since
MIN_INCREASE = 0.05  # a smaller increase by peers is ignored: among idle backends the smallest added time decides
NEUTRAL_EVIDENCE = 1.0  # the neutral weight counts as this many answers
MIN_TRUST = 0.1  # a distrusted peer may still be the only honest one
AGREEMENT_DECAY = 0.98  # of earlier agreement at each merge, once a second: it halves in 35 s
MAX_AGREED_DIFFERENCE = 0.25  # weights that differ by more disagree; a backend below it for both proves nothing
MIN_JUDGING_EVIDENCE = 5.0  # own answers needed for judging a peer by an own weight


def trim_count(reports: int) -> int:
    """Return how many reports are trimmed at either end."""
    return max(1, reports // TRIM_DIVISOR)


def trimmed_mean(reports: Sequence[tuple[float, float]]) -> float:
    """Return the trimmed mean of peers' reports, each a weight and the peer's trust."""
    remaining = sorted(reports) + [(0.0, 1.0)] * (MIN_REPORTS - len(reports))
    if len(reports) < MIN_REPORTS:
        remaining.sort()
    trimmed = trim_count(len(remaining))
    remaining = remaining[trimmed : len(remaining) - trimmed]
    total_trust = sum(trust for _, trust in remaining)
    return sum(value * trust for value, trust in remaining) / total_trust


def combine(own: Weight | None, reported: float, freshness: float) -> float:
    """Return the weight to use; `freshness`, from 0 to 1, is the share of the peers' reports that has not expired.

    Peers can raise a weight, the less the more own answers there are, and cannot lower it: a head's own observations
    need no confirmation, and without peers its own weights are used unchanged.
    """
    evidence = min(own.evidence, MAX_OWN_EVIDENCE) if own is not None else 0.0
    value = own.value if own is not None else 0.0
    peers_evidence = PEERS_EVIDENCE * freshness
    weight = (evidence * value + peers_evidence * reported) / (evidence + peers_evidence + NEUTRAL_EVIDENCE)
    return weight if weight - value >= MIN_INCREASE else value


def max_influence(
    byzantine: int, peers: int, evidence: float, byzantine_trust: float = 1.0, honest_trust: float = MIN_TRUST
) -> float:
    """Return how far Byzantine members among peers can raise the weight of a backend that is neutral to all others.

    By default the worst case: Byzantine members have full trust, all others the least.
    """
    reports = max(peers, MIN_REPORTS)
    trimmed = trim_count(reports)
    share = PEERS_EVIDENCE / (min(evidence, MAX_OWN_EVIDENCE) + PEERS_EVIDENCE + NEUTRAL_EVIDENCE)
    lies, honest = max(0, byzantine - trimmed), reports - byzantine - trimmed
    increase = (
        share * lies * byzantine_trust / (lies * byzantine_trust + max(0, honest) * honest_trust) if lies else 0.0
    )
    return increase if increase >= MIN_INCREASE else 0.0


class Agreement(Struct):
    """How often the reports of a peer and own weights agreed recently."""

    agreed: float = 0.0
    differed: float = 0.0

    @property
    def trust(self) -> float:
        """The trust in a peer, from `MIN_TRUST` to 1; one half for an unknown peer."""
        return max(MIN_TRUST, (self.agreed + 1.0) / (self.agreed + self.differed + 2.0))

    def compare(
        self,
        own_weights: Mapping[str, float],
        accused: Collection[str],
        reported: Mapping[str, float],
        max_reports: int = 1_000,
    ) -> None:
        """Count backends that either side accuses; those that are healthy to both would make any peer look honest.

        Args:
            own_weights: Own weights that rest on enough answers.
            accused: The backends among them with weights above `MAX_AGREED_DIFFERENCE`.
            reported: The weights that the peer reports.
            max_reports: How many of these are compared.

        """
        self.agreed *= AGREEMENT_DECAY
        self.differed *= AGREEMENT_DECAY
        for node, weight in islice(reported.items(), max_reports):
            if (own := own_weights.get(node)) is not None and (
                weight > MAX_AGREED_DIFFERENCE or own > MAX_AGREED_DIFFERENCE
            ):
                if abs(weight - own) > MAX_AGREED_DIFFERENCE:
                    self.differed += 1.0
                else:
                    self.agreed += 1.0
        self.differed += sum(node not in reported for node in accused)
