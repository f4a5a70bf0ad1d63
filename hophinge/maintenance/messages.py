"""What a head and the issuer of permits tell each other: each time all of it, so that a lost one costs nothing.

A head's long lists alone go as changes with a digest of the whole (`maintenance/listing.py`), to an issuer that has
said that it takes them.
"""

from __future__ import annotations

from typing import Generic, TypeVar

import msgspec
from msgspec import Struct

from hophinge.maintenance.drains import Statement
from hophinge.maintenance.permits import Permit


class Listed(Struct, frozen=True, array_like=True):
    """A brick as one head has it: where it is, and whether it is listed as on and not left alone for its failures."""

    zone: str
    kind: str
    up: bool


Row = TypeVar("Row")


class Part(Struct, Generic[Row], frozen=True, array_like=True):
    """What changed in a list, or all of it; `digest` is that of the whole list after it."""

    digest: int
    whole: bool
    rows: dict[str, Row]
    lost: tuple[str, ...]


class Parts(Struct, frozen=True, array_like=True):
    """A report's lists as changes; `number` grows with each report of one stream."""

    number: int
    backends: Part[Listed]
    members: Part[bool]  # True: its word is wanted; False: held for dead or gone
    heard: Part[list[Statement]]


class Report(Struct, frozen=True, omit_defaults=True):
    """What a head says of itself and of what it sees."""

    process: int  # unlike that of any other process of this head
    build: str = ""
    zone: str = ""
    ready: bool = False  # serves, with bricks and a version in force
    ask: str = ""  # the key of a wish to go out, by whoever restarts this head
    begin: str = ""  # the permit that it wants to begin
    statements: tuple[Statement, ...] = ()  # all of its own
    heard: dict[str, list[Statement]] = {}  # of heads that may have no line to here
    backends: dict[str, Listed] = msgspec.field(default_factory=dict, name="bricks")
    live: tuple[str, ...] = ()  # heads whose word is wanted, by its sight of the cluster
    gone: tuple[str, ...] = ()  # heads held for dead or gone
    clustered: bool = False  # it has such a sight at all
    taken: float = 0.0  # requests since its start
    failed: float = 0.0  # refused, or without an answer
    parts: Parts | None = None  # in place of bricks, live, gone and heard
    unsure: bool = False  # the issuer's own note: `bricks` may be old


class Word(Struct, frozen=True):
    """What the issuer tells one head; a later one replaces what an earlier one said."""

    issuer: str  # the store that the promises are in
    fence: int  # grows with each start of an issuer on that store
    number: int
    out: dict[str, str] = {}  # permits to bricks: send them nothing
    back: dict[str, str] = {}  # permits to bricks: take them up again
    own: Permit | None = None  # this head's own permit
    refused: str = ""  # why its wish or its begin has to wait
    halted: tuple[str, ...] = ()  # releases that nobody may begin for, as NAME/AGAIN
    parts: bool = False  # the issuer takes lists as changes
    whole: int = 0  # the number of its last question for whole lists
