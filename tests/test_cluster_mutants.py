"""Mutants of the cluster protocol: with each of them its check must fail; other tests run the checks unmutated."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from hophinge.cluster import core, datagram, member_table, membership, state_machine
from hophinge.cluster.entry_store import EntryStore
from hophinge.cluster.messages import DEAD, SUSPECT, MemberRecord
from hophinge.cluster.send_budget import SendBudget
from tests import cluster_partitions as cuts
from tests import cluster_scenarios as scenarios
from tests import test_cluster_datagram as datagrams
from tests import test_cluster_entries as entries


def no_refutation(self: membership.Membership, record: MemberRecord) -> None:
    """A suspected process does not refute."""


def accept_unverified(self: membership.Membership, record: MemberRecord, source: str) -> None:
    """A death that another member reports is accepted without a probe."""
    self._accept(record)


def no_tombstones(self: EntryStore, before_us: int) -> None:
    """Tombstones expire without raising the tombstone floor."""
    for stream in (stream for topics in self.streams.values() for stream in topics.values()):
        for key in list(stream.deleted_at_us):
            del stream.deleted_at_us[key]
            stream.items.pop(key)


def ignore_stall(self: state_machine.MemberStateMachine, now_us: int) -> None:
    """A process does not detect its own stall."""
    self.core.now_us = self.core.store.now_us = now_us


def no_rivals(self: membership.Membership, record: MemberRecord, source: str) -> None:
    """A newer record changes a member's address though it still acknowledges at the old one."""
    self._accept(record)


def ignore_incarnation(self: membership.Membership, record: MemberRecord, sender: str, source: str) -> None:
    """The last record wins, whatever its incarnation."""
    if record.name == self.core.members.own_name:
        self.refute(record)
    elif record.is_live:
        self.core.update_member(record)
    else:
        self._verify(record, source)


def revive_dead(
    self: membership.Membership,
    record: MemberRecord,
    sender: str,
    source: str,
    word: Callable[..., None] = membership.Membership.apply_record,
) -> None:
    """A dead member is revived by any record of it."""
    known = self.core.members.record(record.name)
    if known is not None and not known.is_live and record.is_live and record.incarnation == known.incarnation:
        self.core.update_member(record)
    else:
        word(self, record, sender, source)


def refill_twice(self: SendBudget, now_us: int, now: Callable[..., None] = SendBudget.refill) -> None:
    """The send budget is refilled twice."""
    before = self.available
    now(self, now_us)
    self.available = min(float(self.burst_bytes), self.available + max(0.0, self.available - before))


def gossip_while_isolated(
    self: core.Core, record: MemberRecord, put: Callable[..., bool] = core.Core.update_member
) -> bool:
    """An isolated member gossips its verdicts."""
    done = put(self, record)
    if self.is_isolated:
        self.gossip.add_member(record)
    return done


MUTANTS: list[tuple[Any, str, Any, Callable[[], object]]] = [
    (membership.Membership, "apply_record", ignore_incarnation, cuts.incarnation_never_decreases),
    (membership.Membership, "apply_record", revive_dead, cuts.stale_member_revives_nobody),
    (
        membership.Membership,
        "end_isolation",
        lambda self: None,
        lambda: cuts.isolated_member_spreads_no_suspicion(14.0),
    ),
    (core.Core, "update_member", gossip_while_isolated, lambda: cuts.isolated_member_spreads_no_suspicion(16.0, True)),
    (core.Core, "is_isolated", False, lambda: cuts.sole_survivor_detects_all_deaths(12)),
    (member_table.MemberTable, "lost_addresses", lambda self: [], lambda: cuts.long_partition_heals((3, 3))),
    (SendBudget, "refill", refill_twice, scenarios.byte_limit_holds),
    (membership.Membership, "refute", no_refutation, lambda: scenarios.falsely_suspected_member_stays(SUSPECT)),
    (membership.Membership, "_verify", accept_unverified, lambda: scenarios.falsely_suspected_member_stays(DEAD)),
    (membership.Membership, "_track_rival", no_rivals, scenarios.redirected_member_stays),
    (membership.Membership, "resolve_conflict", lambda self, clash: "", scenarios.younger_process_steps_down),
    (membership, "MAX_GOSSIP_AHEAD", 2**60, scenarios.redirected_member_stays),
    (state_machine.MemberStateMachine, "_advance_clock", ignore_stall, scenarios.stalled_member_suspects_nobody),
    (
        member_table.MemberTable,
        "forgotten_incarnation",
        lambda self, name: -1,
        scenarios.forgotten_member_is_not_revived,
    ),
    (EntryStore, "expire_tombstones", no_tombstones, scenarios.deleted_entry_stays_deleted),
    (EntryStore, "supersede", lambda self, topic, high: None, scenarios.forged_entries_are_superseded),
    (
        EntryStore,
        "remove",
        lambda *_: None,
        entries.test_forged_entries_are_removed_once_the_owner_supersedes_them,
    ),
    (SendBudget, "available_bytes", lambda self, rank: 1_000_000, scenarios.byte_limit_holds),
    (SendBudget, "consume", lambda self, size: None, scenarios.byte_limit_holds),
    (
        datagram.DatagramOpener,
        "_is_new",
        lambda *_: True,
        datagrams.test_a_duplicate_is_dropped_and_a_reordered_datagram_is_accepted,
    ),
    (
        datagram,
        "_seal_of",
        lambda key, rest: bytes(datagram.SEAL_BYTES),
        datagrams.test_two_keys_are_valid_at_a_time_but_not_three,
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
