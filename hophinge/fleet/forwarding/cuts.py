"""Answers that are cut: which side ended first, at which step, and what the head knew of the instance.

One line in the log and one count for each, so that an operator can tell an instance that broke off from a client that
left, a deadline, and a fault of the head's own.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Side(Enum):
    """Who ended first."""

    INSTANCE = "instance"  # it closed or reset the connection, or sent what is no answer
    CLIENT = "client"
    HEAD = "head"  # the head closed a connection that was in use, or failed itself
    TIME = "time"  # the client's deadline or the route's timeout came
    PROCESS = "process"  # the head came to its own end


class Step(Enum):
    """How far the request had got."""

    ARRIVING = "arriving"  # its body had not come whole
    CHOOSING = "choosing"  # no attempt was under way
    READING = "reading"  # its prompt was being read at an instance
    WAITING = "waiting"  # sent to an instance, and no answer had begun
    ANSWERING = "answering"  # some of the answer had gone to the client


@dataclass(frozen=True, slots=True)
class InstanceSeen:
    """What a head knows of an instance at one moment."""

    identity: str
    state: str  # as registered; empty where it is not known any more
    unregistered_s: float | None  # since the head heard that it has ended
    connections: int  # that the head has to it


@dataclass(frozen=True, slots=True)
class Cut:
    """One answer that was cut, or request that was left without one."""

    request: str
    route: str
    side: Side
    step: Step
    error: str  # the exception, where there was one
    instance: InstanceSeen | None  # of the newest attempt
    version: int  # of the configuration in force
    version_age_s: float
    left_s: float  # until the request's deadline

    @property
    def reason(self) -> str:
        """Tell what it is counted as."""
        return f"{self.side.value} while {self.step.value}"

    def log_line(self) -> str:
        """Return the event for the operator's log; the error comes last, as its text may hold spaces."""
        line = f"response aborted request={self.request} route={self.route}"
        line += f" side={self.side.value} phase={self.step.value}"
        if self.instance is not None:
            line += f" instance={self.instance.identity} state={self.instance.state or 'unknown'}"
            if self.instance.unregistered_s is not None:
                line += f" unregistered_s={self.instance.unregistered_s:.3f}"
            line += f" connections={self.instance.connections}"
        line += f" version={self.version} version_age_s={self.version_age_s:.3f} deadline_in_s={self.left_s:.3f}"
        if self.error:
            line += f" error={self.error}"
        return line
