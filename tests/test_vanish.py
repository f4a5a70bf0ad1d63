"""A brick that vanishes with related reads under way, and comes back cold before its list says so."""

from __future__ import annotations

from collections import Counter

from hophinge.core.interface import ListKind, NodeList, Result
from tests.gateways import MS, SETTINGS, T0, Gateway, ask, end, finals, node
from hophinge.core.interface import Action, Send

READS = 13  # that a program sends in a row for what lies together


def sent(actions: list[Action]) -> list[Send]:
    return [one for one in actions if isinstance(one, Send)]


def test_reads_of_a_backend_that_vanishes_have_their_one_answer_and_its_return_is_felt_out() -> None:
    gate = Gateway()
    names = [f"r{number}" for number in range(READS)]
    actions = gate.at(0, *(ask(name, units=1, key="near") for name in names))
    out = [one.request for one in sent(actions)]
    assert 1 <= len(out) < READS  # the rest is held, as what is out fills its bound
    for _ in range(220):
        actions += gate.at(10 * MS)
    # A brick that alone says nothing gets a trial now and then, two of the tightest aims after the last.
    assert len(sent(actions)) - len(out) <= 2_200 * MS // (2 * gate.scheduler.target_us)
    answered = Counter(one.request for one in finals(actions))  # type: ignore[union-attr]
    assert answered == Counter(names)
    for one in sent(actions):
        gate.at(0, end(one.request, Result.CANCELLED, took=2_200 * MS))

    # It is back, cold, and its list still tells the old start: one is tried, the rest waits for its answer.
    tried = sent(gate.at(0, *(ask(f"s{number}", units=1) for number in range(READS))))
    assert len(tried) == 1
    more = sent(gate.at(60 * MS, end(tried[0].request, Result.OK, took=60 * MS)))
    assert len(more) <= READS - 1

    # Now the list tells: from here on it gets this head's part of what the rule lets all heads send.
    started = gate.now - 500 * MS
    gate.at(0, NodeList(ListKind.CHANGES, (node(0, started_us=started),)))
    units = 0
    for number in range(40):
        units += sum(2 for _ in sent(gate.at(20 * MS, ask(f"t{number}", units=2))))
    assert units <= SETTINGS.rules.slow_start_units
    assert gate.now - T0 < SETTINGS.rules.slow_start_us
