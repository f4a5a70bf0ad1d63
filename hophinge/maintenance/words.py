"""What a head and the issuer of permits tell each other: each time all of it, so that a lost one costs nothing."""

from __future__ import annotations

from msgspec import Struct

from hophinge.maintenance.drains import Statement
from hophinge.maintenance.permits import Permit


class Listed(Struct, frozen=True, array_like=True):
    """A brick as one head has it: where it is, and whether it is listed as on and not left alone for its failures."""

    zone: str
    kind: str
    up: bool


class Report(Struct, frozen=True):
    """What a head says of itself and of what it sees."""

    process: int                                # unlike that of any other process of this head
    build: str = ""
    zone: str = ""
    ready: bool = False                         # serves, with bricks and a version in force
    ask: str = ""                               # the key of a wish to go out, by whoever restarts this head
    begin: str = ""                             # the permit that it wants to begin
    statements: tuple[Statement, ...] = ()      # all of its own
    heard: dict[str, list[Statement]] = {}      # of heads that may have no line to here
    bricks: dict[str, Listed] = {}
    live: tuple[str, ...] = ()                  # heads whose word is wanted, by its sight of the cluster
    gone: tuple[str, ...] = ()                  # heads held for dead or gone
    clustered: bool = False                     # it has such a sight at all
    taken: float = 0.0                          # requests since its start
    failed: float = 0.0                         # refused, or without an answer


class Word(Struct, frozen=True):
    """What the issuer tells one head; a later one replaces what an earlier one said."""

    issuer: str                                 # the store that the promises are in
    fence: int                                  # grows with each start of an issuer on that store
    number: int
    out: dict[str, str] = {}                    # permits to bricks: send them nothing
    back: dict[str, str] = {}                   # permits to bricks: take them up again
    own: Permit | None = None                   # this head's own permit
    refused: str = ""                           # why its wish or its begin has to wait
    halted: tuple[str, ...] = ()                # releases that nobody may begin for, as NAME/AGAIN
