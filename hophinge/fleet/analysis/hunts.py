"""Which days of a hunt deserve a look though they broke no rule: a collapse of worth breaks none.

Reads what the operators' bench writes of a hunt into `journal/`. Worth is told as parts of the worth owed.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from statistics import median
from typing import Any

FAR_BELOW = 6.0  # median deviations under the median of a hunt's days
FREE_PRICE = 0.01  # of the worth owed, for refusals while instances were free
PRICE_OF_FREE = "worth refused with servers free"


class Reason(Enum):
    """Why a day deserves a look."""

    BROKEN = "a rule was broken, or the play failed"
    LOW = "far less was served than on the others"
    REFUSED = "much was refused while instances were free"


@dataclass(frozen=True, slots=True)
class HuntedDay:
    """One played day."""

    name: str  # with its seed
    served: float
    figure: float
    refused_free: float  # price of refusals while instances were free
    orders: int  # to instances
    broken: bool


@dataclass(frozen=True, slots=True)
class Hunt:
    """A hunt that came to its end."""

    site: str
    state: str  # the commit that was played
    days: tuple[HuntedDay, ...]


def read_hunt(text: str) -> Hunt | None:
    """Read an entry of the journal; None where it is no finished hunt.

    Raises KeyError where a day lacks its figures.
    """
    raw = json.loads(text)
    if not isinstance(raw, dict) or raw.get("cmd") != "hunt" or not raw.get("site"):
        return None
    return Hunt(raw["site"], raw["head"][:7], tuple(_day(one) for one in raw["days"]))


def _day(raw: dict[str, Any]) -> HuntedDay:
    broken = bool(raw["rules"]) or bool(raw["fault"])
    prices = {name: (amount, price) for name, amount, price in raw.get("prices") or ()}
    _, free = prices.get(PRICE_OF_FREE, (0.0, 0.0))
    orders, _ = prices.get("orders", (0.0, 0.0))
    return HuntedDay(raw["name"], raw.get("served") or 0.0, raw.get("score") or 0.0, free, int(orders), broken)


def conspicuous(days: Sequence[HuntedDay]) -> list[tuple[HuntedDay, Reason]]:
    """Tell the days of one hunt that deserve a look, each with the first reason that holds."""
    if not days:
        return []
    usual = median(day.served for day in days)
    deviation = median(abs(day.served - usual) for day in days)
    found: list[tuple[HuntedDay, Reason]] = []
    for day in days:
        if day.broken:
            found.append((day, Reason.BROKEN))
        elif day.served < usual - FAR_BELOW * deviation:
            found.append((day, Reason.LOW))
        elif day.refused_free > FREE_PRICE:
            found.append((day, Reason.REFUSED))
    return found
