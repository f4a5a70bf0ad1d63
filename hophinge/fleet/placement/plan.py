"""The request to placement and its result: the reservation of an attempt, and the forecast for it."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.fleet.placement.pool import Reservation


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """An attempt that is to be placed; times are seconds on the head's clock."""

    now: float
    attempt_id: tuple[str, int]
    service: str
    excluded: set[str]  # instances at which the request has failed
    target_s: float
    target_at: float  # by when the first token should come
    client_deadline: float = float("inf")  # when its client gives up without a response


@dataclass(frozen=True, slots=True)
class Forecast:
    """The forecast for an attempt at its placement, in microseconds; its fields are names in the request log."""

    wait_us: float  # until the instance starts it
    spent_us: float  # service time of the instance
    done_us: float  # from the placement until the first token
    late: bool  # no instance could be in time


@dataclass(frozen=True, slots=True)
class PlacementRejection:
    """A request is rejected, as no attempt could start before its client gives up."""

    retry_after_s: float  # after which the client may retry


@dataclass(frozen=True, slots=True)
class PlacementPlan:
    """The placement of the next attempt of a request."""

    reservation: Reservation
    is_prefill_only: bool  # the tokens are decoded at another instance
    priority: int  # at the instance: 0 first
    forecast: Forecast
