"""Decides which request a response belongs to, for generation, prefill, resumption and the freeing of KV handles.

An instance may send a response a second time, late, before the next response on the connection (a surplus response).
Responses carry the id of their request, which tells them apart, since no request is sent twice on one connection.
Requests to free a KV handle have no id, nor have their responses.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from hophinge.fleet.forwarding.headers import REQUEST_ID, Fields, find_field

MAX_SURPLUS_RESPONSES = 8
MAX_SURPLUS_BYTES = 1 << 20


class ResponseOwner(Enum):
    """The request that a response belongs to."""

    REQUEST = auto()  # the request in flight
    SURPLUS = auto()  # an earlier request: the response to the one in flight may follow
    UNKNOWN = auto()  # no request that was sent on this connection


def response_owner(fields: Fields, request_id: str | None, has_carried_unidentified: bool) -> ResponseOwner:
    """Return which request a response belongs to.

    Args:
        fields: The response's header fields.
        request_id: The id of the request in flight; None if it has none.
        has_carried_unidentified: Whether the connection has carried a request without an id before.

    """
    response_id = find_field(fields, REQUEST_ID)
    if response_id == request_id:
        return ResponseOwner.REQUEST
    if response_id is not None or has_carried_unidentified:
        return ResponseOwner.SURPLUS
    return ResponseOwner.UNKNOWN


@dataclass(slots=True)
class SurplusTally:
    """The surplus responses that were skipped, for one request or on one connection."""

    responses: int = 0
    size_bytes: int = 0

    def add_response(self) -> None:
        """Count a response whose header has arrived."""
        self.responses += 1

    def add_bytes(self, count: int) -> None:
        """Count bytes of a response's body."""
        self.size_bytes += count

    @property
    def is_limit_exceeded(self) -> bool:
        """Whether more responses or bytes were skipped than allowed."""
        return self.responses > MAX_SURPLUS_RESPONSES or self.size_bytes > MAX_SURPLUS_BYTES
