"""The input of placement and its result: a reservation with a forecast, or a rejection."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.fleet.placement.pool import Reservation


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """An attempt to place; times are seconds on the head's clock."""

    now: float
    attempt_id: tuple[str, int]
    service: str
    excluded: set[str]  # identities of instances at which the request has failed
    target_s: float  # the route's latency target
    target_at: float  # when the first token should arrive at the latest
    client_deadline: float = float("inf")  # when the client gives up if it has no response


@dataclass(frozen=True, slots=True)
class Forecast:
    """The forecast for an attempt at its placement, in microseconds; the request log contains the field names."""

    wait_us: float  # until the instance starts the job
    spent_us: float  # service time of the job at the instance
    done_us: float  # from the placement until the first token
    late: bool  # no instance could meet the target


@dataclass(frozen=True, slots=True)
class PlacementRejection:
    """The rejection of a request because its wait is too long for its client's timeout."""

    retry_after_s: float  # seconds after which the client may retry


@dataclass(frozen=True, slots=True)
class PlacementPlan:
    """The placement of the next attempt of a request."""

    reservation: Reservation
    is_prefill_only: bool  # another instance decodes the tokens
    priority: int  # in the instance's queue; 0 is the highest
    forecast: Forecast
