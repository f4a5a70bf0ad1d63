"""The messages between a head and the issuer of permits: each has the complete state, so a lost one does no harm.

Only a head's long lists are sent as changes with a digest of the complete list (`maintenance/snapshots.py`), to an
issuer that has announced that it accepts them.
"""

from __future__ import annotations

from typing import Generic, TypeVar

import msgspec
from msgspec import Struct

from hophinge.maintenance.permits import Permit
from hophinge.maintenance.statements import Statement


class BackendListing(Struct, frozen=True, array_like=True):
    """A backend as one head lists it."""

    zone: str
    kind: str
    is_up: bool  # in rotation, and not avoided for its failures


Row = TypeVar("Row")


class ListChange(Struct, Generic[Row], frozen=True, array_like=True):
    """The changes of a list since the last report, or the full list."""

    digest: int  # of the complete list after the change
    is_full: bool
    rows: dict[str, Row]
    removed: tuple[str, ...]


class ListChanges(Struct, frozen=True, array_like=True):
    """The lists of a report as changes; `sequence` increases with each report of one stream."""

    sequence: int
    backends: ListChange[BackendListing]
    members: ListChange[bool]  # True: live, its statements are required; False: it has left
    peer_statements: ListChange[list[Statement]]


class HeadReport(Struct, frozen=True, omit_defaults=True):
    """What a head reports of itself and of what it observes."""

    process: int  # identifies the process among all processes of this head
    build: str = ""
    zone: str = ""
    # It serves: it has backends and a configuration version in force.
    is_ready: bool = msgspec.field(default=False, name="ready")
    # The key of a request to go offline, made by the operator who restarts this head.
    requested_key: str = msgspec.field(default="", name="ask")
    permit_to_begin: str = msgspec.field(default="", name="begin")
    statements: tuple[Statement, ...] = ()  # all statements of this head
    # Relayed statements of other heads, which may have no stream to the issuer.
    peer_statements: dict[str, list[Statement]] = msgspec.field(default_factory=dict, name="heard")
    backends: dict[str, BackendListing] = msgspec.field(default_factory=dict, name="bricks")
    # Heads whose statements are required, and heads that have left, in its view of the cluster.
    live_heads: tuple[str, ...] = msgspec.field(default=(), name="live")
    departed_heads: tuple[str, ...] = msgspec.field(default=(), name="gone")
    is_clustered: bool = msgspec.field(default=False, name="clustered")  # it has a view of the cluster
    accepted_requests: float = msgspec.field(default=0.0, name="taken")  # since its start
    failed_requests: float = msgspec.field(default=0.0, name="failed")  # rejected, or without an answer
    # In place of backends, live_heads, departed_heads and peer_statements.
    list_changes: ListChanges | None = msgspec.field(default=None, name="parts")
    is_uncertain: bool = msgspec.field(default=False, name="unsure")  # set by the issuer: `backends` may be stale


class PermitUpdate(Struct, frozen=True):
    """The issuer's state as one head needs it; a later update replaces an earlier one."""

    issuer: str  # the id of the store that the permits are in
    fencing_token: int = msgspec.field(name="fence")  # increases with each start of an issuer on that store
    sequence: int = msgspec.field(name="number")
    ejected: dict[str, str] = msgspec.field(default_factory=dict, name="out")  # backends by permit: no new requests
    restored: dict[str, str] = msgspec.field(default_factory=dict, name="back")  # backends by permit: use them again
    own_permit: Permit | None = msgspec.field(default=None, name="own")  # the permit of this head itself
    waiting_reason: str = msgspec.field(default="", name="refused")  # why its request or its begin has to wait
    # Releases whose permits no head may begin, as NAME/ATTEMPT.
    halted_releases: tuple[str, ...] = msgspec.field(default=(), name="halted")
    accepts_list_changes: bool = msgspec.field(default=False, name="parts")
    full_lists_request: int = msgspec.field(default=0, name="whole")  # the number of the last request for full lists
