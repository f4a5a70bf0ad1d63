"""The days of a hunt that deserve a review although no rule was broken, as after a collapse of the earned worth.

Reads the entries of hunts that the operators' bench writes into `journal/`. Worth is a fraction of the offered worth.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from statistics import median
from typing import Any

MAX_DEVIATIONS_BELOW = 6.0  # median absolute deviations below the median of a hunt's days
MAX_FREE_REJECTION_COST = 0.01  # of the offered worth, for rejections while instances were free
FREE_REJECTION_NAME = "worth refused with servers free"


class ReviewReason(Enum):
    """Why a day deserves a review."""

    BROKEN = "a rule was broken, or the play failed"
    LOW = "far less was served than on the others"
    REJECTED = "much was refused while instances were free"


@dataclass(frozen=True, slots=True)
class HuntDay:
    """One simulated day."""

    name: str  # with its seed
    served: float
    score: float
    free_rejection_cost: float  # of rejections while instances were free
    order_count: int  # to instances
    is_broken: bool


@dataclass(frozen=True, slots=True)
class Hunt:
    """A finished hunt."""

    site: str
    commit: str  # abbreviated
    days: tuple[HuntDay, ...]


def read_hunt(text: str) -> Hunt | None:
    """Parse an entry of the journal; None where it is no finished hunt.

    Raises:
        KeyError: a day lacks a value.

    """
    raw = json.loads(text)
    if not isinstance(raw, dict) or raw.get("cmd") != "hunt" or not raw.get("site"):
        return None
    return Hunt(raw["site"], raw["head"][:7], tuple(_day(day) for day in raw["days"]))


# Any: an entry of the journal as JSON, whose values are checked as they are read.
def _day(raw: dict[str, Any]) -> HuntDay:
    is_broken = bool(raw["rules"]) or bool(raw["fault"])
    prices = {name: (amount, price) for name, amount, price in raw.get("prices") or ()}
    _, free_rejection_cost = prices.get(FREE_REJECTION_NAME, (0.0, 0.0))
    orders, _ = prices.get("orders", (0.0, 0.0))
    return HuntDay(
        raw["name"], raw.get("served") or 0.0, raw.get("score") or 0.0, free_rejection_cost, int(orders), is_broken
    )


def days_to_review(days: Sequence[HuntDay]) -> list[tuple[HuntDay, ReviewReason]]:
    """Return the days of one hunt that deserve a review, each with the first reason that holds."""
    if not days:
        return []
    median_served = median(day.served for day in days)
    deviation = median(abs(day.served - median_served) for day in days)
    selected: list[tuple[HuntDay, ReviewReason]] = []
    for day in days:
        if day.is_broken:
            selected.append((day, ReviewReason.BROKEN))
        elif day.served < median_served - MAX_DEVIATIONS_BELOW * deviation:
            selected.append((day, ReviewReason.LOW))
        elif day.free_rejection_cost > MAX_FREE_REJECTION_COST:
            selected.append((day, ReviewReason.REJECTED))
    return selected
