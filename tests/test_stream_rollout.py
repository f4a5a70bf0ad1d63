"""The rollout of a version over a fleet, without sockets; by random steps."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.control.rollout import Course, Rollout, Stage
from hophinge.control.wire import Order
from hophinge.routing.records import Rollout as Rule
from tests.stream_line import MS, S


class Fleet:
    """A rollout, heads that answer or don't, and the store's part of a push."""

    def __init__(self, rule: Rule, heads: int = 10) -> None:
        self.rollout, self.now, self.rule = Rollout(Course(), rule), S, rule
        self.runs = {f"n{at}": (0, 0) for at in range(heads)}
        self.refuse: dict[str, set[Order]] = {}
        self.number, self.stored = 0, [(0, 0)]
        self.undone: list[str] = []
        for name in self.runs:
            self.rollout.connected(name, (0, 0), self.now)

    def push(self, rule: Rule | None = None, undoes: bool = False) -> Order:
        self.number += 1
        order = (1, self.number)
        self.rollout.push(self.rollout.planned(order, undoes), rule or self.rule, self.now)
        return order

    def step(self, span: int = 100 * MS, answer: bool = True) -> None:
        self.now += span
        decision = self.rollout.tick(self.now)
        if decision.roll_back:
            self.undone.append(decision.roll_back)
            self.push(Rule(), undoes=True)
        for name, head in self.rollout.heads.items():
            aim = self.rollout.aim(name)
            assert aim >= self.runs[name], "a head is aimed at what is older than what it runs"
            if not head.connected or not answer or aim == self.runs[name]:
                continue
            if aim in self.refuse.get(name, ()):
                if head.refused != aim:
                    decision = self.rollout.turned_down(name, aim, "bad", self.now)
                    if decision.roll_back:
                        self.undone.append(decision.roll_back)
                        self.push(Rule(), undoes=True)
                continue
            self.runs[name] = aim
            self.rollout.acked(name, aim, self.now)

    def run(self, span: int) -> None:
        for _ in range(span // (100 * MS)):
            self.step()

    def count(self, order: Order) -> int:
        return sum(runs == order for runs in self.runs.values())


WAVES = Rule(first=("n3",), waves=(0.2, 0.5, 1.0), hold_us=S, failures=0.05, on_trouble="rollback")


def test_waves_reach_first_heads_then_shares_then_all() -> None:
    fleet = Fleet(WAVES)
    order = fleet.push()
    seen = []
    for _ in range(60):
        fleet.step()
        seen.append(fleet.count(order))
    assert sorted(set(seen)) == seen[0:1] + [count for count in sorted(set(seen)) if count > seen[0]]
    assert seen[0] == 1 and fleet.runs["n3"] == order and {2, 3} & set(seen) and {5, 6} & set(seen) and seen[-1] == 10
    assert fleet.rollout.course == Course(order, order)


def test_a_head_that_turns_it_down_rolls_the_rest_back_and_nobody_goes_back_in_number() -> None:
    fleet = Fleet(WAVES)
    first = fleet.push()
    fleet.run(8 * S)
    assert fleet.count(first) == 10
    bad = fleet.push()
    fleet.refuse = {name: {bad} for name in ("n0", "n1", "n2")}
    fleet.run(12 * S)
    assert len(fleet.undone) == 1 and "bad" in fleet.undone[0]
    assert fleet.count(bad) == 0 and fleet.count((1, 3)) == 10
    assert fleet.rollout.course.stage is Stage.IDLE


def test_hold_stops_and_staff_go_on_or_push_anew() -> None:
    fleet = Fleet(Rule(waves=(0.2, 1.0), hold_us=S))
    first = fleet.push()
    fleet.run(5 * S)
    bad = fleet.push()
    fleet.refuse = {name: {bad} for name in fleet.runs}
    fleet.run(5 * S)
    assert fleet.rollout.course.stage is Stage.HELD and fleet.count(first) == 10
    assert "turned it down: bad" in fleet.rollout.course.reason
    assert fleet.rollout.resume(fleet.now)
    good_one = fleet.push()
    fleet.run(5 * S)
    assert fleet.count(good_one) == 10 and not fleet.rollout.resume(fleet.now)


def test_failures_beyond_the_bound_roll_back_and_a_bad_rollback_does_not_go_on_for_ever() -> None:
    fleet = Fleet(WAVES)
    fleet.push()
    fleet.run(8 * S)
    bad = fleet.push()
    fleet.step()
    fleet.rollout.counted("n3", 100.0, 4.0, fleet.now)
    fleet.step()
    assert not fleet.undone  # within the bound
    fleet.rollout.counted("n3", 200.0, 30.0, fleet.now)
    fleet.step()
    assert len(fleet.undone) == 1 and "30 of 200 requests failed" in fleet.undone[0]
    fleet.refuse = {name: {(1, 3)} for name in fleet.runs}
    fleet.run(5 * S)
    assert len(fleet.undone) == 1 and fleet.rollout.course.stage is Stage.HELD and fleet.count(bad) <= 1


def test_failures_that_were_usual_before_the_version_are_not_its_own() -> None:
    fleet = Fleet(WAVES)
    fleet.push()
    fleet.run(8 * S)
    fleet.rollout.counted("n3", 1000.0, 300.0, fleet.now)
    fleet.push()
    fleet.step()
    fleet.rollout.counted("n3", 1200.0, 360.0, fleet.now)  # 30 % as before
    fleet.step()
    assert not fleet.undone
    fleet.rollout.counted("n3", 1400.0, 460.0, fleet.now)
    fleet.step()
    assert len(fleet.undone) == 1


def test_a_head_that_was_away_joins_where_its_wave_stands() -> None:
    fleet = Fleet(Rule(first=("n0",), waves=(1.0,), hold_us=3 * S))
    first = fleet.push()
    fleet.run(10 * S)
    for name in ("n7", "n8"):
        fleet.rollout.gone(name, fleet.now)
    second = fleet.push()
    fleet.run(1 * S)
    fleet.rollout.connected("n7", first, fleet.now)
    fleet.step()
    assert fleet.rollout.aim("n7") == first  # its wave has not begun
    fleet.run(5 * S)
    assert fleet.runs["n7"] == second
    fleet.run(5 * S)
    assert fleet.rollout.course.stage is Stage.IDLE  # who is away holds nobody up
    fleet.rollout.connected("n8", first, fleet.now)
    fleet.step()
    assert fleet.runs["n8"] == second


def test_a_connected_head_that_never_answers_is_trouble_after_its_patience() -> None:
    fleet = Fleet(Rule(waves=(1.0,), patience_us=2 * S))
    fleet.push()
    for _ in range(19):
        fleet.step(answer=False)
        fleet.rollout.counted("n1", 0.0, 0.0, fleet.now)  # it beats, and says nothing of the version
    assert not fleet.rollout.course.reason
    for _ in range(4):
        fleet.step(answer=False)
    assert fleet.rollout.course.stage is Stage.HELD and "gave no answer for 2 s" in fleet.rollout.course.reason


@settings(max_examples=150)
@given(
    st.integers(0, 2**32),
    st.lists(
        st.sampled_from(["push", "step", "step", "leave", "join", "refuse", "fail", "resume", "new"]), max_size=60
    ),
)
def test_by_random_steps_heads_only_go_forward_and_end_on_one_version(seed: int, steps: list[str]) -> None:
    rng, fleet = random.Random(seed), Fleet(WAVES, 4)
    for word in steps:
        name = rng.choice(sorted(fleet.runs))
        if word == "push":
            fleet.push()
        elif word == "leave":
            fleet.rollout.gone(name, fleet.now)
        elif word == "join":
            fleet.rollout.connected(name, fleet.runs[name], fleet.now)
        elif word == "new":
            fleet.runs[f"x{len(fleet.runs)}"] = (0, 0)
            fleet.rollout.connected(f"x{len(fleet.runs) - 1}", (0, 0), fleet.now)
        elif word == "refuse":
            fleet.refuse.setdefault(name, set()).add(fleet.rollout.course.target)
        elif word == "fail":
            fleet.rollout.counted(name, 1000.0, 900.0, fleet.now)
        elif word == "resume":
            fleet.rollout.resume(fleet.now)
        fleet.step(rng.choice([10 * MS, S, 3 * S]))
    for name in fleet.runs:
        fleet.rollout.connected(name, fleet.runs[name], fleet.now)
    fleet.refuse = {}
    last = fleet.push(Rule())
    fleet.run(3 * S)
    assert fleet.count(last) == len(fleet.runs) and fleet.rollout.course.stage is Stage.IDLE
