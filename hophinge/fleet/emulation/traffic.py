"""Random traffic: kinds of generations whose prompts share segments, at rates that may change."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import exp
from random import Random

from hophinge.fleet.placement.prompt import Prompt

SIZE_SIGMA = 0.6  # standard deviation of the logarithm of sizes
SUBJECT_SKEW = 1.4  # the first subjects are requested more often
MEAN_SIZE_FACTOR = exp(SIZE_SIGMA * SIZE_SIGMA / 2)


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request."""

    name: str
    shared_tokens: int  # mean, of the segments that a subject's requests share
    own_tokens: int
    tokens_out: int
    rate_per_s: float
    target_s: float
    deadline_s: float
    worth: float
    late_worth: float
    subjects: int  # different last shared segments


@dataclass(frozen=True, slots=True)
class Burst:
    """An interval in which the rate of one kind is higher."""

    kind: str
    since_s: float
    until_s: float
    rate_factor: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request."""

    at: float
    kind: RequestKind
    prompt: Prompt


@dataclass(frozen=True, slots=True)
class TrafficProfile:
    """The requests that clients send."""

    kinds: tuple[RequestKind, ...]
    bursts: tuple[Burst, ...] = ()

    def draw(self, random: Random, seconds: float) -> list[Arrival]:
        """Return random arrivals for a duration, in the order of their times."""
        arrivals: list[Arrival] = []
        for kind in self.kinds:
            arrivals += self._arrivals_of(kind, random, seconds)
        return sorted(arrivals, key=lambda arrival: arrival.at)

    def _rate(self, kind: RequestKind, moment: float) -> float:
        factors = [
            burst.rate_factor
            for burst in self.bursts
            if burst.kind == kind.name and burst.since_s <= moment < burst.until_s
        ]
        return kind.rate_per_s * max(factors, default=1.0)

    def _arrivals_of(self, kind: RequestKind, random: Random, seconds: float) -> Iterator[Arrival]:
        sizes = [_size(random, kind.shared_tokens) for _ in range(kind.subjects)]
        moment, number = random.expovariate(self._rate(kind, 0.0)), 0
        while moment < seconds:
            number += 1
            subject = int(kind.subjects * random.random() ** SUBJECT_SKEW)
            shared, own = sizes[subject], _size(random, kind.own_tokens)
            parts = ((f"{kind.name}-{subject}", shared), (f"{kind.name}-own-{number}", own))
            yield Arrival(moment, kind, Prompt(shared + own, kind.tokens_out, parts))
            moment += random.expovariate(self._rate(kind, moment))


def _size(random: Random, mean: int) -> int:
    return max(16, int(mean / MEAN_SIZE_FACTOR * random.lognormvariate(0.0, SIZE_SIGMA)))
