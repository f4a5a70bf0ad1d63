"""The instance registry: late, repeated and missed heartbeats, draining, unregistration, stage changes."""

from __future__ import annotations

from dataclasses import replace

from hophinge.fleet.registry.instance import DRAINING, LOST, READY, SWITCHING, Instance, Model, instance_of
from hophinge.fleet.registry.registry import (
    SILENT_RETENTION_S,
    MAX_MISSED_HEARTBEATS,
    UNREGISTERED_RETENTION_S,
    Liveness,
    Registry,
)

HEARTBEAT_S = 1.0
INSTANCE = Instance("i-1", "models", "10.0.0.1:80", "z", "v1", 64, READY, "decode", (Model("m", 1),))


def _registry() -> Registry:
    return Registry(HEARTBEAT_S, 0.0)


def _expire_until(registry: Registry, since: float, until: float) -> list[str]:
    """Check for silent instances every 0.25 s; return the keys of the records of those marked lost."""
    lost = []
    now = since
    while now < until:
        now += 0.25
        lost += [record.key for record in registry.expire(now, True)]
    return lost


def test_only_changes_return_a_record() -> None:
    registry = _registry()
    record = registry.record_heartbeat(0.0, INSTANCE, 1)
    assert record is not None
    assert instance_of(record) == INSTANCE
    assert registry.record_heartbeat(1.0, INSTANCE, 2) is None
    drained = registry.record_heartbeat(2.0, replace(INSTANCE, state=DRAINING), 3)
    assert drained is not None
    assert drained.stamp > record.stamp


def test_a_late_heartbeat_does_not_revert_a_draining_instance() -> None:
    registry = _registry()
    registry.record_heartbeat(0.0, INSTANCE, 1)
    registry.record_heartbeat(1.0, replace(INSTANCE, state=DRAINING), 5)
    assert registry.record_heartbeat(1.1, INSTANCE, 4) is None
    assert registry.record_heartbeat(1.2, INSTANCE, 5) is None
    assert registry.instances["i-1"].state == DRAINING


def test_an_unregistered_identity_is_never_registered_again() -> None:
    registry = _registry()
    registry.record_heartbeat(0.0, INSTANCE, 1)
    assert registry.unregister(1.0, "i-1").is_deleted
    assert registry.record_heartbeat(2.0, INSTANCE, 9) is None
    assert "i-1" not in registry.instances


def test_unregistering_an_unknown_instance_returns_a_tombstone() -> None:
    assert _registry().unregister(0.0, "i-9").is_deleted


def test_a_silent_instance_is_lost_until_its_next_heartbeat() -> None:
    registry = _registry()
    registry.record_heartbeat(0.0, INSTANCE, 1)
    assert _expire_until(registry, 0.0, MAX_MISSED_HEARTBEATS * HEARTBEAT_S) == []
    assert _expire_until(registry, MAX_MISSED_HEARTBEATS * HEARTBEAT_S, MAX_MISSED_HEARTBEATS * HEARTBEAT_S + 1) == [
        "instance/i-1"
    ]
    assert registry.instances["i-1"].state == LOST
    returned = registry.record_heartbeat(6.0, INSTANCE, 2)
    assert returned is not None
    assert registry.instances["i-1"].state == READY


def test_an_instance_with_heartbeats_to_another_member_is_not_lost() -> None:
    registry = _registry()
    registry.record_heartbeat(0.0, INSTANCE, 1)
    lost = []
    for number in range(2, 10):
        registry.heartbeat_s = HEARTBEAT_S
        registry.apply_liveness(float(number), Liveness((("i-1", number),)))
        lost += _expire_until(registry, float(number), number + 1.0)
    assert lost == []


def test_a_stalled_or_disconnected_member_marks_no_instance_lost() -> None:
    registry = _registry()
    registry.record_heartbeat(0.0, INSTANCE, 1)
    assert registry.expire(20.0, True) == []  # the process was stalled for 20 s
    assert registry.expire(20.25, True) == []
    assert registry.expire(23.0, False) == []  # this member is disconnected from the others


def test_an_ordered_instance_is_switching_until_its_stage_has_changed() -> None:
    registry = _registry()
    registry.record_heartbeat(0.0, INSTANCE, 1)
    record = registry.begin_stage_change(1.0, "i-1")
    assert record is not None
    assert registry.instances["i-1"].state == SWITCHING
    assert registry.record_heartbeat(2.0, INSTANCE, 2) is None  # it still reports the old stage
    done = registry.record_heartbeat(4.0, replace(INSTANCE, stage="prefill"), 3)
    assert done is not None
    assert registry.instances["i-1"].state == READY


