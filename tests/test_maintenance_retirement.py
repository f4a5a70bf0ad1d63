"""Retired heads: what they are exempt from, when that is rejected, what a return undoes; older services."""

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


def said(issuer: PermitIssuer) -> HeadReport:
    permit = issuer.permits.for_target(PermitKind.BACKEND, "b0")
    assert permit is not None
    return HeadReport(1, statements=(Statement(permit.id, "b0", DRAINED),), backends=BACKENDS)


def test_a_retired_head_does_not_block_a_drain_until_it_returns() -> None:
    world = World(1, 2, 2, RULE)
    issuer = PermitIssuer("store", 9, (), (), {"n0": "", "n1": ""}, MemoryStore(world), world.now)
    forms: list[Record] = [RULE, OUTAGE]
    issuer.apply_configuration(forms, (), {})
    issuer.head_connected("n0", True, 2)
    issuer.apply_report("n0", HeadReport(1, backends=BACKENDS))
    issuer.tick(world.now)
    # n0's cluster still knows n1, and considers it dead, which is no consent.
    issuer.apply_report(
        "n0",
        HeadReport(
            1, statements=said(issuer).statements, backends=BACKENDS, live_heads=("n0", "n1"), is_clustered=True
        ),
    )
    issuer.tick(world.now + S)
    told = maintenance_status(issuer, lambda name: 7)
    assert (told["permits"][0]["state"], told["permits"][0]["missing"]) == ("draining", ["n1"])
    assert told["absent"][0]["name"] == "n1" and told["absent"][0]["since_ms"] == 7
    forms = [MaintenanceRule(None, DisruptionBudget(1, -1.0, -1), retired_heads=("n1",)), OUTAGE]
    issuer.apply_configuration(forms, (), {})
    issuer.tick(world.now + 2 * S)
    assert (
        issuer.permits.of_kind(PermitKind.BACKEND)[0].state is PermitState.OUT
        and maintenance_status(issuer)["absent"] == []
    )
    forms = without_retired(forms, "n1")
    assert forms == [RULE, OUTAGE] and without_retired(forms, "n0") == forms
    issuer.apply_configuration(forms, (), {})
    issuer.head_connected("n1", True, 2)
    word = issuer.next_update("n1")
    assert word is not None and list(word.ejected.values()) == ["b0"]  # its first update
    told = maintenance_status(issuer)
    assert (told["permits"][0]["state"], told["permits"][0]["missing"]) == ("draining again", ["n1"])
    issuer.apply_report("n1", said(issuer))
    assert maintenance_status(issuer)["permits"][0]["state"] == "drained"


def test_retiring_a_connected_head_is_rejected_with_its_position() -> None:
    text = (
        b"(hophinge 1)\n(pool all (zones z)) (route (pools all))\n(maintenance (bricks (most 1))\n  (retired n7 n8))\n"
    )
    document = read_document(text)
    assert not document.mistakes
    rows, place = list(document.records.values()), document.forms["maintenance/*"]
    assert retirement_errors(rows, {"n1"}, place, "words.sexp") == []
    (line,) = retirement_errors(rows, {"n8", "n1"}, place, "words.sexp")
    assert line.startswith("words.sexp:4:15: n8 is not gone") and "remove it from (retired ...)" in line


def test_a_head_sends_list_changes_only_to_a_service_that_accepts_them(tmp_path: Path) -> None:
    async def main() -> None:
        upkeep = Head("n0", 1, "1", tmp_path / "n0", lambda head, go: None).upkeep
        assert upkeep is not None

        def told(word: PermitUpdate) -> HeadReport:
            upkeep._apply_update(decode_response(encode_update(word)))
            (request,) = upkeep._followup_requests(True)
            return msgspec.json.decode(request.initial_versions[REPORT_KEY], type=HeadReport)

        upkeep.ejections.apply_list(NodeList(ListKind.FULL, (NodeEntry("s-0", 0, 0, Phase.ON, 1.0, 0),)))
        assert upkeep._followup_requests(True) == []  # no update yet
        older = told(PermitUpdate("s", 1, 1))
        assert list(older.backends) == ["s-0"] and older.list_changes is None
        first = told(PermitUpdate("s", 2, 1, accepts_list_changes=True))  # the service was replaced by a newer one
        assert not first.backends and first.list_changes is not None and first.list_changes.backends.is_full
        second = told(PermitUpdate("s", 2, 2, accepts_list_changes=True)).list_changes
        assert second is not None and (second.sequence, second.backends.is_full, second.backends.rows) == (2, False, {})
        upkeep._initial_requests([])
        assert told(PermitUpdate("s", 3, 1)).backends.keys() == {"s-0"}  # and by an older one again

    run(main())
