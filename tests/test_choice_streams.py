"""Streamed answers and request bodies in the scheduler: the reader sets the pace, not the node."""

from __future__ import annotations

import pytest

from hophinge.core.interface import Outcome, Result, Send, StreamStarted
from tests.test_choice import MS, Gateway, ask, finals, node


@pytest.mark.parametrize("upward", [False, True])
def test_a_stream_releases_its_reservation_and_its_end_ends_the_request(upward: bool) -> None:
    gateway = Gateway(nodes=[node(0)])
    gateway.at(0, ask("a"))
    gateway.at(30 * MS, StreamStarted("a", 0, 20 * MS, upward))
    node_state = gateway.scheduler.nodes["n0"]
    assert (
        not node_state.reservations
        and not gateway.scheduler.active_nodes
        and (node_state.served_units > 0) is not upward
    )
    # A client that reads for seconds does not make the node unresponsive, and no other attempt is sent.
    assert not [one for one in gateway.at(3000 * MS) if isinstance(one, Send)] and not node_state.is_unresponsive
    late = Outcome("a", 0, "n0", Result.RESET, 3000 * MS, not upward, 0, 0.0, {})
    assert len(finals(gateway.at(3001 * MS, late))) == upward and not gateway.scheduler.requests
