"""Schema and validation of the operator's document; all findings are collected with their paths.

A document is stored and disseminated as it was sent, and the heads build their route tables from that text. So types
are strict here, with nothing converted, and a document is valid only if the heads' reader finds nothing either.
"""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Iterator, Set
from functools import lru_cache
from typing import Annotated, Any, Literal

from expression import Error, Ok, Result
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from hophinge.fleet.configuration.findings import Finding, Findings
from hophinge.fleet.configuration.route_table_reader import (
    MAX_INTEGER,
    UnreadableDocumentError,
    read_parsed_document,
)

MAX_FINDINGS = 50  # reported of one document
MAX_DURATION_MS = 1e9
MAX_DURATION_S = MAX_DURATION_MS / 1_000
MAX_NUMBER = 1e12
MAX_HOST_CHARACTERS = 253  # of a domain name (RFC 1035, section 2.3.4)
MAX_PREFIX_CHARACTERS = 1_024
MIN_TIMEOUT_MS = 50.0  # a head keeps 30 ms of it to answer in time, so that a shorter one never serves a request
MIN_LIMIT_BYTES = 1_024  # every request with a smaller bound on its header would be rejected

VALUE_ERROR_PREFIX = "Value error, "  # that pydantic puts before the message of a validator

_HOST = re.compile(r"[A-Za-z0-9_]([A-Za-z0-9_.-]*)|\[[0-9A-Fa-f:.]+\]")
# A path, and a path with a query (RFC 3986, sections 3.3 and 3.4).
_PATH = re.compile(r"/(?:[A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*")
_PATH_AND_QUERY = re.compile(_PATH.pattern + r"(?:\?(?:[A-Za-z0-9._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*)?")
_DOT_SEGMENTS = {".", ".."}
# The prefixes of nearly all routes, so that they are found valid in one step.
_PLAIN_PREFIX = re.compile(r"/(?:[A-Za-z0-9_-]+/)*")


@lru_cache(maxsize=64)  # most routes of a document have one of a few hosts
def _validate_host(host: str) -> str:
    if not _HOST.fullmatch(host):
        raise ValueError("is not a host name or address without a port")
    return host


def _validate_prefix(prefix: str) -> str:
    if _PLAIN_PREFIX.fullmatch(prefix):
        return prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError("does not begin and end with a slash")
    if not _PATH.fullmatch(prefix):
        raise ValueError("holds a character that a path cannot have")
    segments = prefix.split("/")[1:-1]
    if "" in segments or _DOT_SEGMENTS.intersection(segments):
        raise ValueError("holds an empty segment, or one of dots")
    return prefix


def _validate_target(target: str) -> str:
    if not _PATH_AND_QUERY.fullmatch(target):
        raise ValueError("is not a path")
    return target


def _reject_tls(is_secure: bool) -> bool:
    if is_secure:
        raise ValueError("TLS to instances is not supported")
    return is_secure


Host = Annotated[str, Field(max_length=MAX_HOST_CHARACTERS), AfterValidator(_validate_host)]
PathPrefix = Annotated[str, Field(max_length=MAX_PREFIX_CHARACTERS), AfterValidator(_validate_prefix)]
PositiveInteger = Annotated[int, Field(gt=0, le=MAX_INTEGER)]
Bytes = Annotated[int, Field(ge=MIN_LIMIT_BYTES, le=MAX_INTEGER)]
Number = Annotated[float, Field(ge=0, le=MAX_NUMBER, allow_inf_nan=False)]
Milliseconds = Annotated[float, Field(ge=0, le=MAX_DURATION_MS, allow_inf_nan=False)]
PositiveMilliseconds = Annotated[float, Field(gt=0, le=MAX_DURATION_MS, allow_inf_nan=False)]
Seconds = Annotated[float, Field(ge=0, le=MAX_DURATION_S, allow_inf_nan=False)]
PositiveSeconds = Annotated[float, Field(gt=0, le=MAX_DURATION_S, allow_inf_nan=False)]


def _alias(name: str) -> str:
    return name.replace("_", "-")


class ConfigurationModel(BaseModel):
    """Base of the document's models: field names with hyphens, strict types; unknown fields are ignored."""

    model_config = ConfigDict(alias_generator=_alias, strict=True, extra="ignore")


class WeightedServiceModel(ConfigurationModel):
    """A service that gets a weighted share of a route's requests."""

    service: str
    weight: Number


class RouteModel(ConfigurationModel):
    """One route."""

    name: str
    host: Host
    path_prefix: PathPrefix
    route_type: Literal["safe", "unsafe", "streaming"] = "safe"
    timeout_ms: Annotated[float, Field(ge=MIN_TIMEOUT_MS, le=MAX_DURATION_MS, allow_inf_nan=False)]
    target_latency_ms: Milliseconds = 1_000.0
    gap_aim_ms: Milliseconds = Field(default=0.0, alias="gap_aim_ms")
    priority: Annotated[int, Field(ge=0, le=MAX_INTEGER)] = 0
    service: str | None = None
    traffic_split: list[WeightedServiceModel] | None = None
    max_attempts: PositiveInteger = 1
    session_affinity: bool = False
    resumable: bool = False


class EngineModelModel(ConfigurationModel):
    """A model that the engines of a service run."""

    name: str


