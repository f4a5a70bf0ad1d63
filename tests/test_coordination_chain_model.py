"""Chain replication: an exhaustive search at a small size, a partial one at larger ones."""

from __future__ import annotations

import pytest

from hophinge.coordination.registers import Change
from tests.chain_model import KEY, ChainModel, search

SEARCHED_STATES = 4_000  # of each larger model


def _change(base: int, version: int) -> Change:
    return Change(KEY, base, version, b"%d" % version, b"%d" % version)


ONE = (_change(0, 1),)
RIVALS = (_change(0, 1), _change(0, 2))
SUCCESSIVE = (_change(0, 1), _change(1, 2))


def test_one_change_with_a_view_change_and_a_lost_disk_in_any_order() -> None:
    assert search(ChainModel(ONE, views=2, wipes=1, reads=0), 1 << 20) == 9_781


@pytest.mark.parametrize(
    "model",
    [
        ChainModel(ONE, views=2, wipes=0, reads=1),
        ChainModel(RIVALS, views=2, wipes=0, reads=0),
        ChainModel(ONE, views=3, wipes=1, reads=0),
        ChainModel(SUCCESSIVE, views=2, wipes=1, reads=0),
        ChainModel(RIVALS, views=3, wipes=1, reads=1),
    ],
)
def test_larger_models_keep_acknowledged_changes_in_the_states_searched(model: ChainModel) -> None:
    assert search(model, SEARCHED_STATES) >= SEARCHED_STATES


@pytest.mark.parametrize(
    "model",
    [
        ChainModel(SUCCESSIVE, views=1, wipes=0, reads=0, is_pipelined=True),
        ChainModel(SUCCESSIVE, views=2, wipes=1, reads=0, is_pipelined=True),
        ChainModel((*SUCCESSIVE, _change(1, 3)), views=2, wipes=0, reads=0, is_pipelined=True),
    ],
)
def test_a_rejected_change_is_never_applied_though_its_base_is_applied_later(model: ChainModel) -> None:
    """A caller was told 412, and a later copy of the change was in force (review/4)."""
    assert search(model, SEARCHED_STATES) >= SEARCHED_STATES
