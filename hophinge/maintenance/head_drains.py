"""The drains of backends at one head: when a backend is ejected and restored, and what the head states about it."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from enum import Enum

from msgspec import Struct

from hophinge.maintenance.statements import DRAINED, SERVED, Statement


class DrainPhase(Enum):
    """The progress of one drain at this head."""

    EJECTED = "out"  # out of rotation, with requests still in flight
    DRAINED = "quiet"  # drained, as this head has stated
    RESTORED = "back"  # in rotation again, but not warm, or without an answer yet
    SERVED = "warm"  # answers and is warm, as this head has stated


class Eject(Struct, frozen=True):
    """Take the backend out of rotation: it gets no new requests."""

    backend: str


class Restore(Struct, frozen=True):
    """Put the backend back into rotation, cold."""

    backend: str


class Announce(Struct, frozen=True):
    """Publish a statement of this head."""

    statement: Statement


class Retract(Struct, frozen=True):
    """Withdraw a statement of this head."""

    statement: Statement


Action = Eject | Restore | Announce | Retract


class LocalDrain(Struct):
    """One drain at this head."""

    permit: str
    backend: str
    phase: DrainPhase

    @property
    def is_ejected(self) -> bool:
        """Whether the backend is out of rotation here."""
        return self.phase in (DrainPhase.EJECTED, DrainPhase.DRAINED)


class HeadDrains:
    """The drains at one head. They stay in force until the issuer ends them, also while it cannot be reached."""

    def __init__(self, stored: Iterable[tuple[str, str]] = ()) -> None:
        """Restore the drains from the stored pairs of permit and backend.

        After a restart a head ejects the backends that were ejected at its end, before it serves or receives an update.
        """
        self.drains = {permit: LocalDrain(permit, backend, DrainPhase.EJECTED) for permit, backend in stored}

    def start(self) -> list[Action]:
        """Return the actions for the stored drains."""
        return [Eject(drain.backend) for drain in self.drains.values()]

    def apply_update(self, ejected: Mapping[str, str], restored: Mapping[str, str]) -> list[Action]:
        """Apply the issuer's update.

        Args:
            ejected: The backends to eject, by permit: all drains that are in force.
            restored: The backends to restore, by permit.

        """
        actions: list[Action] = []
        for permit, backend in ejected.items():
            drain = self.drains.get(permit)
            if drain is None or not drain.is_ejected:
                self.drains[permit] = LocalDrain(permit, backend, DrainPhase.EJECTED)
                actions.append(Eject(backend))
        for permit, backend in restored.items():
            drain = self.drains.setdefault(permit, LocalDrain(permit, backend, DrainPhase.RESTORED))
            if drain.is_ejected:
                actions += self._restore(drain)
                drain.phase = DrainPhase.RESTORED
        for permit in self.drains.keys() - ejected.keys() - restored.keys():
            drain = self.drains.pop(permit)
            if drain.is_ejected:
                actions += self._restore(drain)
            elif drain.phase is DrainPhase.SERVED:
                actions.append(Retract(Statement(permit, drain.backend, SERVED)))
        return actions

    def _restore(self, drain: LocalDrain) -> list[Action]:
        restore = Restore(drain.backend)
        if drain.phase is DrainPhase.DRAINED:
            return [Retract(Statement(drain.permit, drain.backend, DRAINED)), restore]
        return [restore]

    def observe(self, in_flight: Mapping[str, int], ejected: Collection[str], warm: Collection[str]) -> list[Action]:
        """Return the actions that follow from the state of the backends.

        Args:
            in_flight: The number of attempts in flight, by backend.
            ejected: The backends that are out of rotation.
            warm: The backends that have answered since they were restored, and are warm.

        """
        actions: list[Action] = []
        for drain in self.drains.values():
            is_drained = drain.backend in ejected and not in_flight.get(drain.backend)
            drained = Statement(drain.permit, drain.backend, DRAINED)
            if drain.phase is DrainPhase.EJECTED and is_drained:
                drain.phase = DrainPhase.DRAINED
                actions.append(Announce(drained))
            elif drain.phase is DrainPhase.DRAINED and not is_drained:
                drain.phase = DrainPhase.EJECTED  # back in rotation, by an operator, or with requests in flight
                actions.append(Retract(drained))
                if drain.backend not in ejected:
                    actions.append(Eject(drain.backend))
            elif drain.phase is DrainPhase.RESTORED and drain.backend in warm:
                drain.phase = DrainPhase.SERVED
                actions.append(Announce(Statement(drain.permit, drain.backend, SERVED)))
        return actions

    def statements(self) -> list[Statement]:
        """Return all statements of this head that are in force."""
        claims = {DrainPhase.DRAINED: DRAINED, DrainPhase.SERVED: SERVED}
        return [
            Statement(drain.permit, drain.backend, claims[drain.phase])
            for drain in self.drains.values()
            if drain.phase in claims
        ]

    def to_store(self) -> dict[str, str]:
        """Return what has to be stored for a restart: the backends that are ejected here, by permit."""
        return {drain.permit: drain.backend for drain in self.drains.values() if drain.is_ejected}
