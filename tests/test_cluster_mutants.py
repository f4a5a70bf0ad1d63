"""Each promise is held by a check that fails without what keeps it; other tests run the checks as they are."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from hophinge.cluster import core, machine, membership, roster, wire
from hophinge.cluster.budget import Budget
from hophinge.cluster.entries import Shelf
from hophinge.cluster.messages import DEAD, SUSPECT, Record
from tests import cluster_cuts as cuts
from tests import cluster_scenarios as scenarios
from tests import test_cluster_entries as entries
from tests import test_cluster_wire as datagrams


def no_refutation(self: membership.Membership, record: Record) -> None:
    """A process that is accused says nothing."""


def believed(self: membership.Membership, record: Record, source: str) -> None:
    """Another's word that a member is dead is taken without one's own look."""
    self._take(record)


def no_tombstones(self: Shelf, before_us: int) -> None:
    """Tombstones go, and nothing says that they were there."""
    for held in (stream for topics in self.streams.values() for stream in topics.values()):
        for key in list(held.since):
            del held.since[key]
            held.items.pop(key)


def unnoticed(self: machine.Cluster, now_us: int) -> None:
    """A process that stood still does not see it."""
    self.core.now_us = self.core.shelf.now_us = now_us


def no_rivals(self: membership.Membership, record: Record, source: str) -> None:
    """A newer word moves a member elsewhere, though it still answers where it was."""
    self._take(record)


def any_word(self: membership.Membership, record: Record, sender: str, source: str) -> None:
    """The last word counts, whatever its incarnation."""
    if record.name == self.core.roster.me:
        self.about_me(record)
    elif record.counts:
        self.core.put(record)
    else:
        self._verify(record, source)


def risen(
    self: membership.Membership,
    record: Record,
    sender: str,
    source: str,
    word: Callable[..., None] = membership.Membership.word,
) -> None:
    """Who is held dead is alive again on anybody's word."""
    held = self.core.roster.record(record.name)
    if held is not None and not held.counts and record.counts and record.incarnation == held.incarnation:
        self.core.put(record)
    else:
        word(self, record, sender, source)


def flowing_twice(self: Budget, now_us: int, now: Callable[..., None] = Budget.now) -> None:
    """What flows in comes in twice."""
    before = self.level
    now(self, now_us)
    self.level = min(float(self.most), self.level + max(0.0, self.level - before))


def talkative(self: core.Core, record: Record, put: Callable[..., bool] = core.Core.put) -> bool:
    """One that hears nobody tells its verdicts to everybody."""
    done = put(self, record)
    if self.alone:
        self.rumours.member(record)
    return done


MUTANTS: list[tuple[Any, str, Any, Callable[[], object]]] = [
    (membership.Membership, "word", any_word, cuts.incarnation_never_goes_back),
    (membership.Membership, "word", risen, cuts.stale_revives_nobody),
    (membership.Membership, "company", lambda self: None, lambda: cuts.cut_off_accuses_nobody(14.0)),
    (core.Core, "put", talkative, lambda: cuts.cut_off_accuses_nobody(16.0, True)),
    (core.Core, "alone", False, lambda: cuts.survivor_finds_out(12)),
    (roster.Roster, "lost", lambda self: [], lambda: cuts.long_cut_heals((3, 3))),
    (Budget, "now", flowing_twice, scenarios.bound_holds),
    (membership.Membership, "about_me", no_refutation, lambda: scenarios.accused_stays(SUSPECT)),
    (membership.Membership, "_verify", believed, lambda: scenarios.accused_stays(DEAD)),
    (membership.Membership, "_rival", no_rivals, scenarios.redirected_stays),
    (membership.Membership, "clash", lambda self, clash: "", scenarios.younger_steps_back),
    (membership, "HEARSAY_AHEAD", 2**60, scenarios.redirected_stays),
    (machine.Cluster, "_awake", unnoticed, scenarios.sleeper_accuses_nobody),
    (roster.Roster, "grave", lambda self, name: -1, scenarios.nobody_rises),
    (Shelf, "tidy", no_tombstones, scenarios.taken_back_stays),
    (Shelf, "overrule", lambda self, topic, high: None, scenarios.forged_are_overruled),
    (Shelf, "strike", lambda *_: None, entries.test_what_others_hold_falsely_is_gone_once_its_owner_has_overruled_it),
    (Budget, "room", lambda self, rank: 1_000_000, scenarios.bound_holds),
    (Budget, "spend", lambda self, size: None, scenarios.bound_holds),
    (wire.Opener, "_new", lambda *_: True, datagrams.test_nothing_is_taken_twice_and_what_overtakes_is),
    (wire, "_sealed", lambda key, rest: bytes(wire.SEAL), datagrams.test_two_keys_are_valid_at_a_time_and_no_third),
]


@pytest.mark.parametrize(
    ("where", "name", "mutant", "check"),
    MUTANTS,
    ids=[f"{name}{number}" for number, (_, name, _, _) in enumerate(MUTANTS)],
)
def test_without_it_its_check_fails(
    monkeypatch: pytest.MonkeyPatch, where: Any, name: str, mutant: Any, check: Callable[[], object]
) -> None:
    monkeypatch.setattr(where, name, mutant)
    with pytest.raises(Exception):  # noqa: B017 - an assertion, or what a broken invariant throws
        check()
