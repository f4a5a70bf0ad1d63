"""The stream's messages: xDS v3's incremental form (DeltaDiscoveryRequest and -Response), with two resource types.

`hophinge.config.v1.Record` is one form of the service document, `hophinge.config.v1.Version` says which records
belong together. `hophinge.config.v1.Lease` answers a head that asks for its shares of reserves,
`hophinge.config.v1.Account` is a row of tenants' accounts, and a head reports what they used under
`hophinge.config.v1.Usage`. All are protobuf messages; all but the version hold JSON, so that each form is described
once, in `routing/records.py` and `tenancy/accounts.py`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from msgspec import Struct

from hophinge.state.rows import Row
from hophinge.tenancy.account_replication import AccountChunk

Order = tuple[int, int]  # of a version: epoch and number

SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
METHOD = "DeltaAggregatedResources"
ADMIN = "hophinge.control.v1.Admin"  # JSON both ways, beside the stream
MAX_MESSAGE = 16 * 1024 * 1024  # bytes; a response of 500 records is some 100 KB
VERSION_NAME = "version"  # the one resource of its type
LEASE_NAME = "lease"
BEAT = "beat"  # the nonce of a response that holds nothing
DEMAND = "demand/"  # before a tenant, in the figures of an ask for leases


class Kind(Enum):
    """The types of resources, by their URLs."""

    RECORD = "type.googleapis.com/hophinge.config.v1.Record"
    VERSION = "type.googleapis.com/hophinge.config.v1.Version"
    LEASE = "type.googleapis.com/hophinge.config.v1.Lease"
    ACCOUNT = "type.googleapis.com/hophinge.config.v1.Account"
    USAGE = "type.googleapis.com/hophinge.config.v1.Usage"
    MAINTENANCE = "type.googleapis.com/hophinge.config.v1.Maintenance"  # control/permits.py tells when it is sent


KINDS = {kind.value: kind for kind in Kind}


class Version(Struct, frozen=True):
    """Which records belong together: how many there are and the sum of their fingerprints, modulo 2**128."""

    order: Order
    count: int
    sum: int
    pushed_ms: int = 0  # of the control service's clock, since 1970


class Resource(Struct, frozen=True):
    """One named resource of a response."""

    name: str
    version: str
    body: bytes


class Response(Struct, frozen=True):
    """What a control service sends."""

    kind: Kind
    nonce: str
    resources: tuple[Resource, ...] = ()
    removed: tuple[str, ...] = ()


class Request(Struct, frozen=True):
    """What a head sends: the first of a kind subscribes, each other one answers a response."""

    kind: Kind
    nonce: str = ""
    error: str = ""  # why a response is turned down; empty: it is taken
    subscribe: bool = False
    initial: Mapping[str, str] = {}  # with the first: what is held, by name
    head: str = ""
    figures: Mapping[str, float] = {}


class WireError(ValueError):
    """A message that is none of this stream's."""


def _messages() -> tuple[Any, Any]:
    file = descriptor_pb2.FileDescriptorProto(
        name="hophinge/config/v1/config.proto", package="hophinge.config.v1", syntax="proto3"
    )
    field = descriptor_pb2.FieldDescriptorProto
    for name, fields in (
        ("Record", (("json", field.TYPE_BYTES),)),
        (
            "Version",
            (
                ("epoch", field.TYPE_UINT64),
                ("number", field.TYPE_UINT64),
                ("count", field.TYPE_UINT64),
                ("sum", field.TYPE_BYTES),
                ("pushed_ms", field.TYPE_INT64),
            ),
        ),
    ):
        message = file.message_type.add(name=name)
        for at, (one, kind) in enumerate(fields):
            message.field.add(name=one, number=at + 1, type=kind, label=field.LABEL_OPTIONAL)
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    made = message_factory.GetMessageClassesForFiles([file.name], pool)
    return made["hophinge.config.v1.Record"], made["hophinge.config.v1.Version"]


_RECORD, _VERSION = _messages()


def version_text(order: Order, body_print: int) -> str:
    """Tell a record's version: where it was last changed, and a part of its fingerprint."""
    return f"{order[0]}.{order[1]}-{body_print & 0xFFFFFFFF:08x}"


def order_of(text: str) -> Order:
    """Read the order out of a version's text; (0, 0) where it is none."""
    epoch, _, number = text.partition("-")[0].partition(".")
    return (int(epoch), int(number)) if epoch.isdecimal() and number.isdecimal() else (0, 0)


def encode_response(response: Response) -> bytes:
    """Write a response."""
    made = discovery_pb2.DeltaDiscoveryResponse(
        type_url=response.kind.value, nonce=response.nonce, removed_resources=response.removed
    )
    for one in response.resources:
        row = made.resources.add(name=one.name, version=one.version)
        row.resource.type_url = response.kind.value
        row.resource.value = one.body
    return bytes(made.SerializeToString())


