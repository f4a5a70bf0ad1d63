"""Days of a hunt that deserve a review, from the entries that the bench writes."""

from __future__ import annotations

import json
from typing import Any

import pytest

from hophinge.fleet.analysis.hunts import ReviewReason, days_to_review, read_hunt


def _entry(*days: dict[str, Any], **changes: Any) -> str:
    usual: dict[str, Any] = {"rules": {}, "fault": None, "score": 0.9, "prices": [["orders", 2.0, 0.0001]]}
    rows = [{"name": f"mix --seed {number}", **usual, **day} for number, day in enumerate(days)]
    return json.dumps({"cmd": "hunt", "site": "a-site", "head": "0123456789", "days": rows, **changes})


USUAL = [{"served": served} for served in (0.85, 0.87, 0.88, 0.9, 0.91, 0.93)]


@pytest.mark.parametrize(
    ("day", "reason"),
    [
        ({"served": 0.30}, ReviewReason.LOW),
        ({"served": 0.75}, None),
        ({"served": 0.88, "prices": [["worth refused with servers free", 97.1, 0.031]]}, ReviewReason.REJECTED),
        ({"served": 0.88, "prices": [["worth refused with servers free", 3.1, 0.001]]}, None),
        ({"served": 0.88, "rules": {"LOST": 1}}, ReviewReason.BROKEN),
        ({"served": None, "score": None, "prices": None, "fault": "given up"}, ReviewReason.BROKEN),
    ],
)
def test_a_day_is_selected_by_what_distinguishes_it(day: dict[str, Any], reason: ReviewReason | None) -> None:
    hunt = read_hunt(_entry(*USUAL, day))
    assert hunt is not None
    assert (hunt.site, hunt.commit, hunt.days[0].order_count) == ("a-site", "0123456", 2)
    found = days_to_review(hunt.days)
    assert [(one.name, why) for one, why in found] == ([("mix --seed 6", reason)] if reason else [])


def test_entries_that_are_no_finished_hunt_are_skipped() -> None:
    assert read_hunt(_entry(cmd="score")) is None
    assert read_hunt(_entry(site=None)) is None
    assert read_hunt("[]") is None
    assert days_to_review(()) == []
