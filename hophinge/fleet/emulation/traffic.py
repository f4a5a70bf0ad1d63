"""Drawn traffic: kinds of generations whose prompts share parts, at rates that may change."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import exp
from random import Random

from hophinge.fleet.placement.prompt import Prompt

SPREAD = 0.6  # of the logarithm of sizes about their middle
SKEW = 1.4  # of subjects: the first ones are asked for more often
MEAN_OF_SPREAD = exp(SPREAD * SPREAD / 2)


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request."""

    name: str
    shared_tokens: int  # on average, of the parts that a subject's requests share
    own_tokens: int
    tokens_out: int
    per_s: float
    aim_s: float
    deadline_s: float
    worth: float
    late_worth: float
    subjects: int  # last shared parts in use


@dataclass(frozen=True, slots=True)
class Burst:
    """A time in which one kind comes more often."""

    kind: str
    since_s: float
    until_s: float
    times: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request."""

    at: float
    kind: Kind
    prompt: Prompt


@dataclass(frozen=True, slots=True)
class TrafficProfile:
    """What clients send."""

    kinds: tuple[Kind, ...]
    bursts: tuple[Burst, ...] = ()

    def draw(self, random: Random, seconds: float) -> list[Arrival]:
        """Draw the arrivals of a time, in their order."""
        arrivals: list[Arrival] = []
        for kind in self.kinds:
            arrivals += self._of(kind, random, seconds)
        return sorted(arrivals, key=lambda arrival: arrival.at)

    def _rate(self, kind: Kind, moment: float) -> float:
        times = [
            burst.times for burst in self.bursts if burst.kind == kind.name and burst.since_s <= moment < burst.until_s
        ]
        return kind.per_s * max(times, default=1.0)

    def _of(self, kind: Kind, random: Random, seconds: float) -> Iterator[Arrival]:
        sizes = [_size(random, kind.shared_tokens) for _ in range(kind.subjects)]
        moment, number = random.expovariate(self._rate(kind, 0.0)), 0
        while moment < seconds:
            number += 1
            subject = int(kind.subjects * random.random() ** SKEW)
            shared, own = sizes[subject], _size(random, kind.own_tokens)
            parts = ((f"{kind.name}-{subject}", shared), (f"{kind.name}-own-{number}", own))
            yield Arrival(moment, kind, Prompt(shared + own, kind.tokens_out, parts))
            moment += random.expovariate(self._rate(kind, moment))


def _size(random: Random, mean: int) -> int:
    return max(16, int(mean / MEAN_OF_SPREAD * random.lognormvariate(0.0, SPREAD)))
