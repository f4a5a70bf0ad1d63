"""One who hears nobody, and cuts that outlast the list of the dead: in virtual time, with the times promised."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from hophinge.cluster.messages import StreamItem, MemberRecord
from hophinge.cluster.member_table import MemberTable, bucket_of
from hophinge.cluster.entry_store import EntryStore, EntryStream
from hophinge.cluster.tuning import Limits
from tests import cluster_cuts as cuts


@pytest.mark.parametrize("count", [2, 12, 40])
def test_a_sole_survivor_holds_all_others_dead_within_the_stated_time(count: int) -> None:
    cuts.survivor_finds_out(count)


def test_a_sole_survivor_keeps_its_bound_of_bytes() -> None:
    cuts.survivor_finds_out(40, bytes_s=5_000)


@pytest.mark.parametrize(("cut_s", "one_way"), [(14.0, False), (24.0, False), (16.0, True)])
def test_one_that_was_cut_off_tells_no_verdict_that_rests_on_silence_alone(cut_s: float, one_way: bool) -> None:
    cuts.cut_off_accuses_nobody(cut_s, one_way)


@pytest.mark.parametrize(("sides", "loss"), [((1, 1), 0), ((3, 3), 0), ((1, 9), 0.3), ((10, 10), 0.3)])
def test_a_cut_that_outlasts_the_list_of_the_dead_heals_without_seeds(sides: tuple[int, int], loss: float) -> None:
    cuts.long_cut_heals(sides, loss)


def test_the_forgotten_are_knocked_at_one_a_turn_and_not_those_that_left() -> None:
    cuts.knocks_are_few()


@pytest.mark.parametrize(
    "scenario", [cuts.incarnation_never_goes_back, cuts.stale_revives_nobody], ids=lambda scenario: scenario.__name__
)
def test_it_holds(scenario: Callable[[], None]) -> None:
    scenario()


def test_two_that_changed_alike_do_not_cancel_out_in_what_is_compared() -> None:
    """Members of one bucket whose incarnations, and entries whose values, went on by the same step."""
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
