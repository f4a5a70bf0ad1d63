"""Backends that operators ejected: an overlay over discovery's list, so that no list, change or restart undoes it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from msgspec import Struct

from hophinge.core.interface import ListKind, NodeEntry, NodeList, Phase


class ManualEjection(Struct, frozen=True):
    """The last call for a backend: when it came, and whether it ejected the backend."""

    at_us: int
    out: bool


class ManualEjections:
    """Discovery's list, the manual ejections, and the list that results for the core."""

    def __init__(self, on_change: Callable[[NodeList], None], now_us: Callable[[], int], slow_start_us: int) -> None:
        self.on_change = on_change
        self.now_us = now_us
        self.slow_start_us = slow_start_us
        self.listed: dict[str, NodeEntry] = {}
        self.ejections: dict[str, ManualEjection] = {}
        self.on_ejection: Callable[[], None] = lambda: None  # called when a call has set a mark

    def apply_list(self, event: NodeList) -> None:
        """Apply a list, or changes to one, and pass it on with the ejections applied."""
        if event.kind is ListKind.FULL:
            self.listed = {}
        for entry in event.entries:
            if entry.phase is Phase.GONE:
                self.listed.pop(entry.node, None)
            else:
                self.listed[entry.node] = entry
        self._forget()
        self.on_change(NodeList(event.kind, tuple(map(self._with_ejection, event.entries))))

    def _with_ejection(self, entry: NodeEntry) -> NodeEntry:
        mark = self.ejections.get(entry.node)
        if mark is None or entry.phase is Phase.GONE:
            return entry
        if mark.out:
            return replace(entry, phase=Phase.DRAINING)
        # Whoever took it out has had it restarted as a rule, and discovery may not have told yet: it counts as cold.
        return replace(entry, started_us=max(entry.started_us, mark.at_us))

    def _forget(self) -> None:
        """Drop the entries of backends that have been back for so long that they count as warm."""
        then = self.now_us() - self.slow_start_us
        self.ejections = {node: mark for node, mark in self.ejections.items() if mark.out or mark.at_us > then}

    def is_ejected(self, node: str) -> bool:
        """Return whether operators have ejected a backend."""
        mark = self.ejections.get(node)
        return mark is not None and mark.out

    def eject(self, node: str) -> bool:
        """Eject a backend; returns False for an unknown one. Idempotent."""
        if self.is_ejected(node):
            return True
        return node in self.listed and self._set(node, True)

    def restore(self, node: str) -> bool:
        """Restore a backend, however often it was ejected; returns False for an unknown one."""
        if self.is_ejected(node):
            return self._set(node, False)
        return node in self.listed

    def _set(self, node: str, out: bool) -> bool:
        last = self.ejections.get(
            node
        )  # a call that follows within one tick of the clock is the later one all the same
        done = self.merge({node: ManualEjection(max(self.now_us(), last.at_us + 1 if last else 0), out)})
        self.on_ejection()
        return done

    def merge(self, ejections: Mapping[str, ManualEjection]) -> bool:
        """Apply ejections that are newer than the known ones; returns whether there were any."""
        newer = {
            node: mark
            for node, mark in ejections.items()
            if node not in self.ejections or mark.at_us > self.ejections[node].at_us
        }
        self.ejections.update(newer)
        changed = tuple(self._with_ejection(self.listed[node]) for node in newer if node in self.listed)
        if changed:
            self.on_change(NodeList(ListKind.CHANGES, changed))
        return bool(newer)
