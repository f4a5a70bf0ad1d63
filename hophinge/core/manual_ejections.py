"""Backends that operators ejected, kept beside discovery's list so that no list or restart undoes an ejection."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from msgspec import Struct

from hophinge.core.interface import ListKind, NodeEntry, NodeList, Phase


class ManualEjection(Struct, frozen=True):
    """The last operator command for a backend: when it was given, and whether it ejected or restored the backend."""

    at_us: int
    out: bool


class ManualEjections:
    """Combines discovery's list with the manual ejections and passes the result to `on_change`."""

    def __init__(self, on_change: Callable[[NodeList], None], now_us: Callable[[], int], slow_start_us: int) -> None:
        self.on_change = on_change
        self.now_us = now_us
        self.slow_start_us = slow_start_us
        self.listed: dict[str, NodeEntry] = {}
        self.ejections: dict[str, ManualEjection] = {}
        # Called after an operator's command has changed an ejection.
        self.on_ejection: Callable[[], None] = lambda: None

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
        ejection = self.ejections.get(entry.node)
        if ejection is None or entry.phase is Phase.GONE:
            return entry
        if ejection.out:
            return replace(entry, phase=Phase.DRAINING)
        # An ejected backend has usually been restarted, which discovery may not have reported yet: it counts as cold.
        return replace(entry, started_us=max(entry.started_us, ejection.at_us))

    def _forget(self) -> None:
        """Drop the records of backends that were restored so long ago that they count as warm."""
        warm_since = self.now_us() - self.slow_start_us
        self.ejections = {
            node: ejection for node, ejection in self.ejections.items() if ejection.out or ejection.at_us > warm_since
        }

    def is_ejected(self, node: str) -> bool:
        """Return whether operators have ejected a backend and not restored it."""
        ejection = self.ejections.get(node)
        return ejection is not None and ejection.out

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
        # A command within the same clock tick as the last one still counts as the later one.
        last = self.ejections.get(node)
        is_changed = self.merge({node: ManualEjection(max(self.now_us(), last.at_us + 1 if last else 0), out)})
        self.on_ejection()
        return is_changed

    def merge(self, ejections: Mapping[str, ManualEjection]) -> bool:
        """Apply ejections that are newer than the known ones; returns whether there were any."""
        newer = {
            node: ejection
            for node, ejection in ejections.items()
            if node not in self.ejections or ejection.at_us > self.ejections[node].at_us
        }
        self.ejections.update(newer)
        changed = tuple(self._with_ejection(self.listed[node]) for node in newer if node in self.listed)
        if changed:
            self.on_change(NodeList(ListKind.CHANGES, changed))
        return bool(newer)