def record_body(json: bytes) -> bytes:
    """Wrap a record's JSON as its message."""
    return bytes(_RECORD(json=json).SerializeToString())


def record_json(body: bytes) -> bytes:
    """Take a record's JSON out of its message."""
    try:
        return bytes(_RECORD.FromString(body).json)
    except Exception as error:  # protobuf's own, of whichever implementation is installed
        raise WireError(f"a record that cannot be read: {error}") from error


def version_resource(version: Version) -> Resource:
    """Write a version as the one resource of its type."""
    body = _VERSION(
        epoch=version.order[0],
        number=version.order[1],
        count=version.count,
        sum=version.sum.to_bytes(16, "big"),
        pushed_ms=version.pushed_ms,
    ).SerializeToString()
    return Resource(VERSION_NAME, version_text(version.order, version.sum), bytes(body))


def read_version(body: bytes) -> Version:
    """Read a version's message."""
    try:
        made = _VERSION.FromString(body)
    except Exception as error:
        raise WireError(f"a version that cannot be read: {error}") from error
    if not made.number or len(made.sum) != 16:
        raise WireError("a version without number or sum")
    return Version((made.epoch, made.number), made.count, int.from_bytes(made.sum, "big"), made.pushed_ms)


def decode_response(data: bytes) -> Response:
    """Read a response."""
    try:
        made = discovery_pb2.DeltaDiscoveryResponse.FromString(data)
    except Exception as error:
        raise WireError(f"a response that cannot be read: {error}") from error
    kind = KINDS.get(made.type_url)
    if kind is None:
        raise WireError(f"a response of the unknown type {made.type_url!r}")
    return Response(
        kind,
        made.nonce,
        tuple(Resource(row.name, row.version, bytes(row.resource.value)) for row in made.resources),
        tuple(made.removed_resources),
    )


def encode_request(request: Request) -> bytes:
    """Write a request."""
    made = discovery_pb2.DeltaDiscoveryRequest(
        type_url=request.kind.value, response_nonce=request.nonce, initial_resource_versions=request.initial
    )
    if request.subscribe:
        made.resource_names_subscribe.append("*")
    if request.error:
        made.error_detail.code = 3  # INVALID_ARGUMENT, as xDS has it
        made.error_detail.message = request.error
    if request.head:
        made.node.id = request.head
        made.node.user_agent_name = "hophinge"
        for name, value in request.figures.items():
            made.node.metadata[name] = value
    return bytes(made.SerializeToString())


def decode_request(data: bytes) -> Request:
    """Read a request."""
    try:
        made = discovery_pb2.DeltaDiscoveryRequest.FromString(data)
    except Exception as error:
        raise WireError(f"a request that cannot be read: {error}") from error
    kind = KINDS.get(made.type_url)
    if kind is None:
        raise WireError(f"a request for the unknown type {made.type_url!r}")
    detail = made.error_detail
    reason = (detail.message or f"code {detail.code}") if made.HasField("error_detail") else ""
    figures = {
        name: value.number_value
        for name, value in made.node.metadata.fields.items()
        if value.WhichOneof("kind") == "number_value"
    }
    return Request(
        kind,
        made.response_nonce,
        reason,
        bool(made.resource_names_subscribe),
        dict(made.initial_resource_versions),
        made.node.id,
        figures,
    )


def chunks(rows: Iterable[Resource], size: int) -> Iterable[tuple[Resource, ...]]:
    """Cut resources into parts of at most so many."""
    part: list[Resource] = []
    for row in rows:
        part.append(row)
        if len(part) == size:
            yield tuple(part)
            part = []
    if part:
        yield tuple(part)


def account_part(part: AccountChunk) -> bytes:
    """Write a part of the accounts: rows by kind and name, the nonce tells where it belongs."""
    flags = ("a" if part.replaces_all else "-") + ("f" if part.is_first else "-") + ("l" if part.is_last else "-")
    return encode_response(
        Response(
            Kind.ACCOUNT,
            f"{part.epoch}.{part.seq}.{flags}",
            tuple(
                Resource(f"{row.kind}/{row.name}", str(row.seq), record_body(row.body))
                for row in part.rows
                if row.body is not None
            ),
            tuple(f"{row.seq}/{row.kind}/{row.name}" for row in part.rows if row.body is None),
        )
    )


def read_account_part(response: Response) -> AccountChunk:
    """Read a part of the accounts."""
    try:
        epoch, seq, flags = response.nonce.split(".")
        rows = []
        for held in response.resources:
            kind, name = held.name.split("/", 1)
            rows.append(Row(kind, name, record_json(held.body), int(held.version)))
        for one in response.removed:
            number, kind, name = one.split("/", 2)
            rows.append(Row(kind, name, None, int(number)))
        return AccountChunk(int(epoch), int(seq), flags[0] == "a", flags[1] == "f", flags[2] == "l", tuple(rows))
    except (ValueError, IndexError, TypeError) as error:
        raise WireError(f"a part of the accounts that cannot be read: {error}") from error
