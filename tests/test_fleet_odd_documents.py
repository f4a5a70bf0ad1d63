"""Documents that are odd in one place: rejected with the name of the field, or in force everywhere."""

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
from tests.odd_documents import OddDocument, odd_documents, proper_document

VERSION = 7
SEED = 77
PLAYED = 60  # documents of which real processes get a draw
MIN_PLAYED_IN_FORCE = 30
MIN_DOCUMENTS = 5_000
MIN_ACCEPTED = 500


@cache
def _accepted() -> tuple[OddDocument, ...]:
    return tuple(one for one in odd_documents() if validate_document(one.write(VERSION)).is_ok())


def test_there_are_many_documents_of_both_kinds() -> None:
    documents = list(odd_documents())
    assert len(documents) >= MIN_DOCUMENTS
    assert MIN_ACCEPTED <= len(_accepted()) <= len(documents) - MIN_ACCEPTED


def test_what_the_sites_send_is_accepted_with_fields_that_nobody_knows() -> None:
    document = proper_document(VERSION)
    assert validate_document(json.dumps(document).encode()).is_ok()
    unknown: list[Any] = [document, *document["routes"], *document["services"], document["limits"]]
    unknown += [service["engine"] for service in document["services"] if "engine" in service]
    unknown += [entry for route in document["routes"] for entry in route.get("traffic-split", [])]
    for part in unknown:
        part["not-known-yet"] = {"homes": [None, 1.5, "x"]}
    assert validate_document(json.dumps(document).encode()).is_ok()


def test_a_rejected_document_has_a_finding_that_names_the_field() -> None:
    """Guards against a rejection that leaves the operator to guess: each path leads to the odd place, or into it."""
    for one in odd_documents():
        if not one.path:
            continue
        checked = validate_document(one.write(VERSION))
        if checked.is_error():
            told = [str(finding) for finding in checked.error]
            assert any(_names_field(text, one) for text in told), (one.name, told)


def _names_field(text: str, document: OddDocument) -> bool:
    """Return whether a finding names the odd place or what it is part of, or a reference that leads nowhere now."""
    path = [str(key) for key in document.path]
    found = text.split(": ")[0].split(".")
    shorter = min(len(path), len(found))
    innermost = [key for key in document.path if isinstance(key, str)][-1:]
    if path[:shorter] == found[:shorter] or found == innermost or ".".join(path) in text:
        return True
    if not _is_json(document.write(VERSION)):
        return "JSON" in text
    is_reference = path[0] == "services" and (len(path) <= 2 or path[2:] == ["name"])
    return is_reference and ("unknown service" in text or "is also the name of services" in text)


def _is_json(data: bytes) -> bool:
    """Return whether a reader that keeps to RFC 8259 takes it, up to the usual depth."""
    try:
        from_json(data)
    except ValueError:
        return False
    return True


def test_an_accepted_document_is_what_the_heads_read() -> None:
    """Guards against a document that is judged by one reader and put in force by another (review, case CONFIG)."""
    for one in _accepted():
        data = one.write(VERSION)
        table, findings = read_route_table(data)
        assert not findings, (one.name, findings)
        document = validate_document(data).ok
        assert table.version == document.version
        assert [_read(route) for route in table.routes] == _judged(document), one.name
        engines = [service.engine for service in table.services.values() if service.engine is not None]
        for part in (*table.routes, table.limits, *table.services.values(), *engines):
            _check_types(part, one.name)


def _read(route: Route) -> tuple[object, ...]:
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


def _judged(document: DocumentModel) -> list[tuple[object, ...]]:
    judged: list[tuple[object, ...]] = []
    for route in document.routes:
        split = [entry.service for entry in route.traffic_split or [] if entry.weight > 0]
        services = split or [str(route.service)]
        times = (route.timeout_ms / 1_000, route.target_latency_ms / 1_000, route.gap_aim_ms / 1_000)
        judged.append(
            (
                *(route.name, route.host, route.path_prefix, route.route_type, route.priority, route.max_attempts),
                *(*times, route.resumable, set(services), len(services) > 1),
            )
        )
    return judged


def _check_types(part: Any, name: str) -> None:
    """Check that the numbers and texts of a part have the types that its class declares."""
    for one in fields(part):
        value = getattr(part, one.name)
        declared = {"int": int, "float": float, "str": str, "bool": bool}.get(str(one.type))
        assert declared is None or type(value) is declared, (name, one.name, value)


def test_limits_have_the_types_of_their_defaults() -> None:
    assert read_route_table(json.dumps(proper_document(VERSION)).encode()).table.limits == Limits()


def test_real_processes_reject_a_document_or_have_it_in_force(tmp_path: Path) -> None:
    """Guards against a configuration that is acknowledged and in force nowhere, and heads that never start again."""
    random = Random(SEED)
    run = OddDocumentRun(tmp_path, restart_after=MIN_PLAYED_IN_FORCE)
    drawn = [*random.sample(list(odd_documents()), PLAYED // 2), *random.sample(_accepted(), PLAYED // 2)]
    random.shuffle(drawn)
    asyncio.run(run.play(drawn))
    assert not run.findings, "\n".join(run.findings)
    assert run.accepted >= MIN_PLAYED_IN_FORCE - 3
    assert run.rejected >= PLAYED // 4
    assert run.restarts >= 2
