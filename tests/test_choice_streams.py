"""A long answer or body as the module sees it: whoever reads sets its pace."""

from __future__ import annotations

import pytest

from hophinge.core.interface import Outcome, Result, Send, StreamStarted
from tests.test_choice import MS, Gateway, ask, finals, node


@pytest.mark.parametrize("upward", [False, True])
def test_a_stream_leaves_its_node_s_book_and_its_end_ends_the_request(upward: bool) -> None:
    gate = Gateway(nodes=[node(0)])
    gate.at(0, ask("a"))
    gate.at(30 * MS, StreamStarted("a", 0, 20 * MS, upward))
    book = gate.scheduler.nodes["n0"]
    assert not book.reservations and not gate.scheduler.active_nodes and (book.served_units > 0) is not upward
    # What its client takes seconds over is no silence of the node, and no further attempt is made.
    assert not [one for one in gate.at(3000 * MS) if isinstance(one, Send)] and not book.is_unresponsive
    late = Outcome("a", 0, "n0", Result.RESET, 3000 * MS, not upward, 0, 0.0, {})
    assert len(finals(gate.at(3001 * MS, late))) == upward and not gate.scheduler.requests
