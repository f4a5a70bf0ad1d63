"""Releases and drains of a fleet in virtual time, without and with faults."""

from __future__ import annotations

import msgspec
import pytest

from hophinge.maintenance.permits import Permit, PermitKind, PermitState
from hophinge.maintenance.releases import ReleaseStage
from hophinge.routing.maintenance_records import MaintenanceRule, DisruptionBudget, Outage, Release
from tests.maintenance_world import S, World

RULE = MaintenanceRule(DisruptionBudget(3, -1.0, 1), DisruptionBudget(2, -1.0, 1))


def released(command: str = "go", resume_count: int = 0, name: str = "r", build: str = "2") -> Release:
    return Release(name, build, (), (0.25, 1.0), 5 * S, 120 * S, 0.02, command, resume_count)


def rolling(heads: int = 12, rule: MaintenanceRule = RULE, **more: object) -> World:
    world = World(1, heads, 2, rule)
    for _ in range(4):
        world.advance()
    world.releases["r"] = released()
    world.apply_configuration()
    return world


def stage(world: World, name: str = "r") -> ReleaseStage:
    return world.store.courses[name].stage


def active_permits(world: World) -> dict[str, Permit]:
    assert world.issuer is not None
    return world.issuer.permits.active


def test_a_release_proceeds_in_waves_until_done() -> None:
    world = rolling()
    world.until(lambda: "r" in world.store.courses and stage(world) is ReleaseStage.DONE)
    assert stage(world) is ReleaseStage.DONE and {head.build for head in world.heads.values()} == {"2"}
    assert world.violations == [] and len(world.store.permits) == 12


def test_a_bad_build_halts_the_release_and_the_rollback_keeps_the_limits() -> None:
    world = rolling()
    world.failing["2"] = 0.3
    world.until(lambda: "r" in world.store.courses and stage(world) is ReleaseStage.HALTED)
    progress = world.store.courses["r"]
    assert progress.halted_automatically and "requests were refused or failed" in progress.reason
    updated = [head.name for head in world.heads.values() if head.build == "2"]
    assert 0 < len(updated) < 12
    for _ in range(60):
        world.advance()
    # The heads that were out are back, and no other head went offline.
    assert stage(world) is ReleaseStage.HALTED and all(
        permit.state is PermitState.FREE for permit in world.store.permits.values()
    )
    world.releases["r"] = released("back")
    world.apply_configuration()
    world.until(lambda: stage(world) is ReleaseStage.UNDONE)
    assert stage(world) is ReleaseStage.UNDONE and {head.build for head in world.heads.values()} == {"1"}
    assert world.violations == []


def test_a_build_that_never_becomes_ready_halts_and_is_rolled_back_under_its_permits() -> None:
    world = rolling()
    world.never_ready.add("2")
    world.until(lambda: "r" in world.store.courses and stage(world) is ReleaseStage.HALTED)
    assert "is not back after 120 s" in world.store.courses["r"].reason
    active = set(world.store.active_permits(PermitKind.HEAD))
    assert active  # begun permits stay in force
    world.releases["r"] = released("back")
    world.apply_configuration()
    world.until(lambda: stage(world) is ReleaseStage.UNDONE)
    assert (
        stage(world) is ReleaseStage.UNDONE
        and not world.store.active_permits(PermitKind.HEAD)
        and world.violations == []
    )


def test_three_unplanned_losses_stop_a_release_at_a_limit_of_3() -> None:
    world = rolling(rule=MaintenanceRule(DisruptionBudget(3), DisruptionBudget(2)))
    world.until(lambda: len(world.store.active_permits(PermitKind.HEAD)) == 3 and stage(world) is ReleaseStage.ROLLING)
    count = len(world.store.permits)
    lost = [name for name, head in world.heads.items() if head.alive and head.build == "1"][:3]
    for name in lost:
        world.kill_head(name)
    for _ in range(100):
        world.advance()
    # The heads that were out came back, and no other head went offline.
    assert len(world.store.permits) == count and world.violations == []
    for name in lost:
        world.heads[name].start()
    assert stage(world) is ReleaseStage.HALTED and "was lost" in world.store.courses["r"].reason
    world.releases["r"] = released(resume_count=1)
    world.apply_configuration()
    world.until(lambda: stage(world) is ReleaseStage.DONE)
    assert stage(world) is ReleaseStage.DONE and world.violations == []


def test_a_lost_head_of_the_wave_halts_it_until_a_new_attempt() -> None:
    world = rolling()
    world.until(
        lambda: (
            any(head.build == "2" and head.ready for head in world.heads.values())
            and not world.store.active_permits(PermitKind.HEAD)
        )
    )
    lost = next(head for head in world.heads.values() if head.build == "2")
    world.kill_head(lost.name)
    world.until(lambda: stage(world) is not ReleaseStage.ROLLING)
    assert stage(world) is ReleaseStage.HALTED and lost.name in world.store.courses["r"].reason
    lost.start()
    world.releases["r"] = released(resume_count=1)
    world.apply_configuration()
    world.until(lambda: stage(world) is ReleaseStage.DONE)
    assert stage(world) is ReleaseStage.DONE and world.violations == []


def test_a_second_release_waits_for_the_first() -> None:
    world = rolling()
    world.releases["s"] = released(name="s", build="3")
    world.apply_configuration()
    world.until(lambda: stage(world, "s") is ReleaseStage.ROLLING if "s" in world.store.courses else False)
    assert stage(world) is ReleaseStage.DONE and {head.build for head in world.heads.values()} == {"2"}
    world.until(lambda: stage(world, "s") is ReleaseStage.DONE)
    assert {head.build for head in world.heads.values()} == {"3"} and world.violations == []


