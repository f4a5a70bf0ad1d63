"""What a head's follower has done: its actions, and the states that a version may be in."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from hophinge.control.wire import Request, Version
from hophinge.routing.table import Table


class State(Enum):
    """Where the newest version that was heard of stands."""

    NONE = "none"
    RECEIVED = "received"  # told, but not all of its records are here
    IN_FORCE = "in force"
    TURNED_DOWN = "turned down"


class Connect(Struct, frozen=True):
    """Open a stream to an endpoint; its first requests are given."""

    endpoint: str
    requests: tuple[Request, ...]


class Tell(Struct, frozen=True):
    """Send a request on the open stream."""

    request: Request


class Close(Struct, frozen=True):
    """Close the stream, or stop opening it; `closed` is not to be called for it."""

    reason: str


class Apply(Struct, frozen=True):
    """Put a version in force, now and in one step."""

    table: Table


class Keep(Struct, frozen=True):
    """Write the version in force where it lasts, and call `kept`."""

    version: Version


class Log(Struct, frozen=True):
    """A line for staff."""

    text: str


Action = Connect | Tell | Close | Apply | Keep | Log
