"""The control service's side of one stream, without I/O: what its head holds, and what is to be sent to it.

A version goes out as the difference to what the head holds: records first, in parts, the version itself last. One is
on its way at a time; of versions that come meanwhile only the newest is sent. One that its head turned down is not
sent again on this stream; a new stream offers it once more, as the head may be another build by then.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from msgspec import Struct

from hophinge.control.wire import (
    VERSION_NAME,
    Kind,
    Order,
    Request,
    Resource,
    Response,
    Version,
    chunks,
    encode_response,
    order_of,
    record_body,
    version_resource,
    version_text,
)
from hophinge.routing import records

PART = 500  # records in one response: some 100 KB; a head reads one in one turn of its loop
MAX_CACHED = 16  # differences kept; heads in step share them


@dataclass(frozen=True, eq=False)
class Snapshot:
    """A whole version: its records by name, each with its version's text, fingerprint and JSON."""

    version: Version
    rows: Mapping[str, tuple[str, int, bytes]]

    @property
    def order(self) -> Order:
        """Tell its epoch and number."""
        return self.version.order

    @classmethod
    def made(cls, order: Order, bodies: Mapping[str, bytes], before: Snapshot | None, pushed_ms: int) -> Snapshot:
        """Make a version of records; those that are as they were keep their text and share their bytes."""
        rows: dict[str, tuple[str, int, bytes]] = {}
        for name, body in bodies.items():
            old = before.rows.get(name) if before is not None else None
            if old is not None and old[2] == body:
                rows[name] = old
            else:
                mark = records.fingerprint(name, body)
                rows[name] = version_text(order, mark), mark, body
        total = sum(mark for _, mark, _ in rows.values()) % records.SUM
        return cls(Version(order, len(rows), total, pushed_ms), rows)

    def difference(self, held: Mapping[str, str]) -> tuple[list[Resource], list[str]]:
        """Tell what a head that holds these versions of records lacks, and what it has too much."""
        news = [
            Resource(name, text, record_body(body))
            for name, (text, _, body) in self.rows.items()
            if held.get(name) != text
        ]
        return news, [name for name in held if name not in self.rows]


def rebuilt(
    order: Order, bodies: Mapping[str, bytes], changed_at: Mapping[str, Order], before: Snapshot | None, pushed_ms: int
) -> Snapshot:
    """Make a version of a store's rows, beside the one before it."""
    rows: dict[str, tuple[str, int, bytes]] = {}
    old = before.rows if before is not None else {}
    for name, body in bodies.items():
        row = old.get(name)
        if row is None or row[2] != body:
            mark = records.fingerprint(name, body)
            row = version_text(changed_at[name], mark), mark, body
        rows[name] = row
    total = sum(mark for _, mark, _ in rows.values()) % records.SUM
    return Snapshot(Version(order, len(rows), total, pushed_ms), rows)


def name_of(order: Order) -> str:
    """Tell a version's order as staff write it."""
    return f"{order[0]}.{order[1]}" if any(order) else "none"


class Parts:
    """Responses as bytes for the step from one version to another, made once for all heads that take it."""

    def __init__(self) -> None:
        self.cached: OrderedDict[tuple[Version | None, Version], tuple[bytes, ...]] = OrderedDict()
        self.made = 0

    def step(self, before: Snapshot | None, after: Snapshot) -> tuple[bytes, ...]:
        """Tell the responses of a step; a None before is a head that holds nothing."""
        key = before.version if before is not None else None, after.version
        parts = self.cached.get(key)
        if parts is None:
            held = {name: row[0] for name, row in before.rows.items()} if before is not None else {}
            parts = self.write(after, *after.difference(held))
            self.cached[key] = parts
            while len(self.cached) > MAX_CACHED:
                self.cached.popitem(last=False)
        return parts

    def write(self, after: Snapshot, news: Iterable[Resource], removed: list[str]) -> tuple[bytes, ...]:
        """Write a step: records in parts, then the version. The same nonces at each head, unlike within a stream."""
        self.made += 1
        name = f"{after.order[0]}.{after.order[1]}"
        parts = [
            encode_response(Response(Kind.RECORD, f"{name}/{at}", part, tuple(removed) if not at else ()))
            for at, part in enumerate(chunks(news, PART))
        ]
        if removed and not parts:
            parts = [encode_response(Response(Kind.RECORD, f"{name}/0", (), tuple(removed)))]
        return (*parts, encode_response(Response(Kind.VERSION, name, (version_resource(after.version),))))


class Acked(Struct, frozen=True):
    """A head has a version in force."""

    order: Order


class TurnedDown(Struct, frozen=True):
    """A head has turned a version down."""

    order: Order
    reason: str


class Subscribed(Struct, frozen=True):
    """A head has said who it is and what it runs; (0, 0): nothing."""

    head: str
    runs: Order


Event = Acked | TurnedDown | Subscribed


@dataclass
class Publisher:
    """One stream."""

    parts: Parts
    head: str = ""
    figures: Mapping[str, float] = field(default_factory=dict)
    held: Mapping[str, str] | None = None  # as the head told it, until the first version went out
    base: Snapshot | None = None  # then: the version that it was last sent
    on_way: Snapshot | None = None
    target: Snapshot | None = None
    refused: set[Order] = field(default_factory=set)
    runs: Order = (0, 0)
    subscribed: set[Kind] = field(default_factory=set)
    sent: int = 0

    def heard(self, request: Request) -> tuple[list[Event], list[bytes]]:
        """Take a head's request; tell what it means and what is to be sent."""
        events: list[Event] = []
        self.figures = request.figures or self.figures
        if request.subscribe and request.kind not in self.subscribed:
            self.subscribed.add(request.kind)
            if request.kind is Kind.RECORD:
                self.head, self.held = request.head, dict(request.initial)
            else:
                self.runs = _runs(request.initial)
            if len(self.subscribed) == 2:
                events.append(Subscribed(self.head, self.runs))
        elif request.kind is Kind.VERSION and self.on_way is not None and request.nonce == _nonce(self.on_way.order):
            order, self.on_way = self.on_way.order, None
            if request.error:
                self.refused.add(order)
                events.append(TurnedDown(order, request.error))
            else:
                self.runs = order
                events.append(Acked(order))
        return events, self._next()

    def aim(self, target: Snapshot | None) -> list[bytes]:
        """Take the version that the head is to run; tell what is to be sent."""
        self.target = target
        return self._next()

    def _next(self) -> list[bytes]:
        target = self.target
        if target is None or self.on_way is not None or len(self.subscribed) < 2:
            return []
        if target.order in self.refused or (target.order == self.runs and self.held is None):
            return []
        if self.held is not None:
            parts = (
                self.parts.write(target, *target.difference(self.held)) if self.held else self.parts.step(None, target)
            )
            self.held = None
        elif self.base is target:
            return []
        else:
            parts = self.parts.step(self.base, target)
        self.base = self.on_way = target
        self.sent += 1
        return list(parts)


def _nonce(order: Order) -> str:
    return f"{order[0]}.{order[1]}"


def _runs(initial: Mapping[str, str]) -> Order:
    return order_of(initial.get(VERSION_NAME, ""))
