"""Each promise is held by a check that fails without what keeps it; other tests run the checks as they are."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from hophinge.cluster import core, datagram, member_table, membership, state_machine
from hophinge.cluster.send_budget import SendBudget
from hophinge.cluster.entry_store import EntryStore
from hophinge.cluster.messages import DEAD, SUSPECT, MemberRecord
from tests import cluster_cuts as cuts
from tests import cluster_scenarios as scenarios
from tests import test_cluster_entries as entries
from tests import test_cluster_wire as datagrams


def no_refutation(self: membership.Membership, record: MemberRecord) -> None:
    """A process that is accused says nothing."""


def believed(self: membership.Membership, record: MemberRecord, source: str) -> None:
    """Another's word that a member is dead is taken without one's own look."""
    self._accept(record)


def no_tombstones(self: EntryStore, before_us: int) -> None:
    """Tombstones go, and nothing says that they were there."""
    for held in (stream for topics in self.streams.values() for stream in topics.values()):
        for key in list(held.deleted_at_us):
            del held.deleted_at_us[key]
            held.items.pop(key)


def unnoticed(self: state_machine.MemberStateMachine, now_us: int) -> None:
    """A process that stood still does not see it."""
    self.core.now_us = self.core.store.now_us = now_us


def no_rivals(self: membership.Membership, record: MemberRecord, source: str) -> None:
    """A newer word moves a member elsewhere, though it still answers where it was."""
    self._accept(record)


def any_word(self: membership.Membership, record: MemberRecord, sender: str, source: str) -> None:
    """The last word counts, whatever its incarnation."""
    if record.name == self.core.members.own_name:
        self.refute(record)
    elif record.is_live:
        self.core.update_member(record)
    else:
        self._verify(record, source)


def risen(
    self: membership.Membership,
    record: MemberRecord,
    sender: str,
    source: str,
    word: Callable[..., None] = membership.Membership.apply_record,
) -> None:
    """Who is held dead is alive again on anybody's word."""
    held = self.core.members.record(record.name)
    if held is not None and not held.is_live and record.is_live and record.incarnation == held.incarnation:
        self.core.update_member(record)
    else:
        word(self, record, sender, source)


def flowing_twice(self: SendBudget, now_us: int, now: Callable[..., None] = SendBudget.refill) -> None:
    """What flows in comes in twice."""
    before = self.available
    now(self, now_us)
    self.available = min(float(self.burst_bytes), self.available + max(0.0, self.available - before))


def talkative(self: core.Core, record: MemberRecord, put: Callable[..., bool] = core.Core.update_member) -> bool:
    """One that hears nobody tells its verdicts to everybody."""
    done = put(self, record)
    if self.is_isolated:
        self.gossip.add_member(record)
    return done


MUTANTS: list[tuple[Any, str, Any, Callable[[], object]]] = [
    (membership.Membership, "apply_record", any_word, cuts.incarnation_never_goes_back),
    (membership.Membership, "apply_record", risen, cuts.stale_revives_nobody),
    (membership.Membership, "end_isolation", lambda self: None, lambda: cuts.cut_off_accuses_nobody(14.0)),
    (core.Core, "update_member", talkative, lambda: cuts.cut_off_accuses_nobody(16.0, True)),
    (core.Core, "is_isolated", False, lambda: cuts.survivor_finds_out(12)),
    (member_table.MemberTable, "lost_addresses", lambda self: [], lambda: cuts.long_cut_heals((3, 3))),
    (SendBudget, "refill", flowing_twice, scenarios.bound_holds),
    (membership.Membership, "refute", no_refutation, lambda: scenarios.accused_stays(SUSPECT)),
    (membership.Membership, "_verify", believed, lambda: scenarios.accused_stays(DEAD)),
    (membership.Membership, "_track_rival", no_rivals, scenarios.redirected_stays),
    (membership.Membership, "resolve_conflict", lambda self, clash: "", scenarios.younger_steps_back),
    (membership, "MAX_GOSSIP_AHEAD", 2**60, scenarios.redirected_stays),
    (state_machine.MemberStateMachine, "_advance_clock", unnoticed, scenarios.sleeper_accuses_nobody),
    (member_table.MemberTable, "forgotten_incarnation", lambda self, name: -1, scenarios.nobody_rises),
    (EntryStore, "expire_tombstones", no_tombstones, scenarios.taken_back_stays),
    (EntryStore, "supersede", lambda self, topic, high: None, scenarios.forged_are_overruled),
    (
        EntryStore,
        "remove",
        lambda *_: None,
        entries.test_what_others_hold_falsely_is_gone_once_its_owner_has_overruled_it,
    ),
    (SendBudget, "available_bytes", lambda self, rank: 1_000_000, scenarios.bound_holds),
    (SendBudget, "consume", lambda self, size: None, scenarios.bound_holds),
    (datagram.DatagramOpener, "_is_new", lambda *_: True, datagrams.test_nothing_is_taken_twice_and_what_overtakes_is),
    (
        datagram,
        "_seal_of",
        lambda key, rest: bytes(datagram.SEAL_BYTES),
        datagrams.test_two_keys_are_valid_at_a_time_and_no_third,
    ),
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
