"""The control service's store: restarts, failed pushes, a corrupt file."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import pytest

from hophinge.control.snapshot import Snapshot
from hophinge.control.rollout import RolloutPlan, RolloutStage
from hophinge.control.store import ControlStore, NewVersion, StoreError
from hophinge.control.messages import VersionId
from hophinge.routing.records import Record, RolloutRule as Rule
from tests.stream_link import GOOD, bodies


def push(store: ControlStore, rows: Iterable[Record], is_rollback: bool = False) -> Snapshot:
    return store.push(
        NewVersion(bodies(rows), Rule(soak_us=5), "tester", "why", b"(hophinge 1)"),
        7,
        lambda version_id: RolloutPlan((0, 0), version_id, RolloutStage.ROLLING, is_rollback=is_rollback),
    )


def test_versions_plan_and_audit_survive_a_restart(tmp_path: Path) -> None:
    store = ControlStore(tmp_path / "s.db")
    first, second = push(store, GOOD), push(store, GOOD[:3])
    store.record_head("n0", 5)
    with pytest.raises(StoreError, match="another control service"):
        ControlStore(tmp_path / "s.db")
    store.close()
    reopened = ControlStore(tmp_path / "s.db")
    assert {version_id: dict(snapshot.records) for version_id, snapshot in reopened.snapshots.items()} == {
        first.id: dict(first.records),
        second.id: dict(second.records),
    }
    assert reopened.newest is not None and reopened.newest.version == second.version
    assert reopened.rollout_plan().target == (1, 2) and reopened.rollout_plan().stage is RolloutStage.ROLLING
    assert reopened.rollout_rule((1, 2)) == Rule(soak_us=5) and reopened.known_heads() == [("n0", 5)]
    assert reopened.version_records((1, 1)) == bodies(GOOD)
    assert [row["removed"] for row in reopened.history(5)] == [5, 0] and len(reopened.audit_entries(9)) == 2
    with pytest.raises(StoreError, match=r"no version 1\.9"):
        reopened.version_records((1, 9))
    reopened.close()
    store_in_new_epoch = ControlStore(tmp_path / "s.db", new_epoch=True)
    assert push(store_in_new_epoch, GOOD).id == (2, 1)
    store_in_new_epoch.close()


def test_failed_push_is_rolled_back(tmp_path: Path) -> None:
    store = ControlStore(tmp_path / "s.db")
    push(store, GOOD)

    def failing(version_id: VersionId) -> RolloutPlan:
        raise OSError("the disk is full")

    with pytest.raises(OSError, match="full"):
        store.push(NewVersion(bodies(GOOD[:2]), Rule(), "tester"), 7, failing)
    assert len(store.history(9)) == 1 and len(store.audit_entries(9)) == 1 and store.newest is not None
    assert push(store, GOOD[:2]).id == (1, 2)
    store.close()
    content = (tmp_path / "s.db").read_bytes()
    (tmp_path / "t.db").write_bytes(b"not a database" + content[14:])
    with pytest.raises(StoreError):
        ControlStore(tmp_path / "t.db")
