"""A linearizability check for one register: the calls fit an order in which each took effect at one moment.

The register changes by compare-and-set and no version is ever used twice, so its states form a sequence: each applied
change builds on the version before it. A call took effect between two positions of that sequence; calls that did not
overlap may not be in the other order. For such intervals comparing pairs is enough: an order exists where no call needs
an earlier state than one that had completed before it started.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hophinge.coordination.registers import Change, Outcome

UNBOUNDED = 1 << 30  # a position after all others


@dataclass(frozen=True, slots=True)
class Call:
    """One completed call: a change, or a read where there is none; `version` is that of the response."""

    started_at: float
    completed_at: float
    change: Change | None
    outcome: Outcome
    version: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """The positions between which a call took effect."""

    call: Call
    earliest: int
    latest: int


def positions_of_versions(changes: Iterable[Change], known: Iterable[int]) -> dict[int, int]:
    """Return the position of each version in the sequence of states.

    Changes of unknown outcome count as applied where a known version builds on them.

    Raises:
        AssertionError: the versions form no sequence.
    """
    base_of = {change.version: change.base for change in changes}
    newest = max(known, default=0)
    versions = [newest]
    while versions[-1] != 0:
        assert versions[-1] in base_of, f"version {versions[-1]} was never sent"
        versions.append(base_of[versions[-1]])
    return {version: position for position, version in enumerate(reversed(versions))}


def _bounds(call: Call, positions: dict[int, int]) -> Bounds:
    version = call.change.version if call.change is not None and call.outcome is Outcome.APPLIED else call.version
    assert version in positions, f"version {version} was returned and is in no sequence with the newest one"
    if call.outcome is Outcome.APPLIED:
        # A retried change may be answered after others have followed it.
        return Bounds(call, positions[version], UNBOUNDED)
    return Bounds(call, positions[version], positions[version])


def check(calls: Iterable[Call], sent: Iterable[tuple[float, Change]]) -> int:
    """Check completed calls against all changes that were sent, with their times, and return the number of calls.

    Raises:
        AssertionError: the calls are not linearizable.
    """
    completed = list(calls)
    first_sent: dict[int, float] = {}
    changes = []
    for sent_at, change in sorted(sent, key=lambda item: item[0]):
        changes.append(change)
        first_sent.setdefault(change.version, sent_at)
    applied = [call.change.version for call in completed if call.change is not None and call.outcome is Outcome.APPLIED]
    positions = positions_of_versions(
        changes, [*applied, *(call.version for call in completed if call.outcome is not Outcome.APPLIED)]
    )
    bounds = [_bounds(call, positions) for call in completed]
    first_sent_at_position = {
        positions[version]: sent_at for version, sent_at in first_sent.items() if version in positions
    }
    for bound in bounds:
        assert bound.call.completed_at >= first_sent_at_position.get(bound.earliest, 0.0), (
            f"{bound.call} returned what was not yet sent"
        )
    for before in bounds:
        for after in bounds:
            in_order = before.call.completed_at >= after.call.started_at or before.earliest <= after.latest
            assert in_order, f"{after.call} returned less than {before.call}, which had completed before"
    return len(bounds)
