"""Traces of demand by shapes known from the literature, seeded: what an object is asked for in each span, by site.

Popularity over objects is Zipf's; over an object's life it falls exponentially (news) or by a power law (videos), stays
(catalogue), waves by the hour, rises within minutes (flash crowd), or comes back (revival).
"""

from __future__ import annotations

import numpy as np
from numpy.typing import NDArray

SPANS_A_DAY = 48
SHAPES = ("steady", "exponential", "power law", "daily wave", "flash crowd", "revival")
Rates = NDArray[np.float64]


def wave(spans: int, depth: float, shift: float = 0.0) -> Rates:
    """Tell a day's wave around 1."""
    result: Rates = 1 + depth * np.sin(2 * np.pi * (np.arange(spans) / SPANS_A_DAY + shift))
    return result


def life(shape: str, age: Rates, lots: np.random.Generator, pace: float) -> Rates:
    """Tell an object's rate by its age in spans, 1 at its height; nothing before it is there."""
    there = age >= 0
    age = np.maximum(age, 0)
    if shape == "exponential":
        rate = np.exp(-age / pace)
    elif shape == "power law":
        rate = (1 + age) ** -min(1.5, max(0.5, 8 / pace))
    elif shape == "flash crowd":
        begin, height = lots.uniform(10, 100), lots.uniform(20, 60)
        since = age - begin
        crowd = np.where(since >= 0, np.minimum(1.0, (since + 1) / 3) * np.exp(-np.maximum(0, since - 3) / pace), 0)
        rate = (1 + height * crowd) / (1 + height)
    elif shape == "revival":
        second = lots.uniform(30, 90)
        rate = np.exp(-age / pace) + np.where(age >= second, 0.8 * np.exp(-np.maximum(0, age - second) / pace), 0)
    else:
        rate = np.ones_like(age)
    result: Rates = np.where(there, rate, 0.0)
    return result


class Trace:
    """Rates and counts by site, span and object; sizes and publishers by object."""

    def __init__(
        self,
        seed: int,
        shapes: tuple[str, ...],
        objects: int,
        days: int,
        height: float,
        sites: int = 1,
        depth: float = 0.0,
        exponent: float = 0.9,
    ) -> None:
        lots = np.random.default_rng(seed)
        spans = days * SPANS_A_DAY
        self.publisher = lots.integers(0, 8, objects)
        pace = lots.uniform(3, 20, 8)  # a publisher's usual course
        kind = [shapes[at % len(shapes)] for at in range(8)]
        born = np.where(lots.random(objects) < 0.3, 0.0, lots.uniform(0, spans, objects))
        if set(shapes) <= {"steady", "daily wave"}:
            born[:] = 0
        weight = (1 + lots.permutation(objects)) ** -exponent
        self.rate = np.zeros((sites, spans, objects))
        for at in range(objects):
            own = kind[self.publisher[at]]
            for site in range(sites):
                # The publisher's own site comes first, others some spans later, each with its own liking.
                late = 0.0 if site == self.publisher[at] % sites else lots.uniform(1, 6)
                liking = lots.lognormal(0, 0.5) if sites > 1 else 1.0
                shape = life(
                    own,
                    np.floor(np.arange(spans) - born[at] - late),
                    lots,
                    pace[self.publisher[at]] * lots.lognormal(0, 0.2),
                )
                depth_here = 0.8 if own == "daily wave" else depth
                self.rate[site, :, at] = height * weight[at] * liking * shape * wave(spans, depth_here, site / sites)
        self.counts = lots.poisson(self.rate)
        self.sizes = np.clip(lots.lognormal(np.log(12_000), 1.0, objects), 500, 65_000).astype(int)
