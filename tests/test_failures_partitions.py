"""Failure scenarios: members cut off for long, and processors that stand still."""

from __future__ import annotations

import itertools
from functools import partial

import pytest

from hophinge.coordination.registers import Outcome
from tests.coordination_world import World, change
from tests.failure_scenarios import CONTACT_TIMEOUT_S, A, B, C, D, partition, form_group, is_applied

CUT_S = 20.0
FLAPS = 1  # changes of view that a heal may bring: the member comes back in


def _newest_view(world: World) -> int:
    views = [member.machine.view for member in world.members.values() if member.machine is not None]
    return max(view.number for view in views if view is not None)


def _ask_of_a_side(world: World, inside: set[str], outside: str, seconds: float) -> list[int]:
    """Changes on the majority's side, and both changes and reads on the other; tells the other's requests."""
    asked: list[int] = []
    until, version = world.now + seconds, itertools.count(2)
    newest, sent = 1, dict[int, int]()
    while world.now < until:
        number = next(version)
        sent[world.request(outside, change(newest, number, "kept"))] = number
        for address in sorted(inside):
            asked.append(world.request(address, None))
            asked.append(world.request(address, change(1, 1_000 + number, "lost")))
        world.run(1.0)
        taken = [
            sent[one] for one in sent if one in world.responses and world.responses[one].outcome is Outcome.APPLIED
        ]
        newest = max([newest, *taken])
    world.run(2.6)
    return asked


@pytest.mark.parametrize("one_way", [False, True])
@pytest.mark.parametrize("cut_off", [{A}, {B}, {C}, {"10.0.1.0:7660"}, {A, "10.0.1.0:7660"}, {C, "10.0.1.1:7660"}])
def test_a_side_partitioned_for_20_s_answers_nothing_and_recovers_soon(cut_off: set[str], one_way: bool) -> None:
    world = form_group(11, others=2)
    assert is_applied(world, B, change(0, 1, "first"))
    partition(world, cut_off, one_way)
    outside = next(address for address in (A, B, C) if address not in cut_off)
    asked = _ask_of_a_side(world, cut_off, outside, CUT_S)
    late = [one for one in asked if world.responses[one].outcome is not None]
    known = {world.responses[one].version for one in late}
    assert not late, f"the side that is cut off answered {known}"
    assert _newest_view(world) <= 3, "the rest forms one view without it"
    before = _newest_view(world)
    world.blocked.clear()
    world.run(CONTACT_TIMEOUT_S)
    answers = [world.read(address) for address in sorted(world.members)]
    versions = {answer.version for answer in answers if answer is not None}
    assert len(versions) == 1
    assert None not in answers
    assert min(versions) > 10, "the majority's side went on"
    world.run(10.0)
    assert _newest_view(world) - before <= FLAPS
    view = world.machine(outside).view
    assert view is not None
    kept = {link.identity for link in view.chain if link.joined_view == 1}
    expected = {world.machine(address).me.identity for address in (A, B, C) if address not in cut_off}
    assert kept == expected, "a member that was in touch lost its place"


@pytest.mark.parametrize("around_s", [-0.4, -0.2, -0.05, 0.0, 0.05, 0.2, 0.4])
@pytest.mark.parametrize("cut_off", [A, B, C])
def test_a_partition_around_a_view_change_loses_and_repeats_nothing(cut_off: str, around_s: float) -> None:
    """D comes into the group at about the moment at which another member is cut off, with changes at both sides."""
    world = form_group(12)
    assert is_applied(world, B, change(0, 1, "first"))
    world.add(D)
    while world.machine(D).view is None:
        world.run(0.01)
    if around_s < 0:
        world.run(0.6)  # the view that takes D in is some 0.6 s to 1 s off
    world.run(0.4 + around_s)
    partition(world, {cut_off})
    others = [address for address in (A, B, C, D) if address != cut_off]
    inside = world.request(cut_off, change(1, 2, "inside"))
    outside = world.request(others[0], change(1, 3, "outside"))
    world.run(CUT_S)
    both = [world.responses[one].outcome for one in (inside, outside)]
    assert both.count(Outcome.APPLIED) <= 1
    world.blocked.clear()
    world.run(CONTACT_TIMEOUT_S)
    answers = [world.read(address) for address in (A, B, C, D)]
    payloads = {answer.payload for answer in answers if answer is not None}
    assert None not in answers
    assert len(payloads) == 1
    if Outcome.APPLIED in both:
        assert payloads == {(b"2:inside", b"3:outside")[both.index(Outcome.APPLIED)]}


def test_a_partitioned_member_begins_no_ballot() -> None:
    world = form_group(14)
    partition(world, {C})
    world.run(1.5)
    promised = world.machine(C).acceptor.vote.promised
    world.run(CUT_S)
    assert world.machine(C).acceptor.vote.promised == promised


def test_a_partitioned_member_rejects_requests_at_once() -> None:
    world = form_group(13, others=1)
    partition(world, {C, "10.0.1.0:7660"})
    world.run(1.1)
    for address in (C, "10.0.1.0:7660"):
        request = world.request(address, None)
        world.run(0.01)
        assert world.responses[request].outcome is None


def test_a_processor_quota_counts_as_neither_loss_nor_failure() -> None:
    """Each machine runs for a tenth of the time: 10 ms, then nothing for 90 ms, each at moments of its own."""
    world = form_group(15)

    def stand_still(address: str) -> None:
        world.freeze(address, 0.09)
        world.at(0.1, lambda: stand_still(address))

    for number, address in enumerate((A, B, C)):
        world.at(0.013 * number, partial(stand_still, address))
    before = _newest_view(world)
    version = 0
    for _ in range(20):
        while world.members[B].frozen_until > world.now:
            world.run(0.002)
        request = world.request(B, change(version, version + 1, "more"))
        world.run(2.0)
        version += world.responses[request].outcome is Outcome.APPLIED
    assert _newest_view(world) == before
    assert version == 20, "each change is taken in time"
