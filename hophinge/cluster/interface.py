"""What other packages may use of a cluster: its members, and the replicated entries that each member owns.

All of it is eventually consistent: it may be stale, duplicated, missing or, from a faulty member, wrong. No invariant
whose violation does harm may depend on it alone.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple, Protocol

from msgspec import Struct

MAX_NAME_CHARS = 128  # of a member's name, an entry's key and a zone
MAX_VALUE_BYTES = 900  # of one entry's value: an entry is never split over datagrams


class MemberState(Enum):
    """The state of a member as the failure detector (SWIM) sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class Role(Enum):
    """The kind of process that a member is."""

    HEAD = "head"
    CONTROL = "control"


class Topic(Enum):
    """The subject of an entry, in order of priority: the first topics are sent first under the byte limit."""

    DRAINS = "drains"
    WEIGHTS = "weights"
    POPULARITY = "popularity"


class Member(Struct, frozen=True):
    """One process as of the newest record about it. `incarnation` grows with each refutation and each start."""

    name: str
    address: str
    incarnation: int
    state: MemberState
    zone: str = ""
    role: Role = Role.HEAD
    build: str = ""

    @property
    def is_live(self) -> bool:
        """Whether the member is alive or suspect: where all have to agree, its agreement is still required."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


class EntryVersion(NamedTuple):
    """The version of an entry; the larger one is newer."""

    generation: int  # of the owner's process
    sequence: int  # of the change within that generation


class Entry(Struct, frozen=True):
    """The value that one member has published under a topic and key."""

    owner: str
    topic: Topic
    key: str
    version: EntryVersion
    value: bytes


class MembershipView(Protocol):
    """The members of the cluster, this process among them."""

    @property
    def own_name(self) -> str:
        """The name of this member."""

    def members(self) -> tuple[Member, ...]:
        """Return all members that have not been forgotten, sorted by name."""


class ReplicatedEntries(Protocol):
    """The entries of all members; each member writes only its own."""

    def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Publish an entry of this member.

        Raises:
            HophingeError: The entry is too large or there are too many; nothing was changed.

        """

    def delete(self, topic: Topic, key: str) -> None:
        """Delete an entry of this member; a missing one is not an error."""

    def entries(self, topic: Topic) -> Iterable[Entry]:
        """Return the entries of live members under a topic, this member's included; they may change meanwhile."""


class Subscriber(Protocol):
    """Receives the changes of members and entries."""

    def member_changed(self, now_us: int, member: Member) -> None:
        """Handle a member that joined, or whose record has changed."""

    def entry_changed(self, now_us: int, entry: Entry, is_deleted: bool) -> None:
        """Handle an entry that was published, or deleted by its owner or because its owner was forgotten."""
