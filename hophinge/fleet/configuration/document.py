"""Schema and validation of the operator's configuration document; each finding has the path of its field.

A document is stored and disseminated byte for byte, and the heads build their route tables from that text. Therefore
validation converts no types, and a document is valid only if the heads' reader reports no findings either.
"""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Iterator, Set
from functools import lru_cache
from dataclasses import dataclass
from typing import Annotated, Any, Literal, TypeVar

from expression import Error, Ok, Result
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    ValidationInfo,
    ValidatorFunctionWrapHandler,
    WrapValidator,
)

from hophinge.fleet.configuration.findings import Finding, Findings
from hophinge.fleet.configuration.route_table_reader import (
    MAX_INTEGER,
    UnreadableDocumentError,
    read_parsed_document,
)

MAX_FINDINGS = 50  # reported for one document
MAX_DURATION_MS = 1e9
MAX_DURATION_S = MAX_DURATION_MS / 1_000
MAX_NUMBER = 1e12
MAX_HOST_CHARACTERS = 253  # of a domain name (RFC 1035, section 2.3.4)
MAX_PREFIX_CHARACTERS = 1_024
MIN_TIMEOUT_MS = 50.0  # a head reserves 30 ms of it to answer in time; a shorter one would leave too little
MIN_LIMIT_BYTES = 1_024  # a lower limit on header bytes would reject every request

VALUE_ERROR_PREFIX = "Value error, "  # added by pydantic to the message of a validator

_HOST = re.compile(r"[A-Za-z0-9_]([A-Za-z0-9_.-]*)|\[[0-9A-Fa-f:.]+\]")
# A path, and a path with a query (RFC 3986, sections 3.3 and 3.4).
_PATH = re.compile(r"/(?:[A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*")
_PATH_AND_QUERY = re.compile(_PATH.pattern + r"(?:\?(?:[A-Za-z0-9._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*)?")
_DOT_SEGMENTS = {".", ".."}
# Matches the prefixes of nearly all routes, so that these are validated with a single match.
_PLAIN_PREFIX = re.compile(r"/(?:[A-Za-z0-9_-]+/)*")


@lru_cache(maxsize=64)  # most routes of a document share a few hosts
def _validate_host(host: str) -> str:
    if not _HOST.fullmatch(host):
        raise ValueError("is not a host name or IP address without a port")
    return host


def _validate_prefix(prefix: str) -> str:
    if _PLAIN_PREFIX.fullmatch(prefix):
        return prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError("does not begin and end with a slash")
    if not _PATH.fullmatch(prefix):
        raise ValueError("contains a character that is not allowed in a path")
    segments = prefix.split("/")[1:-1]
    if "" in segments or _DOT_SEGMENTS.intersection(segments):
        raise ValueError("contains an empty segment or a dot segment")
    return prefix


def _validate_target(target: str) -> str:
    if not _PATH_AND_QUERY.fullmatch(target):
        raise ValueError("is not a path")
    return target


def _reject_tls(is_secure: bool) -> bool:
    if is_secure:
        raise ValueError("TLS to instances is not supported")
    return is_secure


@dataclass(slots=True)
class InvalidEntries:
    """The number of invalid list entries found in one document."""

    count: int = 0


def _validate_entry(entry: Any, validate: ValidatorFunctionWrapHandler, info: ValidationInfo) -> Any:
    """Validate a list entry, unless MAX_FINDINGS entries are invalid already.

    The document is then rejected anyway, and findings in all entries of a large one could take all memory.
    """
    invalid = info.context
    assert isinstance(invalid, InvalidEntries)
    if invalid.count >= MAX_FINDINGS:
        return None
    try:
        return validate(entry)
    except ValidationError:
        invalid.count += 1
        raise


Entry = TypeVar("Entry")
Entries = list[Annotated[Entry, WrapValidator(_validate_entry)]]

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
    """Base of the document's models: field names with hyphens and strict types; unknown fields are ignored."""

    model_config = ConfigDict(alias_generator=_alias, strict=True, extra="ignore")


class WeightedServiceModel(ConfigurationModel):
    """A service that receives a weighted share of a route's requests."""

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
    traffic_split: Entries[WeightedServiceModel] | None = None
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
    models: Entries[EngineModelModel] = []


