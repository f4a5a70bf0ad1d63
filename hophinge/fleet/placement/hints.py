"""Messages by which heads exchange their placements, so that each knows the load and the caches of all instances.

A head handles a small fraction of the traffic; without these messages it could hardly estimate an instance's queue.
They are only hints: a lost message makes placement less accurate and breaks nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.codec import wire
from hophinge.fleet.placement.prompt import PromptSegment


@wire(80)
@dataclass(frozen=True, slots=True)
class PlacementHint:
    """Work that a head sent to an instance, and the prompt segments that the instance will have cached."""

    instance: str
    units: int
    segments: tuple[PromptSegment, ...]
    priority: int  # in the instance's queue; 0 is the highest
    memory_tokens: int  # that the request occupies while it runs; 0 if the instance only prefills it
    job_id: int  # random identifier in the instance's queue


@wire(86)
@dataclass(frozen=True, slots=True)
class PrefillDone:
    """An instance has finished the prefill of a prompt, and has started its next job."""

    instance: str
    job_id: int
    age_ms: int  # time between the end of the prefill and the sending of this message


@wire(87)
@dataclass(frozen=True, slots=True)
class PrefillDropped:
    """A prompt will not be prefilled: its client has disconnected, or the attempt failed."""

    instance: str
    job_id: int


@wire(81)
@dataclass(frozen=True, slots=True)
class PlacementHints:
    """The placements, finished jobs and dropped jobs since the last message."""

    hints: tuple[PlacementHint, ...]
    done: tuple[PrefillDone, ...] = ()
    dropped: tuple[PrefillDropped, ...] = ()

    def __add__(self, other: PlacementHints) -> PlacementHints:
        """Concatenate two messages."""
        return PlacementHints(self.hints + other.hints, self.done + other.done, self.dropped + other.dropped)

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to send."""
        return not self.hints and not self.done and not self.dropped


@wire(85)
@dataclass(frozen=True, slots=True)
class SuspectedInstances:
    """Instances at which an attempt failed, and which may have ended."""

    instances: tuple[str, ...]


@wire(84)
@dataclass(frozen=True, slots=True)
class HintsRequest:
    """Request of a head that has just started: which segments are cached at which instances."""


@wire(82)
@dataclass(frozen=True, slots=True)
class EngineReport:
    """The load that an engine reports."""

    instance: str
    waiting: int
    running: int
    used: int  # KV cache memory in use that cannot be evicted, in tokens
    total: int  # KV cache memory, in tokens


@wire(83)
@dataclass(frozen=True, slots=True)
class EngineReports:
    """The load reports of several engines."""

    reports: tuple[EngineReport, ...]


@dataclass(frozen=True, slots=True)
class FinishedPrefill:
    """A finished prefill that this head placed and has not yet announced to the other heads."""

    instance: str
    job_id: int
    ended_at: float
