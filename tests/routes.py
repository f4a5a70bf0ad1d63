"""Builders of settings, backends, routing tables and routers for the routing tests."""

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
NAMED_SETTINGS = replace(
    SETTINGS,
    zones=("hall-a", "hall-b"),
    kinds=("std",),
    classes=tuple(replace(klass, name=f"class-{index}") for index, klass in enumerate(SETTINGS.classes)),
    plans=tuple(replace(plan, name=f"plan-{index}") for index, plan in enumerate(SETTINGS.plans)),
)
CAPABILITIES = HeadCapabilities.from_settings(NAMED_SETTINGS)


def node_entry(number: int, zone: int, phase: Phase = Phase.ON, shard: int | None = None) -> NodeEntry:
    return NodeEntry(f"n{number}", zone, number if shard is None else shard, phase, 1.0, 0)


def make_table(
    text: str,
    version: tuple[int, int] = (1, 1),
    base: RoutingTable = EMPTY_TABLE,
    previous: dict[str, Record] | None = None,
) -> RoutingTable:
    document = read_document(("(hophinge 1)" + text).encode())
    assert document.mistake_lines("f") == []
    removed: dict[str, Record | None] = dict.fromkeys((previous or {}).keys() - document.records.keys())
    assert validate(document.records, document.records, CAPABILITIES) == []
    return base.with_changes(version, {**document.records, **removed}, previous or {})


def make_arrival(
    name: str,
    tenant: str = "",
    shard: int = -1,
    units: float = 2.0,
    klass: int = SAFE,
    volume: str = "00000000000000aa",
) -> Arrival:
    return Arrival(name, units, tenant or volume, klass, shard, 1, name, 2000 * MS, klass != SAFE, 0)


def make_router(text: str, *entries: NodeEntry) -> Router:
    router = Router(NAMED_SETTINGS)
    router.find_owner = lambda volume: volume if volume in ("alba", "other") else ""
    router.nodes(T0, NodeList(ListKind.FULL, entries or tuple(node_entry(index, index // 3) for index in range(6))))
    router.activate(make_table(text), T0)
    return router


def allowed_backends(bounds: Bounds | WaitAtGate | int, shard: int = -1) -> set[str]:
    assert isinstance(bounds, AdmittedRequest)
    return {f"n{index}" for index in range(12) if bounds.allows(f"n{index}", shard)}


POOLS = "(pool a (zones hall-a) (at-least 2 bricks)) (pool b (zones hall-b))"