def test_a_lost_instance_is_purged_and_its_next_heartbeat_registers_it() -> None:
    registry, other = _registry(), _registry()
    first = registry.record_heartbeat(0.0, INSTANCE, 1)
    assert first is not None
    other.apply_record(0.0, first)
    _expire_until(registry, 0.0, MAX_MISSED_HEARTBEATS * HEARTBEAT_S + 1)
    assert registry.purge(SILENT_RETENTION_S - 1) == []
    tombstones = registry.purge(SILENT_RETENTION_S + 1)
    assert [record.key for record in tombstones] == ["instance/i-1"]
    other.apply_record(SILENT_RETENTION_S + 1, tombstones[0])
    assert not registry.instances
    assert not other.instances
    returned = other.record_heartbeat(SILENT_RETENTION_S + 2, INSTANCE, 2)
    assert returned is not None
    assert returned.stamp > tombstones[0].stamp


def test_an_unregistered_identity_is_blocked_for_its_retention() -> None:
    registry = _registry()
    registry.unregister(0.0, "i-1")
    registry.purge(UNREGISTERED_RETENTION_S - 1)
    assert registry.record_heartbeat(UNREGISTERED_RETENTION_S - 1, INSTANCE, 5) is None
    registry.purge(UNREGISTERED_RETENTION_S + 1)
    assert not registry.unregistered


def test_another_member_applies_the_order_of_a_stage_change() -> None:
    registry, other = _registry(), _registry()
    registry.record_heartbeat(0.0, INSTANCE, 1)
    record = registry.begin_stage_change(1.0, "i-1")
    assert record is not None
    other.apply_record(1.0, record)
    other.record_heartbeat(2.0, INSTANCE, 2)
    assert other.instances["i-1"].state == SWITCHING


def test_a_reachable_instance_is_not_lost_and_recovers() -> None:
    registry = Registry(1.0, 0.0)
    registry.record_heartbeat(0.0, INSTANCE, 1)
    _expire_until(registry, 0.0, 4.0)
    assert registry.mark_reachable(4.0, ["i-1", "i-unknown"]) == []
    assert _expire_until(registry, 4.0, 8.0) == []
    assert _expire_until(registry, 8.0, 9.0) == ["instance/i-1"]
    [record] = registry.mark_reachable(9.0, ["i-1"])
    recovered = instance_of(record)
    assert recovered is not None
    assert recovered.state == READY
    later = registry.record_heartbeat(9.1, replace(INSTANCE, state=DRAINING), 2)
    assert later is not None
    assert later.stamp > record.stamp, "the record of the next heartbeat is newer"


def test_responses_of_an_address_count_for_the_instance_heard_from_last() -> None:
    """A restarted instance has a new identity; its responses must not keep the old identity from being marked lost."""
    registry = Registry(1.0, 0.0)
    registry.record_heartbeat(0.0, INSTANCE, 1)
    registry.record_heartbeat(2.0, replace(INSTANCE, identity="i-2"), 1)
    lost = []
    for now in (2.5, 3.5, 4.5, 5.5):
        registry.mark_reachable(now, ["i-1", "i-2"])
        lost += _expire_until(registry, now, now + 1.0)
    assert lost == ["instance/i-1"]
    assert registry.mark_reachable(6.5, ["i-1", "i-2"]) == []
    assert registry.instances["i-2"].state == READY


def test_a_silent_draining_instance_stays_draining() -> None:
    registry = Registry(1.0, 0.0)
    registry.record_heartbeat(0.0, replace(INSTANCE, state=DRAINING), 1)
    assert _expire_until(registry, 0.0, 20.0) == []
    assert registry.instances["i-1"].state == DRAINING
    assert registry.mark_reachable(20.0, ["i-1"]) == []


def test_a_derived_state_never_hides_a_draining_record_of_another_member() -> None:
    remote, local = _registry(), _registry()
    first = remote.record_heartbeat(0.0, INSTANCE, 1)
    assert first is not None
    local.apply_record(0.0, first)
    _expire_until(local, 0.0, 6.0)
    assert local.instances["i-1"].state == LOST
    draining = remote.record_heartbeat(6.0, replace(INSTANCE, state=DRAINING), 7)
    liveness = remote.collect_liveness()
    assert draining is not None
    assert liveness is not None
    local.apply_liveness(6.1, liveness)  # arrives before the record
    [recovered] = local.mark_reachable(6.2, ["i-1"])
    assert recovered.stamp < draining.stamp
    local.apply_record(6.3, draining)
    assert local.instances["i-1"].state == DRAINING
    _expire_until(local, 6.3, 20.0)
    assert local.instances["i-1"].state == DRAINING
