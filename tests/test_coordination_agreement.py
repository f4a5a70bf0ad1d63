"""Agreement on a view: an exhaustive search at small sizes, a partial one at larger ones."""

from __future__ import annotations

import pytest

from tests.agreement_model import SearchResult, AgreementModel, search


def test_three_voters_decide_at_most_one_view_in_any_order_of_messages() -> None:
    assert search(AgreementModel(3, 2), 1_000_000) == SearchResult(14_337, 12_800)


def test_two_voters_decide_at_most_one_view_in_any_order_of_messages() -> None:
    assert search(AgreementModel(2, 2), 1_000_000) == SearchResult(196, 96)


@pytest.mark.parametrize(("voters", "ballots"), [(4, 2), (3, 3)])
def test_larger_models_decide_at_most_one_view_in_the_states_searched(voters: int, ballots: int) -> None:
    assert search(AgreementModel(voters, ballots), 20_000).decided > 0
