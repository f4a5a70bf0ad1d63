"""What is asked of placement, and what it answers: where an attempt goes, and what was reckoned of it."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.fleet.placement.pool import Placed


@dataclass(frozen=True, slots=True)
class Wish:
    """What is to be placed: a request's name, the instances it has failed at, and what it was promised."""

    now: float
    name: tuple[str, int]
    service: str
    avoid: set[str]
    aim_s: float
    aim_at: float  # when its answer is due
    gone_at: float = float("inf")  # when its client gives up, if nothing has come by then


@dataclass(frozen=True, slots=True)
class Forecast:
    """What was reckoned when an attempt was placed."""

    wait_us: float  # until the instance begins
    spent_us: float  # of the instance's time
    done_us: float  # from then on until the first token
    late: bool  # it could not be in time anywhere


@dataclass(frozen=True, slots=True)
class Hopeless:
    """No attempt could begin to be answered before the client gives up."""

    come_back_s: float  # when the client is told to come back


@dataclass(frozen=True, slots=True)
class Plan:
    """Where the next attempt of a request goes."""

    placed: Placed
    reads: bool  # only the prompt is read there
    priority: int  # at the instance: 0 first
    forecast: Forecast
