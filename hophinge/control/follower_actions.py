"""Actions that a head's follower returns for its stream client to carry out, and states of the newest version."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from hophinge.control.messages import ConfigVersion, DiscoveryRequest
from hophinge.routing.routing_table import RoutingTable


class FollowerState(Enum):
    """State of the newest version that the control service announced."""

    NONE = "none"
    RECEIVED = "received"  # announced, but some of its records are missing
    IN_FORCE = "in force"
    REJECTED = "turned down"


class OpenStream(Struct, frozen=True):
    """Open a stream to an endpoint and send its first requests."""

    endpoint: str
    requests: tuple[DiscoveryRequest, ...]


class SendRequest(Struct, frozen=True):
    """Send a request on the open stream."""

    request: DiscoveryRequest


class CloseStream(Struct, frozen=True):
    """Close the stream or stop opening it, without a call of `on_stream_closed`."""

    reason: str


class ApplyTable(Struct, frozen=True):
    """Replace the routing table in one step."""

    table: RoutingTable


class PersistVersion(Struct, frozen=True):
    """Write the active version to disk, then call `on_persisted`."""

    version: ConfigVersion


class LogMessage(Struct, frozen=True):
    """Write a line to the log."""

    text: str


Action = OpenStream | SendRequest | CloseStream | ApplyTable | PersistVersion | LogMessage
