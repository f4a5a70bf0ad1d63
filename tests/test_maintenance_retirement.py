"""Retired heads: their exemption, its rejection, and its end with their return; reports to older services."""

from __future__ import annotations

from pathlib import Path

import msgspec

from hophinge.control.maintenance_wire import REPORT_KEY, encode_update
from hophinge.control.wire import decode_response
from hophinge.core.interface import ListKind, NodeEntry, NodeList, Phase
from hophinge.maintenance.issuer import PermitIssuer
from hophinge.maintenance.messages import BackendListing, HeadReport, PermitUpdate
from hophinge.maintenance.permits import PermitKind, PermitState
from hophinge.maintenance.retirement import retirement_errors, without_retired
from hophinge.maintenance.statements import DRAINED, Statement
from hophinge.maintenance.status import maintenance_status
from hophinge.routing.maintenance_records import MaintenanceRule, DisruptionBudget, Outage
from hophinge.routing.document_reader import read_document
from hophinge.routing.records import Record
from tests.maintenance_process import Head
from tests.maintenance_world import MemoryStore, S, World
from tests.stand_in import run

RULE = MaintenanceRule(None, DisruptionBudget(1, -1.0, -1))
OUTAGE = Outage("o", ("b0",))
BACKENDS = {"b0": BackendListing("", "", True), "b1": BackendListing("", "", True)}


def drained_report(issuer: PermitIssuer) -> HeadReport:
    permit = issuer.permits.for_target(PermitKind.BACKEND, "b0")
    assert permit is not None
    return HeadReport(1, statements=(Statement(permit.id, "b0", DRAINED),), backends=BACKENDS)


def test_a_retired_head_does_not_block_a_drain_until_it_returns() -> None:
    world = World(1, 2, 2, RULE)
    issuer = PermitIssuer("store", 9, (), (), {"n0": "", "n1": ""}, MemoryStore(world), world.now)
    records: list[Record] = [RULE, OUTAGE]
    issuer.apply_configuration(records, (), {})
    issuer.head_connected("n0", True, 2)
    issuer.apply_report("n0", HeadReport(1, backends=BACKENDS))
    issuer.tick(world.now)
    # The members of n0's cluster include n1, which they consider dead; this is no consent.
    issuer.apply_report(
        "n0",
        HeadReport(
            1,
            statements=drained_report(issuer).statements,
            backends=BACKENDS,
            live_heads=("n0", "n1"),
            is_clustered=True,
        ),
    )
    issuer.tick(world.now + S)
    status = maintenance_status(issuer, lambda name: 7)
    assert (status["permits"][0]["state"], status["permits"][0]["missing"]) == ("draining", ["n1"])
    assert status["absent"][0]["name"] == "n1" and status["absent"][0]["since_ms"] == 7
    records = [MaintenanceRule(None, DisruptionBudget(1, -1.0, -1), retired_heads=("n1",)), OUTAGE]
    issuer.apply_configuration(records, (), {})
    issuer.tick(world.now + 2 * S)
    assert (
        issuer.permits.of_kind(PermitKind.BACKEND)[0].state is PermitState.OUT
        and maintenance_status(issuer)["absent"] == []
    )
    records = without_retired(records, "n1")
    assert records == [RULE, OUTAGE] and without_retired(records, "n0") == records
    issuer.apply_configuration(records, (), {})
    issuer.head_connected("n1", True, 2)
    update = issuer.next_update("n1")
    assert update is not None and list(update.ejected.values()) == ["b0"]  # the drain is in its first update
    status = maintenance_status(issuer)
    assert (status["permits"][0]["state"], status["permits"][0]["missing"]) == ("draining again", ["n1"])
    issuer.apply_report("n1", drained_report(issuer))
    assert maintenance_status(issuer)["permits"][0]["state"] == "drained"


def test_retiring_a_connected_head_is_rejected_with_its_position() -> None:
    text = (
        b"(hophinge 1)\n(pool all (zones z)) (route (pools all))\n(maintenance (bricks (most 1))\n  (retired n7 n8))\n"
    )
    document = read_document(text)
    assert not document.mistakes
    records, form = list(document.records.values()), document.forms["maintenance/*"]
    assert retirement_errors(records, {"n1"}, form, "words.sexp") == []
    (line,) = retirement_errors(records, {"n8", "n1"}, form, "words.sexp")
    assert line.startswith("words.sexp:4:15: n8 is not gone") and "remove it from (retired ...)" in line


def test_a_head_sends_list_changes_only_to_a_service_that_accepts_them(tmp_path: Path) -> None:
    async def main() -> None:
        maintenance = Head("n0", 1, "1", tmp_path / "n0", lambda head, go: None).maintenance
        assert maintenance is not None

        def report_after(update: PermitUpdate) -> HeadReport:
            maintenance._apply_update(decode_response(encode_update(update)))
            (request,) = maintenance._followup_requests(True)
            return msgspec.json.decode(request.initial_versions[REPORT_KEY], type=HeadReport)

        maintenance.ejections.apply_list(NodeList(ListKind.FULL, (NodeEntry("s-0", 0, 0, Phase.ON, 1.0, 0),)))
        assert maintenance._followup_requests(True) == []  # no update yet
        older = report_after(PermitUpdate("s", 1, 1))
        assert list(older.backends) == ["s-0"] and older.list_changes is None
        # The service is replaced by one that accepts changes.
        first = report_after(PermitUpdate("s", 2, 1, accepts_list_changes=True))
        assert not first.backends and first.list_changes is not None and first.list_changes.backends.is_full
        second = report_after(PermitUpdate("s", 2, 2, accepts_list_changes=True)).list_changes
        assert second is not None and (second.sequence, second.backends.is_full, second.backends.rows) == (2, False, {})
        maintenance._initial_requests([])
        # It is replaced again by one that does not.
        assert report_after(PermitUpdate("s", 3, 1)).backends.keys() == {"s-0"}

    run(main())
