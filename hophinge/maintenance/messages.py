"""What a head and the issuer of permits tell each other: each time all of it, so that a lost one costs nothing.

A head's long lists alone go as changes with a digest of the whole (`maintenance/snapshots.py`), to an issuer that has
said that it takes them.
"""

from __future__ import annotations

from typing import Generic, TypeVar

import msgspec
from msgspec import Struct

from hophinge.maintenance.drains import Statement
from hophinge.maintenance.permits import Permit


class BackendListing(Struct, frozen=True, array_like=True):
    """A brick as one head has it: where it is, and whether it is listed as on and not left alone for its failures."""

    zone: str
    kind: str
    is_up: bool


Row = TypeVar("Row")


class ListChange(Struct, Generic[Row], frozen=True, array_like=True):
    """What changed in a list, or all of it; `digest` is that of the whole list after it."""

    digest: int
    is_full: bool
    rows: dict[str, Row]
    removed: tuple[str, ...]


class ListChanges(Struct, frozen=True, array_like=True):
    """A report's lists as changes; `number` grows with each report of one stream."""

    sequence: int
    backends: ListChange[BackendListing]
    members: ListChange[bool]  # True: its word is wanted; False: held for dead or gone
    peer_statements: ListChange[list[Statement]]


class HeadReport(Struct, frozen=True, omit_defaults=True):
    """What a head says of itself and of what it sees."""

    process: int  # unlike that of any other process of this head
    build: str = ""
    zone: str = ""
    is_ready: bool = msgspec.field(default=False, name="ready")  # serves, with bricks and a version in force
    requested_key: str = msgspec.field(
        default="", name="ask"
    )  # the key of a wish to go out, by whoever restarts this head
    permit_to_begin: str = msgspec.field(default="", name="begin")  # the permit that it wants to begin
    statements: tuple[Statement, ...] = ()  # all of its own
    peer_statements: dict[str, list[Statement]] = msgspec.field(
        default_factory=dict, name="heard"
    )  # of heads that may have no line to here
    backends: dict[str, BackendListing] = msgspec.field(default_factory=dict, name="bricks")
    live_heads: tuple[str, ...] = msgspec.field(
        default=(), name="live"
    )  # heads whose word is wanted, by its sight of the cluster
    departed_heads: tuple[str, ...] = msgspec.field(default=(), name="gone")  # heads held for dead or gone
    is_clustered: bool = msgspec.field(default=False, name="clustered")  # it has such a sight at all
    accepted_requests: float = msgspec.field(default=0.0, name="taken")  # requests since its start
    failed_requests: float = msgspec.field(default=0.0, name="failed")  # refused, or without an answer
    list_changes: ListChanges | None = msgspec.field(
        default=None, name="parts"
    )  # in place of bricks, live, gone and heard
    is_uncertain: bool = msgspec.field(default=False, name="unsure")  # the issuer's own note: `bricks` may be old


class PermitUpdate(Struct, frozen=True):
    """What the issuer tells one head; a later one replaces what an earlier one said."""

    issuer: str  # the store that the promises are in
    fencing_token: int = msgspec.field(name="fence")  # grows with each start of an issuer on that store
    sequence: int = msgspec.field(name="number")
    ejected: dict[str, str] = msgspec.field(default_factory=dict, name="out")  # permits to bricks: send them nothing
    restored: dict[str, str] = msgspec.field(default_factory=dict, name="back")  # permits to bricks: take them up again
    own_permit: Permit | None = msgspec.field(default=None, name="own")  # this head's own permit
    waiting_reason: str = msgspec.field(default="", name="refused")  # why its wish or its begin has to wait
    halted_releases: tuple[str, ...] = msgspec.field(
        default=(), name="halted"
    )  # releases that nobody may begin for, as NAME/AGAIN
    accepts_list_changes: bool = msgspec.field(default=False, name="parts")  # the issuer takes lists as changes
    full_lists_request: int = msgspec.field(default=0, name="whole")  # the number of its last question for whole lists
