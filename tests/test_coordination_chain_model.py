"""The chain, through all orders of what may happen at a small size, and through a part of those at larger ones."""

from __future__ import annotations

import pytest

from hophinge.coordination.registers import Change
from tests.chain_model import KEY, ChainModel, search

PART = 4_000  # states of each larger model that are looked through here


def _change(base: int, version: int) -> Change:
    return Change(KEY, base, version, b"%d" % version, b"%d" % version)


ONE = (_change(0, 1),)
RIVALS = (_change(0, 1), _change(0, 2))
SUCCESSIVE = (_change(0, 1), _change(1, 2))


def test_one_change_a_change_of_view_and_a_lost_disk_in_all_orders() -> None:
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
def test_a_part_of_a_larger_model_keeps_what_was_told(model: ChainModel) -> None:
    assert search(model, PART) >= PART
