"""What a ledger holds, for whoever decides on it without a disk: rows, entries of the audit, answers that are kept."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


class Row(msgspec.Struct, frozen=True):
    """One row; without a body it has been removed."""

    kind: str
    name: str
    body: bytes | None
    seq: int = 0


class Entry(msgspec.Struct, frozen=True):
    """One change, for the audit; detail names what changed, never a secret."""

    at_ms: int
    who: str
    role: str
    what: str
    target: str
    detail: Mapping[str, object] = {}


class Kept(msgspec.Struct, frozen=True):
    """An answer that was given, for the repetition of its call."""

    asked: bytes  # digest of what was asked
    status: int
    body: bytes


class Touched(msgspec.Struct, frozen=True):
    """The first entry of an audit that is not as it was written."""

    seq: int
    why: str
