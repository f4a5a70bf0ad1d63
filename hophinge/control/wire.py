"""Protobuf encoding of the discovery stream's messages.

Records, leases and accounts are encoded as JSON within a protobuf message, so that each is defined in one place only:
`hophinge.routing.records`, `hophinge.tenancy.share_leases` and `hophinge.tenancy.records`.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

from hophinge.control.messages import (
    RESOURCE_TYPES,
    VERSION_NAME,
    ConfigVersion,
    DiscoveryRequest,
    DiscoveryResponse,
    MalformedMessageError,
    Resource,
    version_text,
)

INVALID_ARGUMENT = 3  # google.rpc.Code of a rejected response, as xDS requires
FINGERPRINT_BYTES = 16
_FIELD = descriptor_pb2.FieldDescriptorProto
_RECORD_FIELDS = (("json", _FIELD.TYPE_BYTES),)
_VERSION_FIELDS = (
    ("epoch", _FIELD.TYPE_UINT64),
    ("number", _FIELD.TYPE_UINT64),
    ("count", _FIELD.TYPE_UINT64),
    ("sum", _FIELD.TYPE_BYTES),
    ("pushed_ms", _FIELD.TYPE_INT64),
)


class _MessageClasses(NamedTuple):
    record: Any  # protobuf creates these classes at run time, so they have no static type
    version: Any


def _message_classes() -> _MessageClasses:
    """Build the protobuf classes of the two messages; there is no generated code for them."""
    file = descriptor_pb2.FileDescriptorProto(
        name="hophinge/config/v1/config.proto", package="hophinge.config.v1", syntax="proto3"
    )
    for message_name, fields in (("Record", _RECORD_FIELDS), ("Version", _VERSION_FIELDS)):
        message = file.message_type.add(name=message_name)
        for number, (field_name, field_type) in enumerate(fields, 1):
            message.field.add(name=field_name, number=number, type=field_type, label=_FIELD.LABEL_OPTIONAL)
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    classes = message_factory.GetMessageClassesForFiles([file.name], pool)
    return _MessageClasses(classes["hophinge.config.v1.Record"], classes["hophinge.config.v1.Version"])


_RECORD_MESSAGE, _VERSION_MESSAGE = _message_classes()


def encode_record(json: bytes) -> bytes:
    """Encode JSON as a record message."""
    return bytes(_RECORD_MESSAGE(json=json).SerializeToString())


def decode_record(body: bytes) -> bytes:
    """Return the JSON of a record message; raises MalformedMessageError."""
    try:
        return bytes(_RECORD_MESSAGE.FromString(body).json)
    except Exception as error:  # protobuf's implementations raise different types
        raise MalformedMessageError(f"cannot decode a record: {error}") from error


def version_resource(version: ConfigVersion) -> Resource:
    """Encode a version as the only resource of its type."""
    body = _VERSION_MESSAGE(
        epoch=version.id[0],
        number=version.id[1],
        count=version.record_count,
        sum=version.fingerprint_sum.to_bytes(FINGERPRINT_BYTES, "big"),
        pushed_ms=version.pushed_ms,
    ).SerializeToString()
    return Resource(VERSION_NAME, version_text(version.id, version.fingerprint_sum), bytes(body))


def decode_version(body: bytes) -> ConfigVersion:
    """Decode a version message; raises MalformedMessageError."""
    try:
        message = _VERSION_MESSAGE.FromString(body)
    except Exception as error:  # as in decode_record
        raise MalformedMessageError(f"cannot decode a version: {error}") from error
    if not message.number or len(message.sum) != FINGERPRINT_BYTES:
        raise MalformedMessageError("a version without a number or fingerprint sum")
    fingerprint_sum = int.from_bytes(message.sum, "big")
    return ConfigVersion((message.epoch, message.number), message.count, fingerprint_sum, message.pushed_ms)


def encode_response(response: DiscoveryResponse) -> bytes:
    """Encode a response."""
    message = discovery_pb2.DeltaDiscoveryResponse(
        type_url=response.resource_type.value, nonce=response.nonce, removed_resources=response.removed
    )
    for resource in response.resources:
        encoded = message.resources.add(name=resource.name, version=resource.version)
        encoded.resource.type_url = response.resource_type.value
        encoded.resource.value = resource.body
    return bytes(message.SerializeToString())


def decode_response(data: bytes) -> DiscoveryResponse:
    """Decode a response; raises MalformedMessageError."""
    try:
        message = discovery_pb2.DeltaDiscoveryResponse.FromString(data)
    except Exception as error:  # as in decode_record
        raise MalformedMessageError(f"cannot decode a response: {error}") from error
    resource_type = RESOURCE_TYPES.get(message.type_url)
    if resource_type is None:
        raise MalformedMessageError(f"a response of unknown type {message.type_url!r}")
    return DiscoveryResponse(
        resource_type,
        message.nonce,
        tuple(Resource(encoded.name, encoded.version, bytes(encoded.resource.value)) for encoded in message.resources),
        tuple(message.removed_resources),
    )


def encode_request(request: DiscoveryRequest) -> bytes:
    """Encode a request."""
    message = discovery_pb2.DeltaDiscoveryRequest(
        type_url=request.resource_type.value,
        response_nonce=request.nonce,
        initial_resource_versions=request.initial_versions,
    )
    if request.subscribe:
        message.resource_names_subscribe.append("*")
    if request.error:
        message.error_detail.code = INVALID_ARGUMENT
        message.error_detail.message = request.error
    if request.head:
        message.node.id = request.head
        message.node.user_agent_name = "hophinge"
        for name, value in request.metrics.items():
            message.node.metadata[name] = value
    return bytes(message.SerializeToString())


def decode_request(data: bytes) -> DiscoveryRequest:
    """Decode a request; raises MalformedMessageError."""
    try:
        message = discovery_pb2.DeltaDiscoveryRequest.FromString(data)
    except Exception as error:  # as in decode_record
        raise MalformedMessageError(f"cannot decode a request: {error}") from error
    resource_type = RESOURCE_TYPES.get(message.type_url)
    if resource_type is None:
        raise MalformedMessageError(f"a request for unknown type {message.type_url!r}")
    detail = message.error_detail
    return DiscoveryRequest(
        resource_type,
        nonce=message.response_nonce,
        error=(detail.message or f"code {detail.code}") if message.HasField("error_detail") else "",
        subscribe=bool(message.resource_names_subscribe),
        initial_versions=dict(message.initial_resource_versions),
        head=message.node.id,
        metrics={
            name: value.number_value
            for name, value in message.node.metadata.fields.items()
            if value.WhichOneof("kind") == "number_value"
        },
    )
