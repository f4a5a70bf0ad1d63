"""Checks that what callers of one register saw fits one order in which each call took effect at one moment.

The register changes by compare-and-set and no version is ever used twice, so its states form a row: each taken change
builds on the version before it. A call fits between two places of that row; calls that did not overlap may not be in
the other order. For such intervals pairs decide: a row of moments exists where no call needs an earlier state than one
that had ended before it began.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hophinge.coordination.registers import Change, Outcome

LAST = 1 << 30  # the place of an end that is open


@dataclass(frozen=True, slots=True)
class Call:
    """One call that was answered: a change, or a read where there is none; `version` is what the answer told."""

    asked: float
    answered: float
    change: Change | None
    outcome: Outcome
    version: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """The places between which a call took effect."""

    call: Call
    first: int
    last: int


def states(changes: Iterable[Change], known: Iterable[int]) -> dict[int, int]:
    """Tell the place of each version in the row of states; raises AssertionError where there is no row.

    Changes whose fate nobody told are taken where a known version builds on them.
    """
    base_of = {change.version: change.base for change in changes}
    newest = max(known, default=0)
    row = [newest]
    while row[-1] != 0:
        assert row[-1] in base_of, f"nobody sent version {row[-1]}"
        row.append(base_of[row[-1]])
    return {version: place for place, version in enumerate(reversed(row))}


def _bounds(call: Call, place: dict[int, int]) -> Bounds:
    told = call.change.version if call.change is not None and call.outcome is Outcome.APPLIED else call.version
    assert told in place, f"version {told} was told of and is in no row with the newest one"
    if call.outcome is Outcome.APPLIED:
        return Bounds(call, place[told], LAST)  # sent again, it may be answered when others have followed it
    return Bounds(call, place[told], place[told])


def check(calls: Iterable[Call], sent: Iterable[tuple[float, Change]]) -> int:
    """Check answered calls against all changes, with when each was sent; tells how many calls there were.

    Raises AssertionError where they fit no order.
    """
    answered, first_sent = list(calls), dict[int, float]()
    changes = []
    for asked, change in sorted(sent, key=lambda one: one[0]):
        changes.append(change)
        first_sent.setdefault(change.version, asked)
    taken = [call.change.version for call in answered if call.change is not None and call.outcome is Outcome.APPLIED]
    place = states(changes, [*taken, *(call.version for call in answered if call.outcome is not Outcome.APPLIED)])
    rows = [_bounds(call, place) for call in answered]
    begins = {place[version]: asked for version, asked in first_sent.items() if version in place}
    for row in rows:
        assert row.call.answered >= begins.get(row.first, 0.0), f"{row.call} tells of what was not yet sent"
    for before in rows:
        for after in rows:
            in_order = before.call.answered >= after.call.asked or before.first <= after.last
            assert in_order, f"{after.call} tells of less than {before.call}, which had been answered before"
    return len(rows)
