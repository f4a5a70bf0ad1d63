"""Statements of heads about the drains of backends, as they are replicated between the members of the cluster.

A statement names the id of its permit, so it means the same if it is late, duplicated or relayed.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec import Struct

from hophinge.cluster.interface import Entry, Topic

DRAINED = "drained"  # the head has no request in flight at the backend
SERVED = "served"  # the backend answers the head's requests again, and is warm


class Statement(Struct, frozen=True):
    """A claim of one head about a backend under one permit: `DRAINED` or `SERVED`."""

    permit: str
    backend: str = msgspec.field(name="brick")
    claim: str = msgspec.field(name="said")

    @property
    def key(self) -> str:
        """The key of its replicated entry."""
        return f"{self.permit}/{self.backend}"


def encode_statement(statement: Statement) -> bytes:
    """Encode a statement as the value of a replicated entry."""
    return msgspec.msgpack.encode(statement)


def statements_by_owner(entries: Iterable[Entry]) -> dict[str, list[Statement]]:
    """Decode the statements among entries, by owner; entries that are not valid statements are ignored."""
    statements: dict[str, list[Statement]] = {}
    for entry in entries:
        if entry.topic is Topic.DRAINS:
            try:
                statement = msgspec.msgpack.decode(entry.value, type=Statement)
            except msgspec.MsgspecError:
                continue
            if statement.key == entry.key:
                statements.setdefault(entry.owner, []).append(statement)
    return statements
