"""What is asked of placement, and what it answers: where an attempt goes, and what was reckoned of it."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.fleet.placement.pool import Reservation


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What is to be placed: a request's name, the instances it has failed at, and what it was promised."""

    now: float
    attempt_id: tuple[str, int]
    service: str
    excluded: set[str]
    target_s: float
    target_at: float  # when its answer is due
    client_deadline: float = float("inf")  # when its client gives up, if nothing has come by then


@dataclass(frozen=True, slots=True)
class Forecast:
    """What was reckoned when an attempt was placed."""

    wait_us: float  # until the instance begins
    spent_us: float  # of the instance's time
    done_us: float  # from then on until the first token
    late: bool  # it could not be in time anywhere


@dataclass(frozen=True, slots=True)
class PlacementRejection:
    """No attempt could begin to be answered before the client gives up."""

    retry_after_s: float  # when the client is told to come back


@dataclass(frozen=True, slots=True)
class PlacementPlan:
    """Where the next attempt of a request goes."""

    reservation: Reservation
    is_prefill_only: bool  # only the prompt is read there
    priority: int  # at the instance: 0 first
    forecast: Forecast
