"""Maintenance with the document reader, the fenced store, and a head's rotation, disk and replicated entries."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from pathlib import Path

import msgspec
import pytest

from hophinge.cluster.interface import Entry, EntryVersion, Member, MemberState, Role, Topic
from hophinge.control.maintenance_store import MaintenanceStore
from hophinge.control.maintenance_wire import decode_update, encode_statements, encode_update
from hophinge.control.messages import DiscoveryRequest
from hophinge.control.store import ControlStore, StoreError
from hophinge.control.transaction import FencedError
from hophinge.control.wire import decode_request, decode_response, encode_request
from hophinge.core.errors import HophingeError
from hophinge.maintenance.messages import PermitUpdate
from hophinge.maintenance.permit_holder import PermitHolder
from hophinge.maintenance.permits import Permit, PermitKind, PermitState
from hophinge.maintenance.releases import ReleaseProgress, ReleaseStage
from hophinge.maintenance.statements import DRAINED, Statement, encode_statement, statements_by_owner
from hophinge.routing import records
from hophinge.routing.maintenance_records import MaintenanceRule, DisruptionBudget, Outage, Release
from hophinge.routing.document_reader import read_document
from hophinge.state.files import Disk
from tests.maintenance_process import Head
from tests.stand_in import run, until

EXAMPLE = (Path(__file__).parent.parent / "examples" / "maintenance.sexp").read_bytes()
BOUND = "(maintenance (heads (most 1)) (bricks (most 1))) "
ROW = Permit("1.1", PermitKind.HEAD, "n0", "z0", "release r", "r/0/2", PermitState.BEGUN, "2", 7)


def test_the_example_document_is_parsed() -> None:
    document = read_document(EXAMPLE)
    assert document.mistake_lines("f") == []
    assert document.records["maintenance/*"] == MaintenanceRule(
        DisruptionBudget(3, 0.1, 1), DisruptionBudget(2, -1.0, 1), 3, 25.0
    )
    assert document.records["outage/hall-a-disks"] == Outage("hall-a-disks", ("b-0017", "b-0018"))
    assert document.records["release/spring"] == Release("spring", "2.4.1", (), (0.1, 0.5, 1.0))
    assert [records.decode(records.encode(record)) for record in document.records.values()] == [
        *document.records.values()
    ]


@pytest.mark.parametrize(
    ("text", "position", "words"),
    [
        ("(maintenance (heads (zone-most 1)))", "2:14", "needs (most 3) or (most-part 10 %)"),
        ("(maintenance (heads (most three)))", "2:27", "whole number from 0 to 10000"),
        ("(maintenance (heads (most 1) (mots 2)))", "2:30", "has no part (mots ...)"),
        ("(outage o)", "2:1", "needs (bricks NAME ...) or (heads NAME ...)"),
        ("(outage o (bricks a))", "2:1", "no brick may be out of service: add (maintenance (bricks (most 1)))"),
        (BOUND + "(outage o (bricks a)) (outage p (bricks a))", "2:72", "the brick a is already in outage/o"),
        (BOUND + "(release r)", "2:50", "needs (build NAME)"),
        (BOUND + "(release r (build 2) (word stop))", "2:77", "one of go, halt, back"),
        (BOUND + "(release r (build 2) (settle 1 s))", "2:79", "must be from 3 s to 60 min"),
        (BOUND + "(release r (build 2) (waves 50% 20%))", "2:71", "shares must increase and end with 100 %"),
    ],
)
def test_an_invalid_form_is_reported_with_its_position(text: str, position: str, words: str) -> None:
    errors = read_document(("(hophinge 1)\n" + text).encode()).mistake_lines("f")
    assert len(errors) == 1 and errors[0].startswith(f"f:{position}: ") and words in errors[0], errors


def test_permits_are_durable_and_fencing_tokens_increase_with_each_start(tmp_path: Path) -> None:
    store = ControlStore(tmp_path / "v.db")
    permit_store = MaintenanceStore(store, lambda: 0)
    permit_store.save([ROW], [ReleaseProgress("r", "2", 1, ReleaseStage.ROLLING)])
    permit_store.store_zone("n0", "z0")
    with store.transaction():
        store.write_maintenance(encode_statements([Outage("o", ("b0",))]))
    store.close()
    store = ControlStore(tmp_path / "v.db")
    reopened = MaintenanceStore(store, lambda: 0)
    assert reopened.permits() == [ROW] and reopened.releases() == [ReleaseProgress("r", "2", 1, ReleaseStage.ROLLING)]
    assert reopened.zones(["n0", "n1"]) == {"n0": "z0", "n1": ""} and reopened.statements() == [Outage("o", ("b0",))]
    assert reopened.issuer == permit_store.issuer and reopened.fencing_token > permit_store.fencing_token
    reopened.save([msgspec.structs.replace(ROW, state=PermitState.FREE)], [])
    assert reopened.permits() == []
    store.close()
    store = ControlStore(tmp_path / "v.db", new_epoch=True)
    assert MaintenanceStore(store, lambda: 0).fencing_token > reopened.fencing_token + 900_000
    store.close()


def test_a_fenced_service_cannot_save(tmp_path: Path) -> None:
    old = ControlStore(tmp_path / "v.db")
    fenced = MaintenanceStore(old, lambda: 0)
    with pytest.raises(StoreError, match="another control service uses this store"):
        ControlStore(tmp_path / "v.db")
    (tmp_path / "v.db.lock").unlink()  # as on a file system without locks
    new = ControlStore(tmp_path / "v.db")
    with pytest.raises(FencedError, match="has taken over the store"):
        fenced.save([ROW], [])
    with pytest.raises(FencedError):
        old.record_head("n0", 0)
    current = MaintenanceStore(new, lambda: 0)
    assert current.permits() == []
    current.save([ROW], [])
    assert current.permits() == [ROW]
    old.close()
    new.close()


def test_updates_and_reports_round_trip_and_invalid_ones_are_rejected() -> None:
    update = PermitUpdate("s", 3, 4, {"1.1": "b0"}, {}, ROW, "no room", ("r/0",))
    assert decode_update(decode_response(encode_update(update))) == update
    assert decode_request(
        encode_request(
            DiscoveryRequest(decode_response(encode_update(update)).resource_type, initial_versions={"report": "{}"})
        )
    ).initial_versions == {"report": "{}"}
    entry = Entry("n0", Topic.DRAINS, "1.1/b0", EntryVersion(1, 1), encode_statement(Statement("1.1", "b0", DRAINED)))
    invalid = [
        Entry("n1", Topic.DRAINS, "x", EntryVersion(1, 1), b"\xff"),
        Entry("n2", Topic.DRAINS, "1.2/b0", EntryVersion(1, 1), entry.value),  # the key of another statement
        Entry("n3", Topic.WEIGHTS, "1.1/b0", EntryVersion(1, 1), entry.value),
    ]
    assert statements_by_owner([entry, *invalid]) == {"n0": [Statement("1.1", "b0", DRAINED)]}


class Peers:
    """Replicated entries and a membership view in memory."""

    own_name = "n0"

    def __init__(self) -> None:
        self.own: dict[str, bytes] = {}
        self.others: list[Entry] = []
        self.full = False

    def members(self) -> tuple[Member, ...]:
        return (
            Member("n0", "", 1, MemberState.ALIVE),
            Member("n1", "", 1, MemberState.SUSPECT),
            Member("n2", "", 1, MemberState.DEAD),
            Member("n3", "", 1, MemberState.LEFT),
            Member("c", "", 1, MemberState.ALIVE, role=Role.CONTROL),
        )

    def put(self, topic: Topic, key: str, body: bytes) -> None:
        if self.full:
            raise HophingeError("too many entries")
        self.own[key] = body

    def delete(self, topic: Topic, key: str) -> None:
        self.own.pop(key, None)

    def entries(self, topic: Topic) -> Iterable[Entry]:
        return [*(Entry("n0", topic, key, EntryVersion(1, 1), body) for key, body in self.own.items()), *self.others]


class FillableDisk(Disk):
    full = True

    def write(self, path: Path, data: bytes) -> None:
        if self.full:
            raise OSError(28, "No space left on device")
        super().write(path, data)


def test_a_head_states_drained_only_if_it_is_stored_and_no_other_process_of_the_head_runs(tmp_path: Path) -> None:
    async def main() -> None:
        head = Head("n0", 1, "1", tmp_path / "n0", lambda head, go: None)
        maintenance, peers, disk = head.maintenance, Peers(), FillableDisk()
        assert maintenance is not None
        is_alone = [False]
        maintenance.entries = maintenance.membership = peers
        maintenance.disk, maintenance.is_alone = disk, lambda: is_alone[0]
        task = asyncio.create_task(maintenance.run())
        response = decode_response(encode_update(PermitUpdate("s", 1, 1, {"1.1": "s-0"}, {}, None, "", ("r/0",))))
        maintenance._apply_update(response)
        assert head.rotation.is_ejected("s-0") and "halt/r/0" in peers.own  # before any list has the backend
        await until(lambda: any("cannot save the ejections" in line for line in head.log))
        assert "1.1/s-0" not in peers.own and maintenance.report().statements == ()
        disk.full = False
        await until(lambda: bool(maintenance.stored_drains))
        maintenance.check_drains()
        assert "1.1/s-0" not in peers.own  # the previous process may have requests in flight there
        is_alone[0] = True
        await until(lambda: "1.1/s-0" in peers.own)
        report = maintenance.report()
        assert report.statements == (Statement("1.1", "s-0", DRAINED),) and report.is_clustered
        assert (report.live_heads, report.departed_heads, report.peer_statements) == (("n0", "n1", "n2"), ("n3",), {})
        peers.full = True
        maintenance._apply_update(
            decode_response(encode_update(PermitUpdate("s", 1, 2, {"1.1": "s-0", "1.2": "s-1"}, {})))
        )
        await until(lambda: any("cannot publish" in line for line in head.log))
        assert len(maintenance.report().statements) == 2 and "halt/r/0" not in peers.own
        maintenance._apply_update(decode_response(encode_update(PermitUpdate("other", 9, 9))))
        assert any("permit-issuer-unknown" in line for line in head.log) and head.rotation.is_ejected("s-1")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        restarted = Head("n0", 1, "1", tmp_path / "n0", lambda head, go: None)
        assert restarted.maintenance is not None
        restarted.maintenance.begin()
        assert restarted.rotation.is_ejected("s-0") and restarted.rotation.is_ejected("s-1")

    run(main())


def test_a_halt_received_by_a_peer_prevents_a_begin() -> None:
    holder = PermitHolder(7, "1")
    granted = msgspec.structs.replace(ROW, state=PermitState.GRANTED, process=0)
    holder.apply_update(0, PermitUpdate("s", 1, 1, own_permit=granted))
    assert holder.permit_to_begin(1) == "1.1"
    assert holder.permit_to_begin(1, {"r/0"}) == ""
