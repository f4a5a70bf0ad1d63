"""Builds the route table from the text of a document, for new documents and for stored ones alike.

`validate_document` runs this reader as well, and accepts only documents for which it reports no findings. A stored
document with findings was accepted by an older release under other rules. The reader uses as much of it as possible:
a number given as text is converted, an unreadable optional field gets its default, and an unreadable route or service
is left out, so that the other routes are served.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Set
from itertools import accumulate
from math import isfinite
from typing import Any, NamedTuple

from hophinge.fleet.configuration.findings import Finding, Findings
from hophinge.fleet.configuration.routes import EngineSettings, Limits, Route, RouteTable, Service

MAX_INTEGER = 2**53 - 1  # the largest integer that all JSON parsers read exactly (RFC 8259, section 6)
MILLISECONDS = 1_000
DEFAULT_TARGET_MS = 1_000.0
DEFAULT_LIMITS = Limits()


class UnreadableDocumentError(ValueError):
    """No route table can be built from a document."""


class UnreadablePartError(Exception):
    """An object or a required field of it cannot be read; the finding has been recorded."""


class ReadRouteTable(NamedTuple):
    """A route table, and the findings on fields of its document that were converted, replaced or left out."""

    table: RouteTable
    findings: Findings


class WeightedServices(NamedTuple):
    """The services of a route, and the cumulative sums of their weights."""

    names: tuple[str, ...]
    cumulative_weights: tuple[float, ...]


def _is_integer(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and abs(value) <= MAX_INTEGER


def _is_number(value: object) -> bool:
    return _is_integer(value) or (isinstance(value, float) and isfinite(value))


def _to_number(value: Any) -> float | None:
    """Convert a value to a finite number; return None if that is not possible."""
    try:
        number = float(value)
    except (TypeError, ValueError, OverflowError):
        return None
    return number if isfinite(number) else None


class ObjectReader:
    """Reads the typed fields of one JSON object, and collects findings on those that are invalid."""

    __slots__ = ("fields", "findings", "index", "parent_path")

    def __init__(self, raw: object, parent_path: str, findings: list[Finding], index: int | None = None) -> None:
        self.parent_path = parent_path
        self.index = index  # of the object within its parent, if that is a list
        self.findings = findings
        if not isinstance(raw, dict):
            self.add_finding("", "is not an object")
            raise UnreadablePartError
        self.fields: dict[str, Any] = raw

    @property
    def path(self) -> str:
        """The path of the object."""
        return self.parent_path if self.index is None else f"{self.parent_path}.{self.index}"

    def path_of(self, name: str) -> str:
        """Return the path of a field; an empty name gives the path of the object itself."""
        return ".".join(part for part in (self.path, name) if part)

    def add_finding(self, name: str, message: str) -> None:
        """Record a finding on a field."""
        self.findings.append(Finding(self.path_of(name) or "document", message))

    def text(self, name: str, default: str | None = None) -> str:
        """Read a string; without a default, an invalid one raises `UnreadablePartError`."""
        value = self.fields.get(name, default)
        if type(value) is str:
            return value
        self.add_finding(name, "is not a string")
        if default is None:
            raise UnreadablePartError
        return default

    def number(self, name: str, default: float | None = None) -> float:
        """Read a number; where there is a default, null counts as missing."""
        value: Any = self.fields.get(name)
        kind = type(value)
        # Fast path, because documents have many numbers.
        if (kind is int or kind is float) and -MAX_INTEGER <= value <= MAX_INTEGER:
            return float(value)
        if value is None and default is not None:
            return default
        return float(self._numeric(name, default, _is_number, "is not a number"))

    def integer(self, name: str, default: int | None = None) -> int:
        """Read an integer; where there is a default, null counts as missing."""
        value: Any = self.fields.get(name)
        if type(value) is int and -MAX_INTEGER <= value <= MAX_INTEGER:
            return value
        if value is None and default is not None:
            return default
        return int(self._numeric(name, default, _is_integer, "is not an integer"))

    def _numeric(
        self, name: str, default: float | None, is_valid: Callable[[object], bool], message: str
    ) -> int | float:
        value: Any = self.fields.get(name)
        if value is None and default is not None:
            return default
        number: int | float | None = value
        if not is_valid(value):
            self.add_finding(name, message)
            converted = _to_number(value)
            number = default if converted is None else converted
        if number is None:
            raise UnreadablePartError
        return number

    def flag(self, name: str) -> bool:
        """Read a Boolean; any other value is recorded and read as false."""
        value = self.fields.get(name, False)
        if not isinstance(value, bool):
            self.add_finding(name, "is not true or false")
        return value is True

    def items(self, name: str) -> list[Any]:
        """Read a list; any other value is recorded and read as an empty list."""
        value = self.fields.get(name)
        if isinstance(value, list):
            return value
        self.add_finding(name, "is not a list")
        return []


def read_route_table(document: bytes) -> ReadRouteTable:
    """Read the route table of a document.

    Raises:
        UnreadableDocumentError: The document is not a JSON object with a version.

    """
    try:
        raw = json.loads(document)
    except (ValueError, RecursionError) as error:
        raise UnreadableDocumentError(f"is not valid JSON: {error}") from error
    return read_parsed_document(raw)


def read_parsed_document(raw: object) -> ReadRouteTable:
    """Read the route table of a document that is already parsed.

    Raises:
        UnreadableDocumentError: The document is not an object with a version.

    """
    findings: list[Finding] = []
    try:
        reader = ObjectReader(raw, "", findings)
        version = reader.integer("version")
    except UnreadablePartError as error:
        raise UnreadableDocumentError("; ".join(map(str, findings))) from error
    services = _read_services(reader)
    routes = _read_routes(reader, {service.name for service in services})
    table = RouteTable(version, routes, services, _read_limits(reader))
    return ReadRouteTable(table, tuple(findings))


# --- services ----------------------------------------------------------------------------------------------------


def _read_services(document: ObjectReader) -> list[Service]:
    """Read the services; those that cannot be read are left out."""
    services: list[Service] = []
    for index, raw in enumerate(document.items("services")):
        try:
            services.append(_read_service(ObjectReader(raw, "services", document.findings, index)))
        except UnreadablePartError:
            continue
    return services


def _read_service(reader: ObjectReader) -> Service:
    return Service(
        name=reader.text("name"),
        engine=_read_engine(reader),
        cold_start_s=reader.number("cold-start-s", 0.0),
        cold_per_s=reader.number("cold-per-s", 0.0),
    )


def _read_engine(service: ObjectReader) -> EngineSettings | None:
    raw = service.fields.get("engine")
    if raw is None:
        return None
    reader = ObjectReader(raw, service.path_of("engine"), service.findings)
    has_switch_time = reader.fields.get("stage-switch-s") is not None
    return EngineSettings(
        memory_tokens=reader.integer("kv-cache-tokens"),
        stage_switch_s=reader.number("stage-switch-s") if has_switch_time else None,
    )


# --- routes ------------------------------------------------------------------------------------------------------


def _read_routes(document: ObjectReader, services: Set[str]) -> list[Route]:
    """Read the routes.

    An unreadable route whose host and prefix are known is kept without services, so that its requests are rejected.
    Without it, they would match another route with a shorter prefix.
    """
    routes: list[Route] = []
    for index, raw in enumerate(document.items("routes")):
        try:
            reader = ObjectReader(raw, "routes", document.findings, index)
            host, prefix = reader.text("host"), reader.text("path-prefix")
        except UnreadablePartError:
            continue
        try:
            routes.append(_read_route(reader, host, prefix, services))
        except UnreadablePartError:
            routes.append(_unavailable_route(host, prefix))
    return routes


def _read_route(reader: ObjectReader, host: str, prefix: str, services: Set[str]) -> Route:
    targets = _read_targets(reader, services)
    return Route(
        name=reader.text("name"),
        host=host,
        prefix=prefix,
        route_type=reader.text("route-type", "safe"),
        timeout_s=reader.number("timeout-ms") / MILLISECONDS,
        target_s=reader.number("target-latency-ms", DEFAULT_TARGET_MS) / MILLISECONDS,
        gap_s=reader.number("gap_aim_ms", 0.0) / MILLISECONDS,
        priority=reader.integer("priority", 0),
        max_attempts=reader.integer("max-attempts", 1),
        is_resumable=reader.flag("resumable"),
        services=targets.names,
        cumulative_weights=targets.cumulative_weights,
    )


def _unavailable_route(host: str, prefix: str) -> Route:
    return Route(
        name="",
        host=host,
        prefix=prefix,
        route_type="unsafe",
        timeout_s=0.0,
        target_s=0.0,
        gap_s=0.0,
        priority=0,
        max_attempts=1,
        is_resumable=False,
        services=(),
        cumulative_weights=(),
    )


def _read_targets(route: ObjectReader, services: Set[str]) -> WeightedServices:
    """Read the services of a route with their weights: those of its traffic split, or else its single service."""
    if not route.fields.get("traffic-split"):
        service = route.text("service")
        if service in services:
            return WeightedServices((service,), (1.0,))
    weights = _read_split(route) if route.fields.get("traffic-split") else []
    known = [(service, weight) for service, weight in weights if weight > 0 and service in services]
    if not known:
        route.add_finding("", "has no readable service")
        raise UnreadablePartError
    return WeightedServices(
        names=tuple(service for service, _ in known),
        cumulative_weights=tuple(accumulate(weight for _, weight in known)),
    )


def _read_split(route: ObjectReader) -> list[tuple[str, float]]:
    weights: list[tuple[str, float]] = []
    for index, raw in enumerate(route.items("traffic-split")):
        try:
            entry = ObjectReader(raw, route.path_of("traffic-split"), route.findings, index)
            weights.append((entry.text("service"), entry.number("weight")))
        except UnreadablePartError:
            continue
    return weights


# --- limits ------------------------------------------------------------------------------------------------------


def _read_limits(document: ObjectReader) -> Limits:
    """Read the limits; if they are not an object, all limits have their defaults."""
    try:
        reader = ObjectReader(document.fields.get("limits", {}), "limits", document.findings)
    except UnreadablePartError:
        return DEFAULT_LIMITS
    return Limits(
        header_bytes=reader.integer("max-header-bytes", DEFAULT_LIMITS.header_bytes),
        body_bytes=reader.integer("max-body-bytes", DEFAULT_LIMITS.body_bytes),
        idle_s=_read_limit_s(reader, "idle-timeout-ms", DEFAULT_LIMITS.idle_s),
        header_s=_read_limit_s(reader, "header-timeout-ms", DEFAULT_LIMITS.header_s),
    )


def _read_limit_s(limits: ObjectReader, name: str, default_s: float) -> float:
    return limits.number(name, default_s * MILLISECONDS) / MILLISECONDS
