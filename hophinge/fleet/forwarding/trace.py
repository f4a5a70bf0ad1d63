"""What became of one request: its attempts with what was reckoned for each, its first event, its end.

Times are seconds on the head's clock, from the request's arrival where nothing else is said.
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
    units: float  # tokens to read that are not believed to be kept there
    forecast: Forecast
    over_s: float | None = None
    ending: str = ""


@dataclass(slots=True)
class RequestTrace:
    """One request of a client."""

    route: str
    arrived: float  # on the head's clock
    aim_s: float
    attempts: list[Attempt] = field(default_factory=list)
    first_s: float | None = None  # its first event, or its whole answer
    over_s: float | None = None
    ending: str = ""
    refusal: str = ""  # why no further attempt was made, where the request was given up

    def sent(self, now: float, stage: str, instance: str, units: float, forecast: Forecast) -> None:
        """An attempt is sent."""
        self.attempts.append(Attempt(stage, instance, now - self.arrived, units, forecast))

    def began(self, now: float) -> None:
        """Some of the answer has come."""
        if self.first_s is None:
            self.first_s = now - self.arrived

    def attempt_ended(self, now: float, ending: str) -> None:
        """The newest attempt is over."""
        attempt = self.attempts[-1]
        attempt.over_s, attempt.ending = now - self.arrived, ending

    def ended(self, now: float, ending: str) -> None:
        """The request is over."""
        self.over_s, self.ending = now - self.arrived, ending
