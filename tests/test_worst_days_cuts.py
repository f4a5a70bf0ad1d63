"""Worst days, first and second point: members cut off for long, two operators, changes that are sent again."""

from __future__ import annotations

import itertools
from functools import partial

import pytest

from hophinge.coordination.registers import MOST_TAKEN, Change, Entry, Outcome, Registers
from tests.coordination_world import World, change

A, B, C, D = (f"10.0.0.{number}:7660" for number in range(1, 5))
CUT_S = 20.0
CONTACT_S = 3.0
FLAPS = 1                   # changes of view that a heal may bring: the member comes back in


def _formed(seed: int, count: int = 3, others: int = 0) -> World:
    world = World(seed, count)
    for number in range(others):
        world.add(f"10.0.1.{number}:7660", votes=False)
    world.run(2.0)
    return world


def _taken(world: World, address: str, one: Change) -> bool:
    request = world.ask(address, one)
    world.run(2.6)
    return world.answers[request].outcome is Outcome.TAKEN


def _cut(world: World, inside: set[str], one_way: bool = False) -> None:
    outside = set(world.members) - inside
    world.blocked |= {(one, other) for one in inside for other in outside}
    if not one_way:
        world.blocked |= {(other, one) for one in inside for other in outside}


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
        sent[world.ask(outside, change(newest, number, "kept"))] = number
        for address in sorted(inside):
            asked.append(world.ask(address, None))
            asked.append(world.ask(address, change(1, 1_000 + number, "lost")))
        world.run(1.0)
        taken = [sent[one] for one in sent if one in world.answers and world.answers[one].outcome is Outcome.TAKEN]
        newest = max([newest, *taken])
    world.run(2.6)
    return asked


@pytest.mark.parametrize("one_way", [False, True])
@pytest.mark.parametrize("cut_off", [{A}, {B}, {C}, {"10.0.1.0:7660"}, {A, "10.0.1.0:7660"}, {C, "10.0.1.1:7660"}])
def test_a_side_cut_off_for_20_s_answers_nothing_and_is_soon_back(cut_off: set[str], one_way: bool) -> None:
    world = _formed(11, others=2)
    assert _taken(world, B, change(0, 1, "first"))
    _cut(world, cut_off, one_way)
    outside = next(address for address in (A, B, C) if address not in cut_off)
    asked = _ask_of_a_side(world, cut_off, outside, CUT_S)
    late = [one for one in asked if world.answers[one].outcome is not None]
    known = {world.answers[one].version for one in late}
    assert not late, f"the side that is cut off answered {known}"
    assert _newest_view(world) <= 3, "the rest forms one view without it"
    before = _newest_view(world)
    world.blocked.clear()
    world.run(CONTACT_S)
    answers = [world.read(address) for address in sorted(world.members)]
    versions = {answer.version for answer in answers if answer is not None}
    assert len(versions) == 1
    assert None not in answers
    assert min(versions) > 10, "the majority's side went on"
    world.run(10.0)
    assert _newest_view(world) - before <= FLAPS
    view = world.machine(outside).view
    assert view is not None
    kept = {link.identity for link in view.chain if link.joined == 1}
    expected = {world.machine(address).me.identity for address in (A, B, C) if address not in cut_off}
    assert kept == expected, "a member that was in touch lost its place"


@pytest.mark.parametrize("around_s", [-0.4, -0.2, -0.05, 0.0, 0.05, 0.2, 0.4])
@pytest.mark.parametrize("cut_off", [A, B, C])
def test_a_cut_around_a_change_of_view_loses_and_doubles_nothing(cut_off: str, around_s: float) -> None:
    """D comes into the group at about the moment at which another member is cut off, with changes at both sides."""
    world = _formed(12)
    assert _taken(world, B, change(0, 1, "first"))
    world.add(D)
    while world.machine(D).view is None:
        world.run(0.01)
    if around_s < 0:
        world.run(0.6)                      # the view that takes D in is some 0.6 s to 1 s off
    world.run(0.4 + around_s)
    _cut(world, {cut_off})
    others = [address for address in (A, B, C, D) if address != cut_off]
    inside = world.ask(cut_off, change(1, 2, "inside"))
    outside = world.ask(others[0], change(1, 3, "outside"))
    world.run(CUT_S)
    both = [world.answers[one].outcome for one in (inside, outside)]
    assert both.count(Outcome.TAKEN) <= 1
    world.blocked.clear()
    world.run(CONTACT_S)
    answers = [world.read(address) for address in (A, B, C, D)]
    payloads = {answer.payload for answer in answers if answer is not None}
    assert None not in answers
    assert len(payloads) == 1
    if Outcome.TAKEN in both:
        assert payloads == {(b"2:inside", b"3:outside")[both.index(Outcome.TAKEN)]}


def test_a_member_that_is_cut_off_begins_no_ballot() -> None:
    world = _formed(14)
    _cut(world, {C})
    world.run(1.5)
    promised = world.machine(C).acceptor.vote.promised
    world.run(CUT_S)
    assert world.machine(C).acceptor.vote.promised == promised


