"""The agreement on a view, searched exhaustively at small sizes and in part at larger ones."""

from __future__ import annotations

import pytest

from tests.agreement_model import Found, Model, search


def test_no_order_of_messages_among_three_voters_decides_two_views() -> None:
    assert search(Model(3, 2), 1_000_000) == Found(14_337, 12_800)


def test_no_order_of_messages_among_two_voters_decides_two_views() -> None:
    assert search(Model(2, 2), 1_000_000) == Found(196, 96)


@pytest.mark.parametrize(("voters", "ballots"), [(4, 2), (3, 3)])
def test_a_part_of_a_larger_model_decides_one_view(voters: int, ballots: int) -> None:
    assert search(Model(voters, ballots), 20_000).decided > 0