class EngineModel(ConfigurationModel):
    """The engines of a service with prefill and decode."""

    slots: PositiveInteger
    kv_cache_tokens: PositiveInteger
    kv_token_bytes: Number | None = None
    link_mbps: Number | None = None
    stride: Number | None = None
    handle_ttl_s: PositiveSeconds
    stage_switch_s: Seconds | None = None
    models: list[EngineModelModel] = []


class ServiceModel(ConfigurationModel):
    """One service. Instances are called over HTTP/1.1 without TLS: nothing else could be put in force."""

    name: str
    health_check_path: Annotated[str, AfterValidator(_validate_target)] = "/health"
    max_connections: PositiveInteger = 100
    protocol: Literal["h1"] = "h1"
    tls: Annotated[bool, AfterValidator(_reject_tls)] = False
    cold_start_s: Seconds | None = None
    cold_per_s: Number | None = None
    engine: EngineModel | None = None


class LimitsModel(ConfigurationModel):
    """Limits on what a client may send, and how long it may take."""

    max_header_bytes: Bytes = 16_384
    max_body_bytes: Bytes = 4_194_304
    header_timeout_ms: PositiveMilliseconds = 3_000.0
    idle_timeout_ms: PositiveMilliseconds = 15_000.0


class DocumentModel(ConfigurationModel):
    """The complete document."""

    version: PositiveInteger
    routes: list[RouteModel]
    services: list[ServiceModel]
    limits: LimitsModel = LimitsModel()


class NotANumber(str):
    """A constant that some writers use for a number, as in `NaN`; JSON does not have it."""


class AmbiguousJsonError(ValueError):
    """JSON that readers take in different ways; `field` is the name of the field."""

    def __init__(self, field: str, message: str) -> None:
        super().__init__(message)
        self.field = field


def validate_document(data: bytes) -> Result[DocumentModel, Findings]:
    """Parse a document and validate it; an error holds the findings, at most MAX_FINDINGS."""
    try:
        document = DocumentModel.model_validate_json(data)
    except ValidationError as error:
        return Error(tuple(_schema_findings(error))[:MAX_FINDINGS])
    try:
        raw = _parse_strictly(data)
    except AmbiguousJsonError as error:
        return Error((Finding(error.field, str(error)),))
    findings = tuple(_check_references(document)) or _check_reader(raw)
    return Error(findings[:MAX_FINDINGS]) if findings else Ok(document)


def _schema_findings(error: ValidationError) -> Iterator[Finding]:
    for detail in error.errors(include_url=False, include_context=False, include_input=False):
        message = detail["msg"].removeprefix(VALUE_ERROR_PREFIX)
        yield Finding(".".join(map(str, detail["loc"])) or "document", message)


class StrictObjects:
    """Builds the objects of one JSON text, and rejects what readers take in different ways."""

    def __init__(self) -> None:
        self.has_constants = False

    def constant(self, text: str) -> NotANumber:
        """Return a constant that is not JSON; the object that holds it is rejected, as its name is known there."""
        self.has_constants = True
        return NotANumber(text)

    def build(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        """Return an object.

        Raises:
            AmbiguousJsonError: A name stands there twice, or a value is no number in JSON.

        """
        fields = dict(pairs)
        if len(fields) < len(pairs):
            name = Counter(name for name, _ in pairs).most_common(1)[0][0]
            raise AmbiguousJsonError(name, "stands more than once in an object")
        if self.has_constants:
            self._reject_constants(pairs)
        return fields

    def _reject_constants(self, pairs: list[tuple[str, Any]]) -> None:
        for name, value in pairs:
            values = value if isinstance(value, list) else [value]
            if any(isinstance(one, NotANumber) for one in values):
                raise AmbiguousJsonError(name, "is not a number in JSON")


def _parse_strictly(data: bytes) -> Any:
    objects = StrictObjects()
    return json.loads(data, object_pairs_hook=objects.build, parse_constant=objects.constant)


def _check_reader(raw: object) -> Findings:
    """Return what the heads' reader does not take as it stands."""
    try:
        return read_parsed_document(raw).findings
    except UnreadableDocumentError as error:
        return (Finding("document", str(error)),)


def _check_references(document: DocumentModel) -> Iterator[Finding]:
    service_indexes: dict[str, int] = {}
    for index, service in enumerate(document.services):
        if service.name in service_indexes:
            yield Finding(f"services.{index}.name", f"is that of services.{service_indexes[service.name]}")
        service_indexes.setdefault(service.name, index)
    route_indexes: dict[tuple[str, str], int] = {}
    for index, route in enumerate(document.routes):
        path = f"routes.{index}"
        yield from _check_targets(route, path, service_indexes.keys())
        key = route.host.lower(), route.path_prefix
        if key in route_indexes:
            yield Finding(path, f"host and path-prefix are those of routes.{route_indexes[key]}")
        route_indexes.setdefault(key, index)


def _check_targets(route: RouteModel, path: str, services: Set[str]) -> Iterator[Finding]:
    split = route.traffic_split
    if route.service is None and not split:
        yield Finding(path, "names no service")
    if route.service is not None and route.service not in services:
        yield Finding(f"{path}.service", f"unknown service {route.service!r}")
    for index, weight in enumerate(split or []):
        if weight.service not in services:
            yield Finding(f"{path}.traffic-split.{index}.service", f"unknown service {weight.service!r}")
    if split and sum(weight.weight for weight in split) <= 0:
        yield Finding(f"{path}.traffic-split", "the weights add up to 0")
