"""Checks the operator's document; all findings are collected with their place and told together."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

MAX_FINDINGS = 50  # told of one document


def _alias(name: str) -> str:
    return name.replace("_", "-")


class ConfigurationModel(BaseModel):
    """A part of the document. Fields that this version does not know are kept out of its way."""

    model_config = ConfigDict(alias_generator=_alias, populate_by_name=True, extra="ignore")


class WeightedServiceModel(ConfigurationModel):
    """A service's part of a route's requests."""

    service: str
    weight: float = Field(ge=0)


class RouteModel(ConfigurationModel):
    """One route."""

    name: str
    host: str
    path_prefix: str
    route_type: str = "safe"
    timeout_ms: float = Field(gt=0)
    target_latency_ms: float = Field(default=1_000, ge=0)
    priority: int = 0
    service: str | None = None
    traffic_split: list[WeightedServiceModel] | None = None
    max_attempts: int = Field(default=1, ge=0)


class ModelModel(ConfigurationModel):
    """A model of a service."""

    name: str


class ServiceModel(ConfigurationModel):
    """One service."""

    name: str
    health_check_path: str = "/health"
    max_connections: int = Field(default=100, ge=0)


class LimitsModel(ConfigurationModel):
    """What a client may send, and how long it may take."""

    max_header_bytes: int = Field(default=16_384, gt=0)
    max_body_bytes: int = Field(default=4_194_304, gt=0)
    header_timeout_ms: float = Field(default=3_000, gt=0)
    idle_timeout_ms: float = Field(default=15_000, gt=0)


class DocumentModel(ConfigurationModel):
    """The whole document."""

    version: int = Field(gt=0)
    routes: list[RouteModel]
    services: list[ServiceModel]
    limits: LimitsModel = LimitsModel()


@dataclass(frozen=True, slots=True)
class Finding:
    """What is wrong, and where: a path into the document."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


Findings = tuple[Finding, ...]


def validate_document(data: bytes) -> Result[DocumentModel, Findings]:
    """Read and check a document."""
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as error:
        return Error((Finding("document", f"not readable as JSON: {error}"),))
    try:
        document = DocumentModel.model_validate(raw)
    except ValidationError as error:
        found = [Finding(".".join(map(str, one["loc"])) or "document", one["msg"]) for one in error.errors()]
        return Error(tuple(found[:MAX_FINDINGS]))
    findings = tuple(_check_references(document))
    return Error(findings[:MAX_FINDINGS]) if findings else Ok(document)


def _check_references(document: DocumentModel) -> Iterator[Finding]:
    services = {service.name for service in document.services}
    places: dict[tuple[str, str], int] = {}
    for number, route in enumerate(document.routes):
        place = f"routes.{number}"
        yield from _check_targets(route, place, services)
        key = route.host.lower(), route.path_prefix
        if key in places:
            yield Finding(place, f"host and prefix are those of routes.{places[key]}")
        places.setdefault(key, number)


def _check_targets(route: RouteModel, place: str, services: set[str]) -> Iterator[Finding]:
    split = route.traffic_split
    if route.service is None and not split:
        yield Finding(place, "names no service")
    if route.service is not None and route.service not in services:
        yield Finding(f"{place}.service", f"unknown service {route.service!r}")
    for number, weight in enumerate(split or []):
        if weight.service not in services:
            yield Finding(f"{place}.traffic-split.{number}", f"unknown service {weight.service!r}")
    if split and sum(weight.weight for weight in split) <= 0:
        yield Finding(f"{place}.traffic-split", "the weights add up to 0")