def test_an_issuer_in_the_minority_grants_nothing_and_a_halt_applies_on_both_sides() -> None:
    world = rolling()
    world.until(lambda: len(world.store.active_permits(PermitKind.HEAD)) >= 1)
    world.cut = {f"n{at}" for at in range(8)}
    world.advance()
    count = len(world.store.permits)
    # Pushed on the issuer's side; heads on the other side cannot begin without the issuer.
    world.releases["r"] = released("halt")
    world.apply_configuration()
    for _ in range(100):
        world.advance()
    assert len(world.store.permits) == count and stage(world) is ReleaseStage.HALTED
    world.cut = set()
    for _ in range(60):
        world.advance()
    assert len(world.store.permits) == count and world.violations == []
    world.releases["r"] = released()
    world.apply_configuration()
    world.until(lambda: stage(world) is ReleaseStage.DONE)
    assert stage(world) is ReleaseStage.DONE and world.violations == []


def test_a_stopped_head_keeps_its_begun_permit_and_continues_when_it_resumes() -> None:
    world = rolling()
    world.until(lambda: any(row.state is PermitState.GRANTED for row in world.store.permits.values()))
    permit = next(row for row in world.store.permits.values() if row.state is PermitState.GRANTED)
    head = world.heads[permit.name]
    assert world.issuer is not None and head.holder.permit_to_begin(int(world.now * head.drift)) == permit.id
    world.issuer.apply_report(permit.name, head.report())
    world.issuer.tick(world.now)
    head.is_stopped = True  # after its begin was stored and before it received the update
    for _ in range(300):
        world.advance()
    # Halted, as the head was not back in time.
    assert world.store.permits[permit.id].state is PermitState.BEGUN and stage(world) is ReleaseStage.HALTED
    head.is_stopped = False
    world.issuer.last_updates.pop(permit.name, None)
    world.until(lambda: world.store.permits[permit.id].state is PermitState.FREE)
    assert head.build == "2" and world.store.permits[permit.id].state is PermitState.FREE and world.violations == []


@pytest.mark.parametrize("stored", [False, True])
def test_an_issuer_killed_at_any_save_continues_and_grants_nothing_twice(stored: bool) -> None:
    at = 0
    while True:
        at += 1
        world = rolling(5, MaintenanceRule(DisruptionBudget(2), DisruptionBudget(1)))
        world.outages["o"] = Outage("o", ("b0",))
        world.apply_configuration()
        world.store.kill = world.store.saves + at, stored

        def killed_or_done(world: World = world) -> bool:
            return world.issuer is None or ("r" in world.store.courses and stage(world) is ReleaseStage.DONE)

        world.until(killed_or_done)
        if world.issuer is not None:
            break
        before = {row.id: row for row in world.store.permits.values() if row.state is not PermitState.FREE}
        world.start_issuer()
        assert active_permits(world) == before
        world.until(lambda: stage(world) is ReleaseStage.DONE if "r" in world.store.courses else False)  # noqa: B023
        assert stage(world) is ReleaseStage.DONE and world.violations == [], f"killed at save {at}"
        heads = [row for row in world.store.permits.values() if row.kind is PermitKind.HEAD]
        assert len(heads) == 5 and len({row.name for row in heads}) == 5
    assert at > 20


def test_a_head_of_unknown_build_is_not_restarted_again() -> None:
    """A restarted service has heads' streams before their reports; it must not restart heads that have the build."""
    world = rolling(5, MaintenanceRule(DisruptionBudget(2), DisruptionBudget(1)))
    world.until(lambda: "r" in world.store.courses and world.store.courses["r"].wave == 1 and not active_permits(world))
    assert stage(world) is ReleaseStage.ROLLING
    world.start_issuer()
    assert world.issuer is not None
    for name in world.heads:
        world.issuer.head_connected(name, True, len(world.heads))
    given = len(world.store.permits)
    world.issuer.tick(world.now)
    assert len(world.store.permits) == given and "" not in world.store.courses["r"].previous_builds.values()
    world.until(lambda: stage(world) is ReleaseStage.DONE)
    heads = [row.name for row in world.store.permits.values() if row.kind is PermitKind.HEAD]
    assert stage(world) is ReleaseStage.DONE and sorted(heads) == sorted(world.heads) and world.violations == []


def test_an_outage_drains_restores_cold_and_frees_by_evidence() -> None:
    world = rolling()
    del world.releases["r"]
    world.outages["o"] = Outage("o", ("b0", "b1"))
    world.apply_configuration()
    world.until(lambda: world.verdicts == 2)
    assert world.verdicts == 2 and world.issuer is not None
    world.backends_down = {"b0", "b1"}
    del world.outages["o"]
    world.apply_configuration()
    for _ in range(50):
        world.advance()
    # The backends have not answered yet.
    assert {row.state for row in world.store.active_permits(PermitKind.BACKEND).values()} == {PermitState.BACK}
    world.backends_down = set()
    world.until(lambda: not world.store.active_permits(PermitKind.BACKEND))
    assert not world.store.active_permits(PermitKind.BACKEND) and world.violations == []


def test_an_operator_frees_the_permit_of_a_head_that_is_gone_for_good() -> None:
    world = rolling()
    world.until(lambda: any(row.state is PermitState.OUT for row in world.store.permits.values()))
    permit = next(row for row in world.store.permits.values() if row.state is PermitState.OUT)
    world.heads[permit.name].returns_at = 0
    for _ in range(200):
        world.advance()
    assert world.store.permits[permit.id].state is PermitState.OUT
    world.rule = msgspec.structs.replace(RULE, released_permits=(permit.id,), retired_heads=(permit.name,))
    world.apply_configuration()
    world.advance()
    assert world.store.permits[permit.id].state is PermitState.FREE and world.violations == []
