"""The operator's document: findings with their paths, and the route table built from it."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import pytest

from hophinge.fleet.configuration.document import validate_document
from hophinge.fleet.configuration.record import configuration_record, read_configuration_record
from hophinge.fleet.configuration.route_table_reader import UnreadableDocumentError, read_route_table
from hophinge.fleet.configuration.routes import RouteTable


ZERO_WEIGHT = {"service": "s", "weight": 0}
ENGINE = {"slots": 8, "kv-cache-tokens": 5_000, "handle-ttl-s": 5.0}


def _document(**changes: Any) -> dict[str, Any]:
    route = {
        "name": "r",
        "host": "a.example",
        "path-prefix": "/x/",
        "route-type": "streaming",
        "timeout-ms": 800,
        "target-latency-ms": 200,
        "priority": 1,
        "service": "s",
        "max-attempts": 2,
        "resumable": True,
        "gap_aim_ms": 250,
        "unknown": 1,
    }
    return {"version": 7, "routes": [route], "services": [{"name": "s", "max-connections": 3}], **changes}


def _route(**changes: Any) -> dict[str, Any]:
    return {**_document()["routes"][0], **changes}


def _findings(document: dict[str, Any]) -> list[str]:
    result = validate_document(json.dumps(document).encode())
    return [str(finding) for finding in result.error] if result.is_error() else []


def _table(document: dict[str, Any]) -> RouteTable:
    return read_route_table(json.dumps(document).encode()).table


def test_a_valid_document_has_no_findings() -> None:
    assert _findings(_document()) == []


@pytest.mark.parametrize(("value", "number"), [(None, 0.0), (3, 3.0), (5.2, 5.2)])
def test_optional_cold_start_fields_are_read_as_numbers(value: object, number: float) -> None:
    """Guards against null, which is valid in a document, but made every request of the service fail."""
    document = _document(services=[{"name": "s", "cold-start-s": value, "cold-per-s": value}])
    assert _findings(document) == []
    service = _table(document).services["s"]
    assert (service.cold_start_s, service.cold_per_s) == (number, number)


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"routes": [_route(service="gone")]}, "routes.0.service"),
        ({"routes": [_route(), _route(name="q")]}, "routes.1"),
        ({"routes": [_route(service=None, **{"traffic-split": [ZERO_WEIGHT]})]}, "routes.0.traffic-split"),
        ({"routes": [_route(**{"timeout-ms": 0})]}, "routes.0.timeout-ms"),
        ({"routes": [_route(service=None)]}, "routes.0"),
        ({"services": [{"name": "s", "cold-per-s": -1}]}, "services.0.cold-per-s"),
        ({"services": [{"name": "s", "cold-per-s": {}}]}, "services.0.cold-per-s"),
        ({"services": [{"name": "s", "cold-start-s": "soon"}]}, "services.0.cold-start-s"),
        ({"services": [{"name": "s", "cold-start-s": "3"}]}, "services.0.cold-start-s"),
        ({"services": [{"name": "s", "cold-per-s": "3"}]}, "services.0.cold-per-s"),
        ({"services": [{"name": "s"}, {"name": "s"}]}, "services.1.name"),
        ({"services": [{"name": "s", "tls": True}]}, "services.0.tls"),
        ({"services": [{"name": "s", "max-connections": "3"}]}, "services.0.max-connections"),
        ({"services": [{"name": "s", "engine": {**ENGINE, "slots": "8"}}]}, "services.0.engine.slots"),
        ({"services": [{"name": "s", "engine": {**ENGINE, "models": ["m"]}}]}, "services.0.engine.models.0"),
        ({"routes": [_route(**{"session-affinity": 1})]}, "routes.0.session-affinity"),
        ({"routes": [_route(host="a.example:80")]}, "routes.0.host"),
        ({"routes": [_route(**{"path-prefix": "/x"})]}, "routes.0.path-prefix"),
        ({"version": 0}, "version"),
        ({"services": "s"}, "services"),
    ],
)
def test_each_finding_names_its_path(changes: dict[str, Any], path: str) -> None:
    assert any(finding.startswith(path + ":") for finding in _findings(_document(**changes)))


def test_all_findings_are_reported_together() -> None:
    findings = _findings(_document(routes=[_route(service="one"), _route(service="two", **{"path-prefix": "/y/"})]))
    assert len(findings) == 2


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b'{"version": 1', b"\xff"])
def test_a_document_that_cannot_be_parsed_is_a_finding(data: bytes) -> None:
    assert validate_document(data).is_error()


def test_the_longest_prefix_of_the_host_is_found() -> None:
    routes = [_route(), _route(name="long", **{"path-prefix": "/x/y/"}), _route(name="other", host="b.example")]
    table = _table(_document(routes=routes))

    def find_name(host: str, path: str) -> str | None:
        route = table.find(host, path)
        return route.name if route is not None else None

    assert find_name("a.example", "/x/y/z") == "long"
    assert find_name("A.example", "/x/z") == "r"
    assert find_name("b.example", "/x/y/z") == "other"
    assert find_name("a.example", "/x") is None
    assert find_name("c.example", "/x/") is None


def test_weights_split_requests() -> None:
    split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}, {"service": "u", "weight": 0}]
    document = _document(
        routes=[_route(service=None, **{"traffic-split": split})], services=[{"name": name} for name in "stu"]
    )
    route = _table(document).routes[0]
    assert [route.choose_service(draw) for draw in (0.0, 0.89, 0.91, 0.9999)] == ["s", "s", "t", "t"]


def test_a_record_contains_the_same_route_table() -> None:
    document = json.dumps(_document()).encode()
    record = configuration_record(4, document)
    assert record.stamp == (4, 0)
    table = read_configuration_record(record).table
    assert table.routes == read_route_table(document).table.routes
    assert table.routes[0].is_idempotent


# --- documents accepted by an older release ----------------------------------------------------------------------


def _stored(**changes: Any) -> RouteTable:
    """Read a stored document that is invalid today; the reader must report findings."""
    document = _document(**changes)
    assert _findings(document), "it would be rejected today"
    read = read_route_table(json.dumps(document).encode())
    assert read.findings
    return read.table


def test_a_stored_number_given_as_text_is_converted() -> None:
    """Guards against heads that never become ready after an upgrade or a restart with such a document."""
    route = _stored(routes=[_route(**{"timeout-ms": "4000", "max-attempts": "3", "gap_aim_ms": "250"})]).routes[0]
    assert (route.timeout_s, route.max_attempts, route.gap_s) == (4.0, 3, 0.25)
    limits = _stored(limits={"max-header-bytes": "2048", "idle-timeout-ms": True}).limits
    assert (limits.header_bytes, limits.idle_s) == (2_048, 0.001)
    service = _stored(services=[{"name": "s", "cold-start-s": "3", "cold-per-s": "soon"}]).services["s"]
    assert (service.cold_start_s, service.cold_per_s) == (3.0, 0.0)


def test_a_stored_flag_given_as_text_does_not_make_a_stream_idempotent() -> None:
    assert not _stored(routes=[_route(resumable="false")]).routes[0].is_idempotent


def test_an_unreadable_stored_route_is_unavailable_and_keeps_its_requests_from_shorter_prefixes() -> None:
    long = _route(name="long", **{"path-prefix": "/x/y/", "timeout-ms": [4_000]})
    table = _stored(routes=[_route(), long])
    found = table.find("a.example", "/x/y/z")
    assert found is not None and not found.is_available
    other = table.find("a.example", "/x/z")
    assert other is not None and other.is_available


def test_routes_to_an_unreadable_stored_service_are_unavailable() -> None:
    services = [{"name": "s", "engine": {"slots": 8}}, {"name": "t"}]
    split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    mixed = _route(service=None, **{"traffic-split": split, "path-prefix": "/y/"})
    table = _stored(services=services, routes=[_route(), mixed])
    assert [route.services for route in table.routes] == [(), ("t",)]


def test_a_stored_engine_needs_only_the_fields_that_heads_use() -> None:
    document = _document(services=[{"name": "s", "engine": {"kv-cache-tokens": 5_000}}])
    assert _findings(document), "it would be rejected today"
    table = _table(document)
    engine = table.services["s"].engine
    assert engine is not None and engine.memory_tokens == 5_000
    assert table.routes[0].is_available


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b'{"version": null}', b'{"version": "x"}', b"[" * 100_000])
def test_an_unreadable_stored_document_is_an_error(data: bytes) -> None:
    with pytest.raises(UnreadableDocumentError):
        read_route_table(data)


def test_a_record_that_is_not_compressed_is_an_error() -> None:
    with pytest.raises(UnreadableDocumentError):
        read_configuration_record(replace(configuration_record(1, b"{}"), value=b"{}"))
