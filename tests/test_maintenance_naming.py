"""A head that is named as gone for good: whom that lets off, where it is refused, and what its return undoes."""

from __future__ import annotations

from hophinge.maintenance.coordinator import Coordinator
from hophinge.maintenance.drains import DRAINED, Statement
from hophinge.maintenance.naming import refused, taken_back
from hophinge.maintenance.permits import Kind, State
from hophinge.maintenance.shown import shown
from hophinge.maintenance.words import Listed, Report
from hophinge.routing.bounds import Maintenance, Most, Outage
from hophinge.routing.forms import read
from hophinge.routing.records import Record
from tests.maintenance_world import MemoryStore, S, World

RULE = Maintenance(None, Most(1, -1.0, -1))
OUTAGE = Outage("o", ("b0",))
BRICKS = {"b0": Listed("", "", True), "b1": Listed("", "", True)}


def said(issuer: Coordinator) -> Report:
    permit = issuer.permits.of(Kind.BRICK, "b0")
    assert permit is not None
    return Report(1, statements=(Statement(permit.id, "b0", DRAINED),), bricks=BRICKS)


def test_a_head_named_as_gone_lets_a_drain_end_and_its_return_holds_it_up_again() -> None:
    world = World(1, 2, 2, RULE)
    issuer = Coordinator("store", 9, (), (), {"n0": "", "n1": ""}, MemoryStore(world), world.now)
    forms: list[Record] = [RULE, OUTAGE]
    issuer.document(forms, (), {})
    issuer.connected("n0", True, 2)
    issuer.report("n0", Report(1, bricks=BRICKS))
    issuer.tick(world.now)
    # n0's cluster still knows n1, and holds it for dead, which is no yes.
    issuer.report("n0", Report(1, statements=said(issuer).statements, bricks=BRICKS, live=("n0", "n1"), clustered=True))
    issuer.tick(world.now + S)
    told = shown(issuer, lambda name: 7)
    assert (told["permits"][0]["state"], told["permits"][0]["missing"]) == ("draining", ["n1"])
    assert told["absent"][0]["name"] == "n1" and told["absent"][0]["since_ms"] == 7
    forms = [Maintenance(None, Most(1, -1.0, -1), retired=("n1",)), OUTAGE]
    issuer.document(forms, (), {})
    issuer.tick(world.now + 2 * S)
    assert issuer.permits.all(Kind.BRICK)[0].state is State.OUT and shown(issuer)["absent"] == []
    forms = taken_back(forms, "n1")
    assert forms == [RULE, OUTAGE] and taken_back(forms, "n0") == forms
    issuer.document(forms, (), {})
    issuer.connected("n1", True, 2)
    word = issuer.word("n1")
    assert word is not None and list(word.out.values()) == ["b0"]       # the first that it hears
    told = shown(issuer)
    assert (told["permits"][0]["state"], told["permits"][0]["missing"]) == ("draining again", ["n1"])
    issuer.report("n1", said(issuer))
    assert shown(issuer)["permits"][0]["state"] == "drained"


def test_a_head_that_is_here_is_not_named_as_gone_and_the_mistake_has_its_place() -> None:
    text = (b"(hophinge 1)\n(pool all (zones z)) (route (pools all))\n"
            b"(maintenance (bricks (most 1))\n  (retired n7 n8))\n")
    document = read(text)
    assert not document.mistakes
    rows, place = list(document.records.values()), document.places["maintenance/*"]
    assert refused(rows, {"n1"}, place) == []
    line, = refused(rows, {"n8", "n1"}, place, "words.sexp")
    assert line.startswith("words.sexp:4:15: n8 is not gone") and "take it out of (retired ...)" in line