class ServiceModel(ConfigurationModel):
    """One service. Only HTTP/1.1 without TLS is accepted, because instances are called over nothing else."""

    name: str
    health_check_path: Annotated[str, AfterValidator(_validate_target)] = "/health"
    max_connections: PositiveInteger = 100
    protocol: Literal["h1"] = "h1"
    tls: Annotated[bool, AfterValidator(_reject_tls)] = False
    cold_start_s: Seconds | None = None
    cold_per_s: Number | None = None
    engine: EngineModel | None = None


class LimitsModel(ConfigurationModel):
    """Limits on the size of a client's request and on its duration."""

    max_header_bytes: Bytes = 16_384
    max_body_bytes: Bytes = 4_194_304
    header_timeout_ms: PositiveMilliseconds = 3_000.0
    idle_timeout_ms: PositiveMilliseconds = 15_000.0


class DocumentModel(ConfigurationModel):
    """The complete document."""

    version: PositiveInteger
    routes: Entries[RouteModel]
    services: Entries[ServiceModel]
    limits: LimitsModel = LimitsModel()


class NonJsonConstant(str):
    """A numeric constant that is not valid JSON, such as `NaN`, but that some programs write."""


class AmbiguousJsonError(ValueError):
    """JSON that parsers interpret differently; `field` is the name of the field."""

    def __init__(self, field: str, message: str) -> None:
        super().__init__(message)
        self.field = field


def validate_document(data: bytes) -> Result[DocumentModel, Findings]:
    """Parse and validate a document; an error holds the findings, at most `MAX_FINDINGS`."""
    try:
        document = DocumentModel.model_validate_json(data, context=InvalidEntries())
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


class StrictObjectBuilder:
    """Builds the objects of one JSON text, and rejects JSON that parsers interpret differently."""

    def __init__(self) -> None:
        self.has_constants = False

    def wrap_constant(self, text: str) -> NonJsonConstant:
        """Wrap a constant that is not valid JSON; `build` rejects its object, because the field name is known there."""
        self.has_constants = True
        return NonJsonConstant(text)

    def build(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        """Build an object from its names and values.

        Raises:
            AmbiguousJsonError: A name occurs more than once, or a value is not a valid JSON number.

        """
        fields = dict(pairs)
        if len(fields) < len(pairs):
            name = Counter(name for name, _ in pairs).most_common(1)[0][0]
            raise AmbiguousJsonError(name, "occurs more than once in an object")
        if self.has_constants:
            self._reject_constants(pairs)
        return fields

    def _reject_constants(self, pairs: list[tuple[str, Any]]) -> None:
        for name, value in pairs:
            values = value if isinstance(value, list) else [value]
            if any(isinstance(item, NonJsonConstant) for item in values):
                raise AmbiguousJsonError(name, "is not a valid JSON number")


def _parse_strictly(data: bytes) -> Any:
    builder = StrictObjectBuilder()
    return json.loads(data, object_pairs_hook=builder.build, parse_constant=builder.wrap_constant)


def _check_reader(raw: object) -> Findings:
    """Return the findings of the heads' reader: fields that it would convert, replace by a default or leave out."""
    try:
        return read_parsed_document(raw).findings
    except UnreadableDocumentError as error:
        return (Finding("document", str(error)),)


def _check_references(document: DocumentModel) -> Iterator[Finding]:
    service_indexes: dict[str, int] = {}
    for index, service in enumerate(document.services):
        if service.name in service_indexes:
            yield Finding(f"services.{index}.name", f"is also the name of services.{service_indexes[service.name]}")
        service_indexes.setdefault(service.name, index)
    route_indexes: dict[tuple[str, str], int] = {}
    for index, route in enumerate(document.routes):
        path = f"routes.{index}"
        yield from _check_targets(route, path, service_indexes.keys())
        key = route.host.lower(), route.path_prefix
        if key in route_indexes:
            yield Finding(path, f"host and path-prefix are the same as in routes.{route_indexes[key]}")
        route_indexes.setdefault(key, index)


def _check_targets(route: RouteModel, path: str, services: Set[str]) -> Iterator[Finding]:
    split = route.traffic_split
    if route.service is None and not split:
        yield Finding(path, "has neither a service nor a traffic-split")
    if route.service is not None and route.service not in services:
        yield Finding(f"{path}.service", f"unknown service {route.service!r}")
    for index, weight in enumerate(split or []):
        if weight.service not in services:
            yield Finding(f"{path}.traffic-split.{index}.service", f"unknown service {weight.service!r}")
    if split and sum(weight.weight for weight in split) <= 0:
        yield Finding(f"{path}.traffic-split", "the weights sum to 0")
