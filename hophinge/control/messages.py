"""Messages of the discovery stream, as typed values independent of their encoding.

The stream is the incremental variant of xDS v3 (DeltaDiscoveryRequest and DeltaDiscoveryResponse) with these resource
types under `hophinge.config.v1`: `Record` is one record of the service document, `Version` identifies a complete set of
records, `Lease` grants a head the shares of reserves that it requested, `Account` is a row of the tenants' accounts,
`Usage` has heads' reports of usage, and `Maintenance` has maintenance updates and heads' reports.
`hophinge.control.wire` encodes them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from msgspec import Struct

VersionId = tuple[int, int]
"""Epoch and number of a configuration version; versions are ordered by it. (0, 0) means no version."""

NO_VERSION: VersionId = (0, 0)

SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
METHOD = "DeltaAggregatedResources"
OPERATOR_SERVICE = "hophinge.control.v1.Admin"  # unary calls of operators, JSON both ways
MAX_MESSAGE_BYTES = 16 * 1024 * 1024  # a response with 500 records has about 100 KB
VERSION_NAME = "version"  # the only resource of its type
LEASE_NAME = "lease"
HEARTBEAT_NONCE = "beat"  # nonce of a response without content
DEMAND_PREFIX = "demand/"  # before a tenant's name, in the metrics of a lease request


class MalformedMessageError(ValueError):
    """A message that cannot be decoded or is not valid on this stream."""


class ResourceType(Enum):
    """Resource types, by their type URLs."""

    RECORD = "type.googleapis.com/hophinge.config.v1.Record"
    VERSION = "type.googleapis.com/hophinge.config.v1.Version"
    LEASE = "type.googleapis.com/hophinge.config.v1.Lease"
    ACCOUNT = "type.googleapis.com/hophinge.config.v1.Account"
    USAGE = "type.googleapis.com/hophinge.config.v1.Usage"
    MAINTENANCE = "type.googleapis.com/hophinge.config.v1.Maintenance"  # see control/maintenance_channel.py


RESOURCE_TYPES = {resource_type.value: resource_type for resource_type in ResourceType}


class ConfigVersion(Struct, frozen=True):
    """Identity of a complete set of records: their number, and the sum of their fingerprints modulo 2**128."""

    id: VersionId
    record_count: int
    fingerprint_sum: int
    pushed_ms: int = 0  # clock of the control service, since 1970


class VersionedRecord(NamedTuple):
    """A record of a version."""

    version_text: str  # version in which the record last changed; see the function `version_text`
    fingerprint: int
    body: bytes  # JSON


class Resource(Struct, frozen=True):
    """One named resource of a response."""

    name: str
    version: str
    body: bytes


class DiscoveryResponse(Struct, frozen=True):
    """A message from the control service to a head."""

    resource_type: ResourceType
    nonce: str
    resources: tuple[Resource, ...] = ()
    removed: tuple[str, ...] = ()


class DiscoveryRequest(Struct, frozen=True):
    """A message from a head: its first request for a resource type subscribes, each later one answers a response."""

    resource_type: ResourceType
    nonce: str = ""
    error: str = ""  # why the response is rejected; empty if it is acknowledged
    subscribe: bool = False
    initial_versions: Mapping[str, str] = {}  # in the first request: versions of stored resources, by name
    head: str = ""
    metrics: Mapping[str, float] = {}


def version_name(version_id: VersionId) -> str:
    """Return a version's name for operators, such as `1.17`; `none` for no version."""
    return f"{version_id[0]}.{version_id[1]}" if any(version_id) else "none"


def version_text(version_id: VersionId, fingerprint: int) -> str:
    """Return a resource's version: the version id in which it last changed and the low 32 bits of its fingerprint."""
    return f"{version_id[0]}.{version_id[1]}-{fingerprint & 0xFFFFFFFF:08x}"


def parse_version_text(text: str) -> VersionId:
    """Return the version id that a resource's version begins with; `NO_VERSION` for any other text."""
    epoch, _, number = text.partition("-")[0].partition(".")
    return (int(epoch), int(number)) if epoch.isdecimal() and number.isdecimal() else NO_VERSION


def batches(resources: Iterable[Resource], size: int) -> Iterable[tuple[Resource, ...]]:
    """Split resources into batches of at most `size`."""
    batch: list[Resource] = []
    for resource in resources:
        batch.append(resource)
        if len(batch) == size:
            yield tuple(batch)
            batch = []
    if batch:
        yield tuple(batch)
