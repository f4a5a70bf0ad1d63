"""Reads the records of a configuration document, with checks that need nothing but the document itself."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from hophinge.routing import upkeep
from hophinge.routing.document import MAX_MISTAKES, Atom, Form, Mistake, Node, decode, parse
from hophinge.routing.fields import VOLUME, Fields as Fields
from hophinge.routing.records import (
    Eject,
    Limit,
    Plan,
    Pool,
    Record,
    Retries,
    Rollout,
    Route,
    Spare,
    Tenant,
)

VERSION = "1"  # of the document's form: (hophinge 1)
MAX_ATTEMPTS = 10
MIN_PACE = 64 * 1024  # bytes/s; fronts cut clients off that are slower than a quarter of it


@dataclass
class Document:
    """A document as read: its records by name, where each stands, and all mistakes."""

    records: dict[str, Record] = field(default_factory=dict)
    places: dict[str, Form] = field(default_factory=dict)
    mistakes: list[Mistake] = field(default_factory=list)

    def lines(self, name: str) -> list[str]:
        """Tell the mistakes as lines of a file of this name, in its order."""
        return [mistake.at(name) for mistake in sorted(set(self.mistakes))[:MAX_MISTAKES]]


def _plan(part: Fields) -> Record:
    return Plan(part.name("plan"), part.quantity("reserve", "rate", -1.0), part.number("weight", -1.0, 0.0, 1e6))


def _pool(part: Fields) -> Record:
    pool = Pool(
        part.name("pool"),
        part.names("zones", "zone"),
        part.names("kinds", "machine kind"),
        part.names("bricks", "brick"),
        int(part.quantity("at-least", "bricks", 1, 1, 1e6)),
        int(part.quantity("open", "requests", 0, 1, 1e6)),
    )
    part.whole(
        bool(pool.zones or pool.kinds or pool.backends),
        "a pool needs (zones ...), (kinds ...) or (bricks ...) to tell which bricks are its own",
    )
    return pool


def _tenant(part: Fields) -> Record:
    return Tenant(
        part.name("tenant"),
        part.names("volumes", "volume", VOLUME),
        part.quantity("reserve", "rate", 0.0),
        part.number("weight", 1.0, 0.001, 1e6),
        int(part.quantity("queue", "requests", 0, 1, 1e6)),
        int(part.quantity("connections", "connections", 0, 1, 1e6)),
    )


def _route(part: Fields) -> Record:
    part.nameless()
    route = Route(part.scope(), part.names("pools", "pool"), part.choice("else", ("refuse", "any")))
    part.whole(bool(route.pools), "a route needs (pools NAME ...), first choice first")
    return route


def _limit(part: Fields) -> Record:
    part.nameless()
    limit = Limit(
        part.scope(),
        part.quantity("rate", "rate", 0.0, 0.001),
        part.time("burst"),
        int(part.quantity("open", "requests", 0, 1, 1e9)),
        part.quantity("in", "byte rate", 0.0, MIN_PACE),
        part.quantity("out", "byte rate", 0.0, MIN_PACE),
    )
    part.whole(
        bool(limit.rate or limit.open or limit.bytes_in or limit.bytes_out),
        "a limit needs (rate 120 units/s), (open 64 requests), (in 4 MiB/s) or (out 4 MiB/s)",
    )
    part.whole(
        bool(limit.rate or not limit.burst_us),
        "(burst ...) is saved up from a rate; add (rate 120 units/s) or remove it",
    )
    return limit


def _retries(part: Fields) -> Record:
    part.nameless()
    return Retries(
        part.one("class", "class"),
        int(part.number("attempts", 0, 1, MAX_ATTEMPTS, whole=True)),
        part.quantity("budget", "share", -1.0, most=1.0),
        int(part.quantity("free", "requests", 0, 0, 1e6)),
        part.time("second-copy"),
    )


def _eject(part: Fields) -> Record:
    part.nameless()
    return Eject(
        part.quantity("errors", "share", 0.5, 0.01, 1.0, needed=True),
        part.time("over", 2_000_000, 100_000, needed=True),
        part.time("rest", 1_000_000, 1000, needed=True),
        part.quantity("at-most", "share", 0.3, 0.0, 1.0, needed=True),
        int(part.quantity("least", "requests", 5, 1, 1e6)),
    )


def _spare(part: Fields) -> Record:
    part.nameless()
    return Spare(
        part.quantity("depth", "units", 1.0, 1.0, 1e6, needed=True),
        part.time("wait", 50_000, 1000),
        int(part.quantity("queue", "requests", 256, 1, 1e6)),
        part.choice("leases", ("off", "on")) == "on",
        part.quantity("capacity", "rate", 0.0, 0.001),
    )


def _rollout(part: Fields) -> Record:
    part.nameless()
    heads, waves = part.names("first", "head"), part.shares("waves")
    return Rollout(
        heads,
        waves,
        part.time("hold"),
        part.time("patience", 10_000_000, 1000),
        part.quantity("failures", "share", 1.0, most=1.0),
        part.choice("on-trouble", ("hold", "rollback")),
    )


READERS: dict[str, Callable[[Fields], Record]] = {
    "plan": _plan,
    "pool": _pool,
    "tenant": _tenant,
    "route": _route,
    "limit": _limit,
    "retries": _retries,
    "eject": _eject,
    "spare": _spare,
    "rollout": _rollout,
    **upkeep.READERS,
}


def read(raw: bytes) -> Document:
    """Read a document; its mistakes stand in the result, none is raised."""
    document = Document()
    text, document.mistakes = decode(raw)
    if document.mistakes:
        return document
    nodes, document.mistakes = parse(text)
    if nodes or not document.mistakes:
        _forms(nodes, document)
    return document


def _forms(nodes: list[Node], document: Document) -> None:
    def wrong(node: Node, text: str) -> None:
        if len(document.mistakes) < 10 * MAX_MISTAKES:
            document.mistakes.append(Mistake(node.line, node.column, text))

    if not nodes or not isinstance(nodes[0], Form) or nodes[0].word != "hophinge":
        wrong(nodes[0] if nodes else Atom("", 1, 1), f"a document begins with (hophinge {VERSION})")
    for at, node in enumerate(nodes):
        if isinstance(node, Atom):
            wrong(node, f"{node.text!r} stands outside of any form; put it into one or remove it")
        elif node.word == "hophinge":
            words = [str(item) for item in node.items[1:]]
            if at:
                wrong(node, f"(hophinge {VERSION}) stands once, at the beginning")
            elif words != [VERSION]:
                wrong(node, f"this program reads (hophinge {VERSION}), not {' '.join(words) or 'no version'}")
        elif node.word not in READERS:
            wrong(
                node,
                f"{node.word!r} is no form; there are {', '.join(READERS)}"
                if node.word
                else "a form begins with its word, like (pool hall-a (zones hall-a))",
            )
        else:
            known = len(document.mistakes)
            part = Fields(node, wrong)
            record = READERS[node.word](part)
            part.end()
            if record.key in document.records:
                if len(document.mistakes) == known:
                    first = document.places[record.key]
                    wrong(node, f"{record.key} is given twice, first in line {first.line}; keep one")
            else:
                document.records[record.key], document.places[record.key] = record, node
    for key, text in faults(document.records.values(), document.records):
        wrong(document.places[key], text)


def faults(looked_at: Iterable[Record], records: Mapping[str, Record]) -> list[tuple[str, str]]:
    """Tell what the records looked at get wrong about the others, by name: (name, mistake)."""
    found = []
    owners: dict[str, str] = {}
    for record in looked_at:
        if isinstance(record, Route):
            found += [
                (record.key, f"the pool {pool} is nowhere defined; add (pool {pool} ...) or name another")
                for pool in record.pools
                if f"pool/{pool}" not in records
            ]
        elif isinstance(record, Tenant):
            for volume in record.volumes:
                if volume in owners:
                    found.append(
                        (
                            record.key,
                            f"the volume {volume} belongs to {owners[volume]} already; a volume has one tenant",
                        )
                    )
                owners.setdefault(volume, record.name)
    return found + upkeep.faults(list(looked_at), records)
