"""Nodes as a list tells of them, and how what was sent to one ended."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Phase(Enum):
    """What the node list says of a node."""

    ON = "on"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a node list event holds."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"
    ERROR = "error"


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    MISPLACED = "misplaced"  # turned away unrun: over, or not held there; nothing against the node


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node of a list; started_us is 0 when it started long ago, kind is its machine kind's number."""

    node: str
    zone: int
    shard: int
    phase: Phase
    weight: float
    started_us: int
    kind: int = 0


@dataclass(frozen=True, slots=True)
class NodeList:
    """A node list, or what changed in it."""

    kind: ListKind
    entries: tuple[NodeEntry, ...]
