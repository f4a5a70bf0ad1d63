"""Rollouts of versions over a fleet without sockets, in fixed scenarios and with random steps."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.control.rollout import RolloutPlan, RolloutController, RolloutStage
from hophinge.control.messages import VersionId
from hophinge.routing.records import RolloutRule as Rule
from tests.stream_link import MS, S


class Fleet:
    """A rollout controller with simulated heads that may not respond; `push` numbers versions as the store does."""

    def __init__(self, rule: Rule, heads: int = 10) -> None:
        self.rollout, self.now, self.rule = RolloutController(RolloutPlan(), rule), S, rule
        self.running = {f"n{at}": (0, 0) for at in range(heads)}
        self.rejecting: dict[str, set[VersionId]] = {}
        self.number, self.stored = 0, [(0, 0)]
        self.rollbacks: list[str] = []
        for name in self.running:
            self.rollout.on_head_connected(name, (0, 0), self.now)

    def push(self, rule: Rule | None = None, is_rollback: bool = False) -> VersionId:
        self.number += 1
        version_id = (1, self.number)
        self.rollout.start(self.rollout.plan_for(version_id, is_rollback), rule or self.rule)
        return version_id

    def step(self, span: int = 100 * MS, answer: bool = True) -> None:
        self.now += span
        decision = self.rollout.tick(self.now)
        if decision.rollback_reason:
            self.rollbacks.append(decision.rollback_reason)
            self.push(Rule(), is_rollback=True)
        for name, head in self.rollout.heads.items():
            target = self.rollout.target_for(name)
            assert target >= self.running[name], "a head is assigned an older version than it runs"
            if not head.is_connected or not answer or target == self.running[name]:
                continue
            if target in self.rejecting.get(name, ()):
                if head.rejected != target:
                    decision = self.rollout.on_rejected(name, target, "bad", self.now)
                    if decision.rollback_reason:
                        self.rollbacks.append(decision.rollback_reason)
                        self.push(Rule(), is_rollback=True)
                continue
            self.running[name] = target
            self.rollout.on_acknowledged(name, target, self.now)

    def run(self, span: int) -> None:
        for _ in range(span // (100 * MS)):
            self.step()

    def count(self, version_id: VersionId) -> int:
        return sum(running == version_id for running in self.running.values())


WAVES = Rule(first=("n3",), waves=(0.2, 0.5, 1.0), soak_us=S, max_failure_share=0.05, on_failure="rollback")


def test_waves_cover_first_heads_then_shares_then_all() -> None:
    fleet = Fleet(WAVES)
    version_id = fleet.push()
    counts = []
    for _ in range(60):
        fleet.step()
        counts.append(fleet.count(version_id))
    assert sorted(set(counts)) == counts[0:1] + [count for count in sorted(set(counts)) if count > counts[0]]
    assert counts[0] == 1 and fleet.running["n3"] == version_id and counts[-1] == 10
    assert {2, 3} & set(counts) and {5, 6} & set(counts)
    assert fleet.rollout.plan == RolloutPlan(version_id, version_id)


def test_rejection_rolls_back_and_version_numbers_only_grow() -> None:
    fleet = Fleet(WAVES)
    first = fleet.push()
    fleet.run(8 * S)
    assert fleet.count(first) == 10
    bad = fleet.push()
    fleet.rejecting = {name: {bad} for name in ("n0", "n1", "n2")}
    fleet.run(12 * S)
    assert len(fleet.rollbacks) == 1 and "bad" in fleet.rollbacks[0]
    assert fleet.count(bad) == 0 and fleet.count((1, 3)) == 10
    assert fleet.rollout.plan.stage is RolloutStage.IDLE


def test_paused_rollout_is_resumed_or_superseded_by_operators() -> None:
    fleet = Fleet(Rule(waves=(0.2, 1.0), soak_us=S))
    first = fleet.push()
    fleet.run(5 * S)
    bad = fleet.push()
    fleet.rejecting = {name: {bad} for name in fleet.running}
    fleet.run(5 * S)
    assert fleet.rollout.plan.stage is RolloutStage.PAUSED and fleet.count(first) == 10
    assert "turned it down: bad" in fleet.rollout.plan.reason
    assert fleet.rollout.resume()
    replacement = fleet.push()
    fleet.run(5 * S)
    assert fleet.count(replacement) == 10 and not fleet.rollout.resume()


def test_failures_beyond_the_bound_roll_back_once() -> None:
    fleet = Fleet(WAVES)
    fleet.push()
    fleet.run(8 * S)
    bad = fleet.push()
    fleet.step()
    fleet.rollout.on_request_counts("n3", 100.0, 4.0, fleet.now)
    fleet.step()
    assert not fleet.rollbacks  # within the bound
    fleet.rollout.on_request_counts("n3", 200.0, 30.0, fleet.now)
    fleet.step()
    assert len(fleet.rollbacks) == 1 and "30 of 200 requests failed" in fleet.rollbacks[0]
    fleet.rejecting = {name: {(1, 3)} for name in fleet.running}
    fleet.run(5 * S)
    assert len(fleet.rollbacks) == 1 and fleet.rollout.plan.stage is RolloutStage.PAUSED and fleet.count(bad) <= 1


def test_usual_failures_are_not_attributed_to_the_version() -> None:
    fleet = Fleet(WAVES)
    fleet.push()
    fleet.run(8 * S)
    fleet.rollout.on_request_counts("n3", 1000.0, 300.0, fleet.now)
    fleet.push()
    fleet.step()
    fleet.rollout.on_request_counts("n3", 1200.0, 360.0, fleet.now)  # 30 % as before
    fleet.step()
    assert not fleet.rollbacks
    fleet.rollout.on_request_counts("n3", 1400.0, 460.0, fleet.now)
    fleet.step()
    assert len(fleet.rollbacks) == 1


def test_reconnected_head_joins_its_wave() -> None:
    fleet = Fleet(Rule(first=("n0",), waves=(1.0,), soak_us=3 * S))
    first = fleet.push()
    fleet.run(10 * S)
    for name in ("n7", "n8"):
        fleet.rollout.on_head_disconnected(name, fleet.now)
    second = fleet.push()
    fleet.run(1 * S)
    fleet.rollout.on_head_connected("n7", first, fleet.now)
    fleet.step()
    assert fleet.rollout.target_for("n7") == first  # its wave has not begun
    fleet.run(5 * S)
    assert fleet.running["n7"] == second
    fleet.run(5 * S)
    assert fleet.rollout.plan.stage is RolloutStage.IDLE  # a disconnected head delays nobody
    fleet.rollout.on_head_connected("n8", first, fleet.now)
    fleet.step()
    assert fleet.running["n8"] == second


def test_unresponsive_head_pauses_the_rollout_after_the_timeout() -> None:
    fleet = Fleet(Rule(waves=(1.0,), acknowledge_timeout_us=2 * S))
    fleet.push()
    for _ in range(19):
        fleet.step(answer=False)
        fleet.rollout.on_request_counts(
            "n1", 0.0, 0.0, fleet.now
        )  # it is connected but does not acknowledge the version
    assert not fleet.rollout.plan.reason
    for _ in range(4):
        fleet.step(answer=False)
    assert fleet.rollout.plan.stage is RolloutStage.PAUSED and "gave no answer for 2 s" in fleet.rollout.plan.reason


@settings(max_examples=150)
@given(
    st.integers(0, 2**32),
    st.lists(
        st.sampled_from(["push", "step", "step", "leave", "join", "reject", "fail", "resume", "new"]), max_size=60
    ),
)
def test_random_steps_keep_versions_monotonic_and_converge(seed: int, steps: list[str]) -> None:
    rng, fleet = random.Random(seed), Fleet(WAVES, 4)
    for step in steps:
        name = rng.choice(sorted(fleet.running))
        if step == "push":
            fleet.push()
        elif step == "leave":
            fleet.rollout.on_head_disconnected(name, fleet.now)
        elif step == "join":
            fleet.rollout.on_head_connected(name, fleet.running[name], fleet.now)
        elif step == "new":
            fleet.running[f"x{len(fleet.running)}"] = (0, 0)
            fleet.rollout.on_head_connected(f"x{len(fleet.running) - 1}", (0, 0), fleet.now)
        elif step == "reject":
            fleet.rejecting.setdefault(name, set()).add(fleet.rollout.plan.target)
        elif step == "fail":
            fleet.rollout.on_request_counts(name, 1000.0, 900.0, fleet.now)
        elif step == "resume":
            fleet.rollout.resume()
        fleet.step(rng.choice([10 * MS, S, 3 * S]))
    for name in fleet.running:
        fleet.rollout.on_head_connected(name, fleet.running[name], fleet.now)
    fleet.rejecting = {}
    last = fleet.push(Rule())
    fleet.run(3 * S)
    assert fleet.count(last) == len(fleet.running) and fleet.rollout.plan.stage is RolloutStage.IDLE
