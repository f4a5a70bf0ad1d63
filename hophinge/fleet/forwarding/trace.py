"""The trace of one request: its attempts with their forecasts, its first event, its outcome.

Times are seconds on the head's clock, counted from the request's arrival unless noted otherwise. The fields' names are
the keys of the request log's JSON (`request_log.py`), which tools read.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hophinge.fleet.placement.plan import Forecast


@dataclass(slots=True)
class Attempt:
    """One call of an instance."""

    stage: str
    instance: str
    sent_s: float
    units: float  # prompt tokens that are not expected in the instance's cache
    forecast: Forecast
    over_s: float | None = None  # end of the attempt; None while it is in flight
    ending: str = ""


@dataclass(slots=True)
class RequestTrace:
    """One request of a client."""

    route: str
    arrived: float  # on the head's clock
    aim_s: float
    attempts: list[Attempt] = field(default_factory=list)
    first_s: float | None = None  # its first event, or its complete response
    over_s: float | None = None  # end of the request; None while it is open
    ending: str = ""
    refusal: str = ""  # why no further attempt was made, if the request was rejected

    def record_attempt(self, now: float, stage: str, instance: str, units: float, forecast: Forecast) -> None:
        """Record that an attempt is sent."""
        self.attempts.append(Attempt(stage, instance, now - self.arrived, units, forecast))

    def record_first_event(self, now: float) -> None:
        """Record that part of the response has arrived; only the first call counts."""
        if self.first_s is None:
            self.first_s = now - self.arrived

    def complete_attempt(self, now: float, outcome: str) -> None:
        """Record the end of the latest attempt."""
        attempt = self.attempts[-1]
        attempt.over_s = now - self.arrived
        attempt.ending = outcome

    def complete(self, now: float, outcome: str) -> None:
        """Record the end of the request."""
        self.over_s = now - self.arrived
        self.ending = outcome
