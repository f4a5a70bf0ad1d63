"""Isolated members and long partitions in virtual time, with the documented times."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from hophinge.cluster.entry_store import EntryStore, EntryStream
from hophinge.cluster.member_table import MemberTable, bucket_of
from hophinge.cluster.messages import MemberRecord, StreamItem
from hophinge.cluster.tuning import Limits
from tests import cluster_partitions as cuts


@pytest.mark.parametrize("count", [2, 12, 40])
def test_a_sole_survivor_declares_all_others_dead_within_the_documented_time(count: int) -> None:
    cuts.sole_survivor_detects_all_deaths(count)


def test_a_sole_survivor_keeps_to_its_byte_limit() -> None:
    cuts.sole_survivor_detects_all_deaths(40, bytes_s=5_000)


@pytest.mark.parametrize(("cut_s", "one_way"), [(14.0, False), (24.0, False), (16.0, True)])
def test_an_isolated_member_spreads_no_suspicion_based_on_silence(cut_s: float, one_way: bool) -> None:
    cuts.isolated_member_spreads_no_suspicion(cut_s, one_way)


@pytest.mark.parametrize(("sides", "loss"), [((1, 1), 0), ((3, 3), 0), ((1, 9), 0.3), ((10, 10), 0.3)])
def test_a_partition_longer_than_the_retention_of_dead_members_heals_without_seeds(
    sides: tuple[int, int], loss: float
) -> None:
    cuts.long_partition_heals(sides, loss)


def test_one_forgotten_member_is_contacted_each_round_and_none_that_left() -> None:
    cuts.forgotten_members_are_contacted_rarely()


@pytest.mark.parametrize(
    "scenario",
    [cuts.incarnation_never_decreases, cuts.stale_member_revives_nobody],
    ids=lambda scenario: scenario.__name__,
)
def test_it_holds(scenario: Callable[[], None]) -> None:
    scenario()


def test_equal_changes_of_two_members_do_not_cancel_out_in_the_fingerprint() -> None:
    """Members of one bucket whose incarnations, and entries whose values, changed by the same step."""
    names = [name for name in (f"n{number:04}" for number in range(400)) if bucket_of(name) == 3][:2]

    def marks(refuted: int, value: bytes) -> tuple[list[int], int]:
        held = MemberTable(MemberRecord("me", "me:1", 7), 10, 0, lambda name: b"", lambda name: None)
        shelf = EntryStore("me", 7, Limits(), lambda name: None, lambda entry, gone: None, lambda name: None)
        for at, name in enumerate(names):
            held.update(MemberRecord(name, f"{name}:1", (10_000_000 << 18) + refuted), 0)
            shelf.streams.setdefault("o", {0: EntryStream(7)})
            shelf.store("o", shelf.streams["o"][0], StreamItem(at + 1, name, value), 0)
        return held.buckets, shelf.streams["o"][0].fingerprint

    before, after = marks(0, b"0"), marks(1, b"1")
    assert len(names) == 2 and before[0] != after[0] and before[1] != after[1]
