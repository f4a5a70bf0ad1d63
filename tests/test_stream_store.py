"""The control service's store of versions: a restart, a push that fails half way."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import pytest

from hophinge.control.publisher import Snapshot
from hophinge.control.rollout import Course, Stage
from hophinge.control.store import Store, StoreError
from hophinge.control.wire import Order
from hophinge.routing.records import Record, Rollout as Rule
from tests.stream_line import GOOD, bodies


def stored(store: Store, rows: Iterable[Record], undoes: bool = False) -> Snapshot:
    return store.push(
        bodies(rows),
        Rule(hold_us=5),
        "tester",
        "why",
        b"(hophinge 1)",
        7,
        lambda order: Course((0, 0), order, Stage.ROLLING, undoes=undoes),
    )


def test_a_store_gives_back_its_versions_course_and_audit_after_a_restart(tmp_path: Path) -> None:
    store = Store(tmp_path / "s.db")
    one, two = stored(store, GOOD), stored(store, GOOD[:3])
    store.saw("n0", 5)
    with pytest.raises(StoreError, match="another control service"):
        Store(tmp_path / "s.db")
    store.close()
    again = Store(tmp_path / "s.db")
    assert {order: dict(kept.rows) for order, kept in again.snapshots.items()} == {
        one.order: dict(one.rows),
        two.order: dict(two.rows),
    }
    assert again.newest is not None and again.newest.version == two.version
    assert again.course().target == (1, 2) and again.course().stage is Stage.ROLLING
    assert again.rule((1, 2)) == Rule(hold_us=5) and again.heads() == [("n0", 5)]
    assert again.content((1, 1)) == bodies(GOOD)
    assert [row["removed"] for row in again.history(5)] == [5, 0] and len(again.audit(9)) == 2
    with pytest.raises(StoreError, match=r"no version 1\.9"):
        again.content((1, 9))
    again.close()
    raised = Store(tmp_path / "s.db", new_epoch=True)
    assert stored(raised, GOOD).order == (2, 1)
    raised.close()


def test_a_push_that_fails_half_way_leaves_nothing_of_itself(tmp_path: Path) -> None:
    store = Store(tmp_path / "s.db")
    stored(store, GOOD)

    def broken(order: Order) -> Course:
        raise OSError("the disk is full")

    with pytest.raises(OSError, match="full"):
        store.push(bodies(GOOD[:2]), Rule(), "tester", "", b"", 7, broken)
    assert len(store.history(9)) == 1 and len(store.audit(9)) == 1 and store.newest is not None
    assert stored(store, GOOD[:2]).order == (1, 2)
    store.close()
    torn = (tmp_path / "s.db").read_bytes()
    (tmp_path / "t.db").write_bytes(b"not a database" + torn[14:])
    with pytest.raises(StoreError):
        Store(tmp_path / "t.db")
