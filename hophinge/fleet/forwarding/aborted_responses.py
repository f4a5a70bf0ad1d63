"""Aborted responses: which side ended first, in which phase, and what the head knew of the instance.

Each is logged and counted, so that an operator can tell an abort by the instance from a disconnect of the client, an
expired deadline and a fault of the head itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AbortSide(Enum):
    """The side that ended the request first."""

    INSTANCE = "instance"  # it closed or reset the connection, or sent an invalid response
    CLIENT = "client"
    HEAD = "head"  # the head closed a connection in use, or failed itself
    TIME = "time"  # the client's deadline or the route's timeout expired
    PROCESS = "process"  # the head shut down


class RequestPhase(Enum):
    """How far the request had progressed."""

    ARRIVING = "arriving"  # its body was not complete
    CHOOSING = "choosing"  # no attempt was in flight
    READING = "reading"  # its prompt was in prefill at an instance
    WAITING = "waiting"  # sent to an instance, and no response had begun
    ANSWERING = "answering"  # part of the response had been sent to the client


@dataclass(frozen=True, slots=True)
class ObservedInstance:
    """What a head knows of an instance at one moment."""

    identity: str
    state: str  # as registered; empty where it is no longer known
    unregistered_s: float | None  # since the head learned that it unregistered; None where it has not
    connections: int  # open from the head to it


@dataclass(frozen=True, slots=True)
class AbortedResponse:
    """One aborted response, or a request that got no response."""

    request: str
    route: str
    side: AbortSide
    phase: RequestPhase
    error: str  # the exception; empty where there was none
    instance: ObservedInstance | None  # of the latest attempt
    configuration_version: int  # of the applied configuration
    configuration_age_s: float
    remaining_s: float  # until the request's deadline

    @property
    def reason(self) -> str:
        """The key under which it is counted in the status."""
        return f"{self.side.value} while {self.phase.value}"

    def event(self) -> str:
        """Return the event for the operator's log; the error comes last, as its text may hold spaces."""
        line = f"response aborted request={self.request} route={self.route}"
        line += f" side={self.side.value} phase={self.phase.value}"
        if self.instance is not None:
            line += f" instance={self.instance.identity} state={self.instance.state or 'unknown'}"
            if self.instance.unregistered_s is not None:
                line += f" unregistered_s={self.instance.unregistered_s:.3f}"
            line += f" connections={self.instance.connections}"
        line += f" version={self.configuration_version} version_age_s={self.configuration_age_s:.3f}"
        line += f" deadline_in_s={self.remaining_s:.3f}"
        if self.error:
            line += f" error={self.error}"
        return line
