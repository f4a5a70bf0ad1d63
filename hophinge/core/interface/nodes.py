"""Nodes as discovery lists them, and the results of attempts and probes at them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Phase(Enum):
    """The state of a node in the node list."""

    ON = "on"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """The kind of a node list event."""

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
    MISPLACED = "misplaced"  # rejected unexecuted: its time is over or its data are elsewhere; no fault of the node


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node of a list; `started_us` is 0 if it started long ago, `kind` is the number of its machine type."""

    node: str
    zone: int
    shard: int
    phase: Phase
    weight: float
    started_us: int
    kind: int = 0


@dataclass(frozen=True, slots=True)
class NodeList:
    """A complete node list, or changes to it."""

    kind: ListKind
    entries: tuple[NodeEntry, ...]
