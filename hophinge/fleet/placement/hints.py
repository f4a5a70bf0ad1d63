"""What heads tell each other of requests they placed, so that each sees the load and the caches of all.

A head sees a small part of the traffic; without these words its books say next to nothing of an instance's queue.
They are hints: one that is lost makes a choice worse and breaks nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.codec import wire


@wire(80)
@dataclass(frozen=True, slots=True)
class PlacementHint:
    """Units of work that were sent to an instance, and the prompt parts that it keeps from then on."""

    instance: str
    units: int
    segments: tuple[tuple[str, int], ...]
    priority: int  # at the instance: 0 first
    memory_tokens: int  # tokens that the request holds there while it runs; 0 where it is only read
    job_id: int  # its number in the instance's queue, drawn at random


@wire(86)
@dataclass(frozen=True, slots=True)
class PrefillDone:
    """A prompt was read: its job is over, and the instance has gone on to the next."""

    instance: str
    job_id: int
    age_ms: int  # since then, when this was told


@wire(87)
@dataclass(frozen=True, slots=True)
class PrefillDropped:
    """A prompt will not be read: its client has left, or the attempt failed."""

    instance: str
    job_id: int


@wire(81)
@dataclass(frozen=True, slots=True)
class PlacementHints:
    """What was placed, and what came to its end, since the last word."""

    hints: tuple[PlacementHint, ...]
    done: tuple[PrefillDone, ...] = ()
    dropped: tuple[PrefillDropped, ...] = ()

    def __add__(self, other: PlacementHints) -> PlacementHints:
        """Put two words together."""
        return PlacementHints(self.hints + other.hints, self.done + other.done, self.dropped + other.dropped)

    @property
    def is_empty(self) -> bool:
        """Tell whether this says nothing."""
        return not self.hints and not self.done and not self.dropped


@wire(85)
@dataclass(frozen=True, slots=True)
class SuspectedInstances:
    """Instances that did not answer in time."""

    instances: tuple[str, ...]


@wire(84)
@dataclass(frozen=True, slots=True)
class HintsRequest:
    """A head that has just started asks another what is kept where."""


@wire(82)
@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine tells of itself."""

    instance: str
    waiting: int
    running: int
    used: int  # tokens of memory that can't give way
    total: int


@wire(83)
@dataclass(frozen=True, slots=True)
class EngineReports:
    """What some engines told."""

    reports: tuple[EngineReport, ...]


@dataclass(frozen=True, slots=True)
class FinishedPrefill:
    """A prompt that was read here and that the others have not been told of."""

    instance: str
    job_id: int
    ended_at: float
