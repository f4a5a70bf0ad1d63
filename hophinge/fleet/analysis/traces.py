"""Reads the traces of requests from the log of a trial's data planes.

Times are seconds; `at` is the simulated time that the bench puts before a line, at the end of its request.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

MARK = " INFO request "


@dataclass(frozen=True, slots=True)
class AttemptRow:
    """One call of an instance, as it was logged; times are from the request's arrival."""

    stage: str
    instance: str
    sent_s: float
    over_s: float | None
    units: float
    wait_s: float  # reckoned until the instance begins
    spent_s: float  # reckoned of the instance's time
    late: bool
    ending: str


@dataclass(frozen=True, slots=True)
class Request:
    """One request, as it was logged."""

    route: str
    zone: str
    at: float  # of its arrival
    aim_s: float
    tokens_in: int
    tokens_out: int
    parts: tuple[tuple[str, int], ...]
    attempts: tuple[AttemptRow, ...]
    first_s: float | None
    over_s: float
    ending: str

    @property
    def shared(self) -> tuple[tuple[str, int], ...]:
        """Tell the parts that other requests share."""
        return self.parts[:-1]


def read_requests(lines: Iterable[str]) -> list[Request]:
    """Read the traced requests among the lines of a log, in the order of their arrival."""
    found = []
    for line in lines:
        before, mark, text = line.partition(MARK)
        if mark:
            found.append(_request(float(before.split()[0]), json.loads(text)))
    return sorted(found, key=lambda request: request.at)


def _request(ended: float, raw: dict[str, object]) -> Request:
    over = _number(raw["over_s"])
    parts = raw.get("parts", [])
    attempts = raw["attempts"]
    assert isinstance(parts, list)
    assert isinstance(attempts, list)
    first = raw["first_s"]
    return Request(
        str(raw["route"]),
        str(raw["zone"]),
        ended - over,
        _number(raw["aim_s"]),
        int(_number(raw.get("tokens-in", 0))),
        int(_number(raw.get("tokens-out", 0))),
        tuple((str(name), int(tokens)) for name, tokens in parts),
        tuple(_attempt(one) for one in attempts),
        None if first is None else _number(first),
        over,
        str(raw["ending"]),
    )


def _attempt(raw: dict[str, object]) -> AttemptRow:
    forecast = raw["forecast"]
    assert isinstance(forecast, dict)
    over = raw["over_s"]
    return AttemptRow(
        str(raw["stage"]),
        str(raw["instance"]),
        _number(raw["sent_s"]),
        None if over is None else _number(over),
        _number(raw["units"]),
        _number(forecast["wait_us"]) / 1e6,
        _number(forecast["spent_us"]) / 1e6,
        bool(forecast["late"]),
        str(raw["ending"]),
    )


def _number(value: object) -> float:
    assert isinstance(value, int | float)
    return float(value)
