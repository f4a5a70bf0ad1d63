"""Documents with one odd field: either rejected with the name of the field, or applied everywhere."""

from __future__ import annotations

import asyncio
import json
from dataclasses import fields
from functools import cache
from pathlib import Path
from random import Random
from typing import Any

from pydantic_core import from_json

from hophinge.fleet.configuration.document import DocumentModel, validate_document
from hophinge.fleet.configuration.route_table_reader import read_route_table
from hophinge.fleet.configuration.routes import Limits, Route
from tests.odd_document_run import OddDocumentRun
from tests.odd_documents import OddDocument, odd_documents, complete_document

VERSION = 7
SEED = 77
RANDOM_SAMPLE = 60  # documents that are sent to real processes
MIN_APPLIED = 30
MIN_DOCUMENTS = 5_000
MIN_ACCEPTED = 500


@cache
def _accepted() -> tuple[OddDocument, ...]:
    return tuple(document for document in odd_documents() if validate_document(document.write(VERSION)).is_ok())


def test_many_odd_documents_are_accepted_and_many_rejected() -> None:
    documents = list(odd_documents())
    assert len(documents) >= MIN_DOCUMENTS
    assert MIN_ACCEPTED <= len(_accepted()) <= len(documents) - MIN_ACCEPTED


def test_a_complete_document_with_unknown_fields_is_accepted() -> None:
    document = complete_document(VERSION)
    assert validate_document(json.dumps(document).encode()).is_ok()
    unknown: list[Any] = [document, *document["routes"], *document["services"], document["limits"]]
    unknown += [service["engine"] for service in document["services"] if "engine" in service]
    unknown += [entry for route in document["routes"] for entry in route.get("traffic-split", [])]
    for part in unknown:
        part["not-known-yet"] = {"homes": [None, 1.5, "x"]}
    assert validate_document(json.dumps(document).encode()).is_ok()


def test_a_rejected_document_has_a_finding_that_names_the_field() -> None:
    """Guards against rejections without the cause: the path of a finding must lead to the odd field."""
    for document in odd_documents():
        if not document.path:
            continue
        result = validate_document(document.write(VERSION))
        if result.is_error():
            findings = [str(finding) for finding in result.error]
            assert any(_names_field(text, document) for text in findings), (document.name, findings)


def _names_field(text: str, document: OddDocument) -> bool:
    """Return whether a finding names the odd field, a parent or child of it, or a reference that it made invalid."""
    path = [str(key) for key in document.path]
    named = text.split(": ")[0].split(".")
    shorter = min(len(path), len(named))
    innermost = [key for key in document.path if isinstance(key, str)][-1:]
    if path[:shorter] == named[:shorter] or named == innermost or ".".join(path) in text:
        return True
    if not _is_json(document.write(VERSION)):
        return "JSON" in text
    is_reference = path[0] == "services" and (len(path) <= 2 or path[2:] == ["name"])
    return is_reference and ("unknown service" in text or "is also the name of services" in text)


def _is_json(data: bytes) -> bool:
    """Return whether a parser that conforms to RFC 8259 accepts the data, up to its nesting limit."""
    try:
        from_json(data)
    except ValueError:
        return False
    return True


def test_heads_read_an_accepted_document_as_it_was_validated() -> None:
    """Guards against a document that validation and the heads' reader interpret differently (review, case CONFIG)."""
    for accepted in _accepted():
        data = accepted.write(VERSION)
        table, findings = read_route_table(data)
        assert not findings, (accepted.name, findings)
        document = validate_document(data).ok
        assert table.version == document.version
        assert [_fields_read(route) for route in table.routes] == _fields_validated(document), accepted.name
        engines = [service.engine for service in table.services.values() if service.engine is not None]
        for part in (*table.routes, table.limits, *table.services.values(), *engines):
            _check_types(part, accepted.name)


def _fields_read(route: Route) -> tuple[object, ...]:
    return (
        *(route.name, route.host, route.prefix, route.route_type, route.priority, route.max_attempts),
        *(
            route.timeout_s,
            route.target_s,
            route.gap_s,
            route.is_resumable,
            set(route.services),
            len(route.services) > 1,
        ),
    )


def _fields_validated(document: DocumentModel) -> list[tuple[object, ...]]:
    rows: list[tuple[object, ...]] = []
    for route in document.routes:
        split = [entry.service for entry in route.traffic_split or [] if entry.weight > 0]
        services = split or [str(route.service)]
        times = (route.timeout_ms / 1_000, route.target_latency_ms / 1_000, route.gap_aim_ms / 1_000)
        rows.append(
            (
                *(route.name, route.host, route.path_prefix, route.route_type, route.priority, route.max_attempts),
                *(*times, route.resumable, set(services), len(services) > 1),
            )
        )
    return rows


def _check_types(part: Any, name: str) -> None:
    """Check that the fields of a dataclass have their declared types, where these are simple ones."""
    for entry in fields(part):
        value = getattr(part, entry.name)
        declared = {"int": int, "float": float, "str": str, "bool": bool}.get(str(entry.type))
        assert declared is None or type(value) is declared, (name, entry.name, value)


def test_limits_have_the_types_of_their_defaults() -> None:
    assert read_route_table(json.dumps(complete_document(VERSION)).encode()).table.limits == Limits()


def test_real_processes_reject_a_document_or_apply_it(tmp_path: Path) -> None:
    """Guards against a configuration that is acknowledged but never applied, and heads that fail to restart with it."""
    random = Random(SEED)
    run = OddDocumentRun(tmp_path, restart_after=MIN_APPLIED)
    documents = [
        *random.sample(list(odd_documents()), RANDOM_SAMPLE // 2),
        *random.sample(_accepted(), RANDOM_SAMPLE // 2),
    ]
    random.shuffle(documents)
    asyncio.run(run.play(documents))
    assert not run.findings, "\n".join(run.findings)
    assert run.accepted >= MIN_APPLIED - 3
    assert run.rejected >= RANDOM_SAMPLE // 4
    assert run.restarts >= 2
