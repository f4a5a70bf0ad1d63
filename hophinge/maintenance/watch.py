"""What is seen of a wave while it runs, and what in it is trouble."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct

from hophinge.maintenance.permits import Permit, State
from hophinge.routing.bounds import Release

MIN_TAKEN = 50  # requests before a share of failures tells anything
AWAY_US = 10_000_000  # without a stream before a head is lost: a service that starts has all back within five seconds
SURE = 3.0  # standard errors by which a share has to be over what is allowed


class HeadView(Struct, frozen=True):
    """One head as a release sees it."""

    connected: bool
    ready: bool
    build: str
    process: int
    permit: Permit | None
    taken: float
    failed: float
    known: bool = True  # False: it will tell what it runs and has not yet


class Watch(Struct):
    """One wave; a coordinator that starts sees it anew, which only makes it wait longer."""

    place: tuple[str, int, int]  # release, wave, again
    base: dict[str, tuple[int, float, float]] = {}  # process, taken and failed of each head when it began
    begun: dict[str, int] = {}
    away: dict[str, int] = {}
    quiet_since: int = 0

    @classmethod
    def began(cls, place: tuple[str, int, int], heads: Mapping[str, HeadView]) -> Watch:
        """Begin to watch a wave."""
        return cls(place, {name: (one.process, one.taken, one.failed) for name, one in heads.items()})

    def trouble(
        self,
        now_us: int,
        build: str,
        touched: Collection[str],
        form: Release,
        wave: Mapping[str, HeadView],
        heads: Mapping[str, HeadView],
    ) -> str:
        """Tell why the release must not go on, or nothing; `touched` are heads that it has wanted out."""
        for name, one in wave.items():
            if one.connected or one.permit is not None or name not in touched:
                self.away.pop(name, None)
            elif now_us - self.away.setdefault(name, now_us) > AWAY_US:
                return f"{name} was lost while no permit let it go"
            if one.permit is not None and one.permit.state in (State.BEGUN, State.OUT, State.BACK):
                since = self.begun.setdefault(name, now_us)
                if now_us - since > form.patience_us:
                    return f"{name} is not back after {form.patience_us / 1e6:g} s (permit {one.permit.id})"
            else:
                self.begun.pop(name, None)
        there = {name: one for name, one in wave.items() if one.build == build}
        taken, failed = self.counted((name, one) for name, one in heads.items() if name not in there)
        if not taken:  # all are in the wave: what was usual before it has to do
            taken, failed = (sum(row[at] for row in self.base.values()) for at in (1, 2))
        allowed = (failed / taken if taken else 0.0) + form.refused
        for told, names in [
            (f"the wave's {len(there)} heads", sorted(there)),
            *((name, [name]) for name in sorted(there)),
        ]:
            taken, failed = self.counted((name, there[name]) for name in names)
            error = math.sqrt(max(allowed * (1 - allowed), 1e-4) / taken) if taken else 0.0
            if taken >= MIN_TAKEN and failed / taken > allowed + SURE * error:
                return (
                    f"{told}: {failed:g} of {taken:g} requests were refused or failed; "
                    f"{100 * allowed:.1f} % may, {100 * form.refused:g} % more than elsewhere"
                )
        return ""

    def counted(self, views: Iterable[tuple[str, HeadView]]) -> tuple[float, float]:
        """Sum what was taken and failed since the wave began, or since a process that began later did."""
        taken = failed = 0.0
        for name, one in views:
            process, was_taken, was_failed = self.base.get(name, (0, 0.0, 0.0))
            same = process == one.process and was_taken <= one.taken
            taken += one.taken - (was_taken if same else 0.0)
            failed += one.failed - (was_failed if same else 0.0)
        return taken, failed
