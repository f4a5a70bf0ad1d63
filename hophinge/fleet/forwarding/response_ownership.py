"""Whose response has come on a connection: the one decision for generation, prefill, resumption and freed KV handles.

An instance may send a response once more, late, where the next one is due (a surplus response). Responses carry the id
of their request, which tells them apart, since no request is sent twice on one connection. Requests to free a KV handle
have no id, nor have their responses.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from hophinge.fleet.forwarding.headers import REQUEST_ID, Fields, find_field

MAX_SURPLUS_RESPONSES = 8
MAX_SURPLUS_BYTES = 1 << 20


class ResponseOwner(Enum):
    """Whose a response is."""

    REQUEST = auto()  # the request's that is in flight
    SURPLUS = auto()  # another request's: the own one may follow
    UNKNOWN = auto()  # nobody's that was sent on this connection


def response_owner(fields: Fields, request_id: str | None, has_carried_unidentified: bool) -> ResponseOwner:
    """Return whose a response is.

    Args:
        fields: The response's header fields.
        request_id: The id of the request in flight; None where it has none.
        has_carried_unidentified: The connection has carried a request without an id before.

    """
    response_id = find_field(fields, REQUEST_ID)
    if response_id == request_id:
        return ResponseOwner.REQUEST
    if response_id is not None or has_carried_unidentified:
        return ResponseOwner.SURPLUS
    return ResponseOwner.UNKNOWN


@dataclass(slots=True)
class SurplusTally:
    """The surplus responses that were read past, for one request or on one connection."""

    responses: int = 0
    size_bytes: int = 0

    def add_response(self) -> None:
        """Count a response whose header has come."""
        self.responses += 1

    def add_bytes(self, count: int) -> None:
        """Count bytes of a response's body."""
        self.size_bytes += count

    @property
    def is_over(self) -> bool:
        """Whether more was read than may be."""
        return self.responses > MAX_SURPLUS_RESPONSES or self.size_bytes > MAX_SURPLUS_BYTES
