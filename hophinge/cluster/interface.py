"""What other parts may rest on of a cluster: who its members are, and entries that each of them owns.

All of it is hearsay that may be old, doubled, lost or a lie. Nothing whose breach hurts may rest on it alone.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Protocol

from msgspec import Struct

MAX_NAME = 128  # characters of a member's name, an entry's key and a zone
MAX_VALUE = 900  # bytes of one entry's value: it travels whole in one datagram


class Standing(Enum):
    """What a member is held for. Unknown counts as the worse of both: who is suspect still owes its word."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class Role(Enum):
    """What a member does."""

    HEAD = "head"
    CONTROL = "control"


class Topic(Enum):
    """What an entry is about; those that stand first go out first where there is no room for all."""

    DRAINS = "drains"
    WEIGHTS = "weights"
    POPULARITY = "popularity"


class Member(Struct, frozen=True):
    """One process, by the newest word about it. `incarnation` grows with each refutation and each start."""

    name: str
    address: str
    incarnation: int
    standing: Standing
    zone: str = ""
    role: Role = Role.HEAD
    build: str = ""

    @property
    def counts(self) -> bool:
        """Tell whether its word is still wanted where all must agree: it is not known to be dead or to have left."""
        return self.standing in (Standing.ALIVE, Standing.SUSPECT)


class Entry(Struct, frozen=True):
    """What one member says under a topic and key; `version` is (its process's start, a count): the larger counts."""

    owner: str
    topic: Topic
    key: str
    version: tuple[int, int]
    value: bytes


class Sight(Protocol):
    """Who the members are, this one among them."""

    @property
    def me(self) -> str:
        """Tell this member's name."""

    def members(self) -> tuple[Member, ...]:
        """Tell all members that are not forgotten, by name."""


class Board(Protocol):
    """Entries: one's own to set, everybody's to read."""

    def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Set an own entry; raises a HophingeError where it is too large or there are too many, and changes nothing."""

    def drop(self, topic: Topic, key: str) -> None:
        """Take an own entry back; one that is not there is no error."""

    def entries(self, topic: Topic) -> Iterable[Entry]:
        """Tell what is held under a topic, of members that count, one's own among them; it may change meanwhile."""


class Hearer(Protocol):
    """Who wants to be told of changes."""

    def member(self, now_us: int, member: Member) -> None:
        """Take a member that came, or whose standing has changed."""

    def entry(self, now_us: int, entry: Entry, gone: bool) -> None:
        """Take an entry that was set, or is gone: taken back, or its owner forgotten."""
