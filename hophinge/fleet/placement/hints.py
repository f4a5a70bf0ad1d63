"""Messages by which heads exchange their placements, so that each knows the load and the caches of all instances.

A head sees a small fraction of the traffic; without these messages it knows next to nothing of an instance's queue.
They are hints: one that is lost makes a choice worse and breaks nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.codec import wire
from hophinge.fleet.placement.prompt import PromptSegment


@wire(80)
@dataclass(frozen=True, slots=True)
class PlacementHint:
    """Units of work that were sent to an instance, and the prompt segments that it has cached from then on."""

    instance: str
    units: int
    segments: tuple[PromptSegment, ...]
    priority: int  # at the instance: 0 first
    memory_tokens: int  # that the request occupies there while it runs; 0 where its prompt is only read
    job_id: int  # in the instance's queue, random


@wire(86)
@dataclass(frozen=True, slots=True)
class PrefillDone:
    """A prompt has been read, and the instance has started its next job."""

    instance: str
    job_id: int
    age_ms: int  # since then, when this was sent


@wire(87)
@dataclass(frozen=True, slots=True)
class PrefillDropped:
    """A prompt will not be read: its client has disconnected, or the attempt failed."""

    instance: str
    job_id: int


@wire(81)
@dataclass(frozen=True, slots=True)
class PlacementHints:
    """The placements, and the jobs that finished or were dropped, since the last message."""

    hints: tuple[PlacementHint, ...]
    done: tuple[PrefillDone, ...] = ()
    dropped: tuple[PrefillDropped, ...] = ()

    def __add__(self, other: PlacementHints) -> PlacementHints:
        """Combine two messages."""
        return PlacementHints(self.hints + other.hints, self.done + other.done, self.dropped + other.dropped)

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to send."""
        return not self.hints and not self.done and not self.dropped


@wire(85)
@dataclass(frozen=True, slots=True)
class SuspectedInstances:
    """Instances that did not answer in time."""

    instances: tuple[str, ...]


@wire(84)
@dataclass(frozen=True, slots=True)
class HintsRequest:
    """A head that has just started asks another which segments are cached where."""


@wire(82)
@dataclass(frozen=True, slots=True)
class EngineReport:
    """The load that an engine reports."""

    instance: str
    waiting: int
    running: int
    used: int  # tokens of memory that cannot be evicted
    total: int


@wire(83)
@dataclass(frozen=True, slots=True)
class EngineReports:
    """The reports of some engines."""

    reports: tuple[EngineReport, ...]


@dataclass(frozen=True, slots=True)
class FinishedPrefill:
    """A prompt that was read here, and of which the other heads are not yet notified."""

    instance: str
    job_id: int
    ended_at: float