def test_a_member_that_is_cut_off_says_so_at_once() -> None:
    world = _formed(13, others=1)
    _cut(world, {C, "10.0.1.0:7660"})
    world.run(1.1)
    for address in (C, "10.0.1.0:7660"):
        request = world.ask(address, None)
        world.run(0.01)
        assert world.answers[request].outcome is None


def test_a_processor_quota_looks_like_neither_loss_nor_death() -> None:
    """Each machine runs for a tenth of the time: 10 ms, then nothing for 90 ms, each at moments of its own."""
    world = _formed(15)

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
        request = world.ask(B, change(version, version + 1, "more"))
        world.run(2.0)
        version += world.answers[request].outcome is Outcome.TAKEN
    assert _newest_view(world) == before
    assert version == 20, "each change is taken in time"


# --- two operators, and changes sent again ---------------------------------------------------------------------------

def test_two_operators_through_both_ends_of_a_split_are_never_both_told_yes() -> None:
    for seed, (left, right) in enumerate(itertools.product((A, B, C), repeat=2)):
        world = _formed(20 + seed)
        assert _taken(world, B, change(0, 1, "first"))
        one, two = world.ask(left, change(1, 2, "left")), world.ask(right, change(1, 2, "right"))
        _cut(world, {left})
        world.run(6.0)
        world.blocked.clear()
        world.run(CONTACT_S)
        again = world.ask(left, change(1, 2, "left")), world.ask(right, change(1, 2, "right"))
        world.run(2.6)
        outcomes = {"left": [world.answers[number].outcome for number in (one, again[0])],
                    "right": [world.answers[number].outcome for number in (two, again[1])]}
        told_yes = [name for name, found in outcomes.items() if Outcome.TAKEN in found]
        assert len(told_yes) == 1, (left, right, outcomes)
        assert Outcome.CONFLICT not in outcomes[told_yes[0]], "what was taken is never refused"
        answer = world.read(A)
        assert answer is not None
        assert answer.payload == f"2:{told_yes[0]}".encode()


def test_the_identical_bytes_of_two_operators_are_one_change() -> None:
    world = _formed(30)
    requests = [world.ask(address, change(0, 1, "same")) for address in (A, B, C)]
    world.run(0.5)
    assert [world.answers[one].outcome for one in requests] == [Outcome.TAKEN] * 3
    assert world.machine(A).chain.registers.sequence == 1


@pytest.mark.parametrize("further", [0, 1, 300])
@pytest.mark.parametrize("between", ["nothing", "view", "power", "restart"])
def test_a_change_that_is_sent_again_is_taken_whatever_came_between(further: int, between: str) -> None:
    world = _formed(31)
    assert _taken(world, A, change(0, 1, "first"))
    for number in range(1, further + 1):
        request = world.ask(B, change(number, number + 1, "more"))
        while request not in world.answers:
            world.run(0.01)
        assert world.answers[request].outcome is Outcome.TAKEN
    if between == "view":
        world.kill(A)
        world.run(3.0)
        world.start(A)
        world.run(3.0)
    elif between in ("power", "restart"):
        for address in (A, B, C):
            if between == "restart":        # from a snapshot: all that a slot holds, and no log
                world.members[address].disk.records = [world.machine(address).state()]
            world.kill(address)
        world.run(0.5)
        for address in (A, B, C):
            world.start(address)
        world.run(3.0)
    for address in (A, B, C):
        assert _taken(world, address, change(0, 1, "first"))
    answer = world.read(C)
    assert answer is not None
    assert answer.version == further + 1, "nothing was put in force twice"


@pytest.mark.parametrize("survives", [True, False])
def test_a_change_whose_first_copy_is_in_flight_at_an_old_head_is_taken_once(survives: bool) -> None:
    """Head A has applied the first copy, and passed it on or not, when the rest goes on without A."""
    world = _formed(32)
    head = world.machine(A).view.head().address  # type: ignore[union-attr]
    others = [address for address in (A, B, C) if address != head]
    if not survives:
        _cut(world, {head})
    first = world.ask(head, change(0, 1, "x"))
    if survives:
        world.run(0.0015)
        _cut(world, {head})
    world.run(2.0)
    second = world.ask(others[0], change(0, 1, "x"))
    world.run(2.6)
    assert world.answers[second].outcome is Outcome.TAKEN
    assert world.answers[first].outcome in (None, Outcome.TAKEN)
    world.blocked.clear()
    world.run(CONTACT_S)
    assert all(world.machine(address).chain.registers.sequence == 1 for address in (A, B, C))
    assert _taken(world, head, change(0, 1, "x"))


def test_the_bound_on_changes_that_are_remembered() -> None:
    """The newest 4,096 are known again; one that is older is refused like any that builds on an old version."""
    registers, count = Registers(), MOST_TAKEN + 1
    changes = [Change("k", number, number + 1, b"%d" % number, b"") for number in range(count)]
    for number, one in enumerate(changes, 1):
        assert registers.judge(one) is None
        registers.apply(Entry(number, one))
    assert registers.judge(changes[0]) is Outcome.CONFLICT
    assert {registers.judge(one) for one in changes[1:]} == {Outcome.TAKEN}
    again = Registers()
    again.restore(registers.snapshot())
    assert {again.judge(one) for one in changes[1:]} == {Outcome.TAKEN}
    assert len(registers.taken["k"]) == MOST_TAKEN
