"""Parses the traces of requests in the logs of a trial's heads.

Times are seconds; the simulated time that the bench writes before a log entry is that of the end of its request.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

from hophinge.fleet.placement.prompt import PromptSegment

REQUEST_MARKER = " INFO request "


@dataclass(frozen=True, slots=True)
class LoggedAttempt:
    """One call of an instance, as it was logged; times are from the request's arrival."""

    stage: str
    instance: str
    sent_s: float
    ended_s: float | None
    units: float
    wait_s: float  # forecast until the instance starts
    service_s: float  # forecast service time
    is_late: bool
    outcome: str


@dataclass(frozen=True, slots=True)
class LoggedRequest:
    """One request, as it was logged."""

    route: str
    zone: str
    arrived_at: float
    target_s: float
    tokens_in: int
    tokens_out: int
    segments: tuple[PromptSegment, ...]
    attempts: tuple[LoggedAttempt, ...]
    first_s: float | None
    ended_s: float
    outcome: str

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """The segments that other requests share."""
        return self.segments[:-1]


def read_requests(lines: Iterable[str]) -> list[LoggedRequest]:
    """Parse the traced requests among the lines of a log, in the order of their arrival."""
    requests = []
    for line in lines:
        before, mark, text = line.partition(REQUEST_MARKER)
        if mark:
            requests.append(_request(float(before.split()[0]), json.loads(text)))
    return sorted(requests, key=lambda request: request.arrived_at)


def _request(ended_at: float, raw: dict[str, object]) -> LoggedRequest:
    ended_s = _number(raw["over_s"])
    segments = raw.get("parts", [])
    attempts = raw["attempts"]
    assert isinstance(segments, list)
    assert isinstance(attempts, list)
    first = raw["first_s"]
    return LoggedRequest(
        str(raw["route"]),
        str(raw["zone"]),
        ended_at - ended_s,
        _number(raw["aim_s"]),
        int(_number(raw.get("tokens-in", 0))),
        int(_number(raw.get("tokens-out", 0))),
        tuple((str(name), int(tokens)) for name, tokens in segments),
        tuple(_attempt(attempt) for attempt in attempts),
        None if first is None else _number(first),
        ended_s,
        str(raw["ending"]),
    )


def _attempt(raw: dict[str, object]) -> LoggedAttempt:
    forecast = raw["forecast"]
    assert isinstance(forecast, dict)
    ended_s = raw["over_s"]
    return LoggedAttempt(
        str(raw["stage"]),
        str(raw["instance"]),
        _number(raw["sent_s"]),
        None if ended_s is None else _number(ended_s),
        _number(raw["units"]),
        _number(forecast["wait_us"]) / 1e6,
        _number(forecast["spent_us"]) / 1e6,
        bool(forecast["late"]),
        str(raw["ending"]),
    )


def _number(value: object) -> float:
    assert isinstance(value, int | float)
    return float(value)
