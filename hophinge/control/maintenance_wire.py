"""Encoding of maintenance messages: updates to heads, reports of heads, and the statements in the store."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from hophinge.control import wire
from hophinge.control.messages import (
    DiscoveryRequest,
    DiscoveryResponse,
    MalformedMessageError,
    Resource,
    ResourceType,
)
from hophinge.maintenance.messages import HeadReport, PermitUpdate
from hophinge.routing import records
from hophinge.routing.records import Record

MAINTENANCE_METRIC = "maintenance"  # reported by heads that support updates and reports
REPORT_KEY = "report"  # key of a request's `initial_versions` that holds its report


def encode_statements(statements: Sequence[Record]) -> bytes:
    """Encode maintenance statements for the store."""
    return msgspec.json.encode([msgspec.Raw(records.encode(statement)) for statement in statements])


def encode_update(update: PermitUpdate) -> bytes:
    """Encode an update as a response."""
    nonce = f"{update.fencing_token}.{update.sequence}"
    resource = Resource(MAINTENANCE_METRIC, nonce, wire.encode_record(msgspec.json.encode(update)))
    return wire.encode_response(DiscoveryResponse(ResourceType.MAINTENANCE, nonce, (resource,)))


def decode_update(response: DiscoveryResponse) -> PermitUpdate:
    """Decode an update; raises MalformedMessageError."""
    try:
        return msgspec.json.decode(wire.decode_record(response.resources[0].body), type=PermitUpdate)
    except (IndexError, msgspec.MsgspecError) as error:
        raise MalformedMessageError(f"cannot decode a maintenance update: {error}") from error


def report_request(head: str, report: HeadReport) -> DiscoveryRequest:
    """Return the request that carries a head's report."""
    encoded = msgspec.json.encode(report).decode()
    return DiscoveryRequest(ResourceType.MAINTENANCE, head=head, initial_versions={REPORT_KEY: encoded})


def decode_report(request: DiscoveryRequest) -> HeadReport:
    """Return the report that a request carries; raises MalformedMessageError."""
    try:
        return msgspec.json.decode(request.initial_versions.get(REPORT_KEY, ""), type=HeadReport)
    except msgspec.MsgspecError as error:
        raise MalformedMessageError(f"cannot decode a maintenance report: {error}") from error
