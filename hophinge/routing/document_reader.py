"""Reader of the service document: its records, and all mistakes that can be found from the document alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from hophinge.routing import maintenance_reader
from hophinge.routing.form_reader import VOLUME_NAME
from hophinge.routing.form_reader import FormReader as FormReader
from hophinge.routing.records import (
    EjectionRule,
    Limit,
    PlanOverride,
    Pool,
    Record,
    RecordMistake,
    RetryRule,
    RolloutRule,
    Route,
    SpareSharing,
    TenantRule,
)
from hophinge.routing.s_expressions import MAX_MISTAKES, Atom, Form, Mistake, Node, decode_text, parse

HEADER = "hophinge"
FORMAT_VERSION = "1"  # a document must begin with (hophinge 1)
MAX_ATTEMPTS = 10
MIN_BYTE_RATE = 64 * 1024  # bytes/s; clients that transfer at less than a quarter of it are disconnected


@dataclass
class Document:
    """A parsed document: its records and the forms that define them, by record key, and all mistakes."""

    records: dict[str, Record] = field(default_factory=dict)
    forms: dict[str, Form] = field(default_factory=dict)
    mistakes: list[Mistake] = field(default_factory=list)

    def mistake_lines(self, name: str) -> list[str]:
        """Return the mistakes as `name:line:column: text`, sorted by position and at most `MAX_MISTAKES` of them."""
        return [mistake.located_in(name) for mistake in sorted(set(self.mistakes))[:MAX_MISTAKES]]


def _plan(reader: FormReader) -> Record:
    return PlanOverride(
        reader.read_name("plan"),
        reader.read_quantity("reserve", "rate", -1.0),
        reader.read_number("weight", -1.0, 0.0, 1e6),
    )


def _pool(reader: FormReader) -> Record:
    pool = Pool(
        reader.read_name("pool"),
        reader.read_names("zones", "zone"),
        reader.read_names("kinds", "machine kind"),
        reader.read_names("bricks", "brick"),
        int(reader.read_quantity("at-least", "bricks", 1, 1, 1e6)),
        int(reader.read_quantity("open", "requests", 0, 1, 1e6)),
    )
    reader.require(
        bool(pool.zones or pool.kinds or pool.backends),
        "a pool needs (zones ...), (kinds ...) or (bricks ...) to select its bricks",
    )
    return pool


def _tenant(reader: FormReader) -> Record:
    return TenantRule(
        reader.read_name("tenant"),
        reader.read_names("volumes", "volume", VOLUME_NAME),
        reader.read_quantity("reserve", "rate", 0.0),
        reader.read_number("weight", 1.0, 0.001, 1e6),
        int(reader.read_quantity("queue", "requests", 0, 1, 1e6)),
        int(reader.read_quantity("connections", "connections", 0, 1, 1e6)),
    )


def _route(reader: FormReader) -> Record:
    reader.reject_names()
    route = Route(
        reader.read_scope(), reader.read_names("pools", "pool"), reader.read_choice("else", ("refuse", "any"))
    )
    reader.require(bool(route.pools), "a route needs (pools NAME ...), in order of preference")
    return route


def _limit(reader: FormReader) -> Record:
    reader.reject_names()
    limit = Limit(
        reader.read_scope(),
        reader.read_quantity("rate", "rate", 0.0, 0.001),
        reader.read_time_us("burst"),
        int(reader.read_quantity("open", "requests", 0, 1, 1e9)),
        reader.read_quantity("in", "byte rate", 0.0, MIN_BYTE_RATE),
        reader.read_quantity("out", "byte rate", 0.0, MIN_BYTE_RATE),
    )
    reader.require(
        bool(limit.rate or limit.max_open or limit.bytes_in or limit.bytes_out),
        "a limit needs (rate 120 units/s), (open 64 requests), (in 4 MiB/s) or (out 4 MiB/s)",
    )
    reader.require(
        bool(limit.rate or not limit.burst_us),
        "(burst ...) requires a rate; add (rate 120 units/s) or remove (burst ...)",
    )
    return limit


def _retries(reader: FormReader) -> Record:
    reader.reject_names()
    return RetryRule(
        reader.read_optional_name("class", "class"),
        int(reader.read_number("attempts", 0, 1, MAX_ATTEMPTS, is_integer=True)),
        reader.read_quantity("budget", "share", -1.0, max_value=1.0),
        int(reader.read_quantity("free", "requests", 0, 0, 1e6)),
        reader.read_time_us("second-copy"),
    )


def _eject(reader: FormReader) -> Record:
    reader.reject_names()
    return EjectionRule(
        reader.read_quantity("errors", "share", 0.5, 0.01, 1.0, is_required=True),
        reader.read_time_us("over", 2_000_000, 100_000, is_required=True),
        reader.read_time_us("rest", 1_000_000, 1000, is_required=True),
        reader.read_quantity("at-most", "share", 0.3, 0.0, 1.0, is_required=True),
        int(reader.read_quantity("least", "requests", 5, 1, 1e6)),
    )


def _spare(reader: FormReader) -> Record:
    reader.reject_names()
    return SpareSharing(
        reader.read_quantity("depth", "units", 1.0, 1.0, 1e6, is_required=True),
        reader.read_time_us("wait", 50_000, 1000),
        int(reader.read_quantity("queue", "requests", 256, 1, 1e6)),
        reader.read_choice("leases", ("off", "on")) == "on",
        reader.read_quantity("capacity", "rate", 0.0, 0.001),
    )


def _rollout(reader: FormReader) -> Record:
    reader.reject_names()
    heads, waves = reader.read_names("first", "head"), reader.read_shares("waves")
    return RolloutRule(
        heads,
        waves,
        reader.read_time_us("hold"),
        reader.read_time_us("patience", 10_000_000, 1000),
        reader.read_quantity("failures", "share", 1.0, max_value=1.0),
        reader.read_choice("on-trouble", ("hold", "rollback")),
    )


READERS: dict[str, Callable[[FormReader], Record]] = {
    "plan": _plan,
    "pool": _pool,
    "tenant": _tenant,
    "route": _route,
    "limit": _limit,
    "retries": _retries,
    "eject": _eject,
    "spare": _spare,
    "rollout": _rollout,
    **maintenance_reader.READERS,
}


def read_document(raw: bytes) -> Document:
    """Read a document; mistakes are returned in the result and never raised."""
    document = Document()
    text, document.mistakes = decode_text(raw)
    if document.mistakes:
        return document
    nodes, document.mistakes = parse(text)
    if nodes or not document.mistakes:
        _RecordReader(document).read(nodes)
    return document


class _RecordReader:
    """Reads the forms of a document into its records."""

    def __init__(self, document: Document) -> None:
        self.document = document

    def read(self, nodes: list[Node]) -> None:
        if not nodes or not isinstance(nodes[0], Form) or nodes[0].keyword != HEADER:
            first = nodes[0] if nodes else Atom("", 1, 1)
            self.report(first, f"a document must begin with ({HEADER} {FORMAT_VERSION})")
        for index, node in enumerate(nodes):
            if isinstance(node, Atom):
                self.report(node, f"{node.text!r} is outside any form; move it into a form or remove it")
            elif node.keyword == HEADER:
                self._check_header(node, is_first=index == 0)
            else:
                self._read_form(node)
        records = self.document.records
        for mistake in reference_mistakes(records.values(), records):
            self.report(self.document.forms[mistake.key], mistake.text)

    def report(self, node: Node, text: str) -> None:
        """Record a mistake; their number is bounded so that a file in another format does not exhaust memory."""
        if len(self.document.mistakes) < 10 * MAX_MISTAKES:
            self.document.mistakes.append(Mistake(node.line, node.column, text))

    def _check_header(self, form: Form, is_first: bool) -> None:
        words = [str(item) for item in form.items[1:]]
        if not is_first:
            self.report(form, f"({HEADER} {FORMAT_VERSION}) must appear only once, at the beginning")
        elif words != [FORMAT_VERSION]:
            version = " ".join(words) or "a header without a version"
            self.report(form, f"this program reads ({HEADER} {FORMAT_VERSION}), not {version}")

    def _read_form(self, form: Form) -> None:
        if not form.keyword:
            self.report(form, "a form must begin with a keyword, like (pool hall-a (zones hall-a))")
            return
        if form.keyword not in READERS:
            self.report(form, f"unknown form {form.keyword!r}; known forms: {', '.join(READERS)}")
            return
        mistakes_before = len(self.document.mistakes)
        reader = FormReader(form, self.report)
        record = READERS[form.keyword](reader)
        reader.reject_unknown()
        if record.key not in self.document.records:
            self.document.records[record.key] = record
            self.document.forms[record.key] = form
        elif len(self.document.mistakes) == mistakes_before:
            line = self.document.forms[record.key].line
            self.report(form, f"{record.key} is defined twice, first on line {line}; keep one")


def reference_mistakes(checked: Iterable[Record], records: Mapping[str, Record]) -> list[RecordMistake]:
    """Return the mistakes in how records refer to each other.

    Args:
        checked: The records to check.
        records: All records by key, including those that the checked ones may refer to.

    """
    mistakes: list[RecordMistake] = []
    owners: dict[str, str] = {}
    for record in checked:
        if isinstance(record, Route):
            mistakes += _undefined_pools(record, records)
        elif isinstance(record, TenantRule):
            mistakes += _shared_volumes(record, owners)
    return mistakes + maintenance_reader.reference_mistakes(list(checked), records)


def _undefined_pools(route: Route, records: Mapping[str, Record]) -> list[RecordMistake]:
    return [
        RecordMistake(route.key, f"the pool {pool} is not defined; add (pool {pool} ...) or name another pool")
        for pool in route.pools
        if f"pool/{pool}" not in records
    ]


def _shared_volumes(tenant: TenantRule, owners: dict[str, str]) -> list[RecordMistake]:
    """Return mistakes for volumes that another tenant owns; adds the other volumes to `owners`, tenants by volume."""
    mistakes = []
    for volume in tenant.volumes:
        if volume in owners:
            text = f"the volume {volume} already belongs to {owners[volume]}; a volume has one tenant"
            mistakes.append(RecordMistake(tenant.key, text))
        owners.setdefault(volume, tenant.name)
    return mistakes
