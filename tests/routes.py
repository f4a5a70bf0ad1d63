"""Settings, backends, tables and routers for tests of routing."""

from __future__ import annotations

from dataclasses import replace

from hophinge.core.interface import Arrival, Bounds, ListKind, NodeEntry, NodeList, Phase, WaitAtGate
from hophinge.routing.document_reader import read_document
from hophinge.routing.admitted_request import AdmittedRequest
from hophinge.routing.records import Record
from hophinge.routing.router import Router
from hophinge.routing.capabilities import HeadCapabilities, validate
from hophinge.routing.routing_table import EMPTY_TABLE, RoutingTable
from tests.test_choice import MS, SAFE, SETTINGS, T0

S = 1_000_000
NAMED = replace(
    SETTINGS,
    zones=("hall-a", "hall-b"),
    kinds=("std",),
    classes=tuple(replace(klass, name=f"class-{at}") for at, klass in enumerate(SETTINGS.classes)),
    plans=tuple(replace(plan, name=f"plan-{at}") for at, plan in enumerate(SETTINGS.plans)),
)
FACTS = HeadCapabilities.from_settings(NAMED)


def backend(number: int, zone: int, phase: Phase = Phase.ON, shard: int | None = None) -> NodeEntry:
    return NodeEntry(f"n{number}", zone, number if shard is None else shard, phase, 1.0, 0)


def table(
    text: str,
    version: tuple[int, int] = (1, 1),
    of: RoutingTable = EMPTY_TABLE,
    before: dict[str, Record] | None = None,
) -> RoutingTable:
    document = read_document(("(hophinge 1)" + text).encode())
    assert document.mistake_lines("f") == []
    gone: dict[str, Record | None] = dict.fromkeys((before or {}).keys() - document.records.keys())
    assert validate(document.records, document.records, FACTS) == []
    return of.with_changes(version, {**document.records, **gone}, before or {})


def ask(
    name: str,
    tenant: str = "",
    shard: int = -1,
    units: float = 2.0,
    klass: int = SAFE,
    volume: str = "00000000000000aa",
) -> Arrival:
    return Arrival(name, units, tenant or volume, klass, shard, 1, name, 2000 * MS, klass != SAFE, 0)


def router(text: str, *entries: NodeEntry) -> Router:
    made = Router(NAMED)
    made.find_owner = lambda volume: volume if volume in ("alba", "other") else ""
    made.nodes(T0, NodeList(ListKind.FULL, entries or tuple(backend(at, at // 3) for at in range(6))))
    made.activate(table(text), T0)
    return made


def within(bounds: Bounds | WaitAtGate | int, shard: int = -1) -> set[str]:
    assert isinstance(bounds, AdmittedRequest)
    return {f"n{at}" for at in range(12) if bounds.allows(f"n{at}", shard)}


POOLS = "(pool a (zones hall-a) (at-least 2 bricks)) (pool b (zones hall-b))"
