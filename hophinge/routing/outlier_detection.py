"""Outlier detection: a backend whose share of failed attempts is too large is ejected for a time.

The rule bounds the share of live backends that are ejected at once. A backend that is ejected again soon after its
return stays ejected twice as long each time.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from hophinge.routing.records import EjectionRule

WINDOW_SLOTS = 8
MAX_DOUBLINGS = 5  # of the ejection time
BACKOFF_RESET_PERIODS = 8  # ejection times without a new ejection, after which the doublings start over
ROUNDING = 1e-9


class EjectionHistory(NamedTuple):
    """How many times a backend was ejected in a row, and the time of the last ejection."""

    in_a_row: int
    last_us: int


class ErrorWindow:
    """Attempts at one backend and their errors, counted in the slots of a sliding window."""

    __slots__ = ("attempts", "current_slot", "errors")

    def __init__(self) -> None:
        self.errors = [0] * WINDOW_SLOTS
        self.attempts = [0] * WINDOW_SLOTS
        self.current_slot = 0

    def add(self, now_us: int, slot_us: int, error: bool) -> None:
        """Count an attempt that ended."""
        slot = now_us // slot_us
        if slot > self.current_slot:
            for expired in range(max(self.current_slot + 1, slot - WINDOW_SLOTS + 1), slot + 1):
                self.errors[expired % WINDOW_SLOTS] = 0
                self.attempts[expired % WINDOW_SLOTS] = 0
            self.current_slot = slot
        self.attempts[self.current_slot % WINDOW_SLOTS] += 1
        self.errors[self.current_slot % WINDOW_SLOTS] += error


class OutlierDetector:
    """Ejects failing backends; `ejected_until` (microseconds, by backend) changes only during calls of its methods."""

    def __init__(self) -> None:
        self.rule: EjectionRule | None = None
        self.live: frozenset[str] = frozenset()
        self.windows: dict[str, ErrorWindow] = {}
        self.ejected_until: dict[str, int] = {}
        self.ejections: dict[str, EjectionHistory] = {}
        self.next_return_us = 0  # when the next ejection ends; 0: no backend is ejected
        self.ejected_count = 0
        self.suppressed_count = 0  # ejections that `max_ejected` prevented

    @property
    def max_ejected(self) -> int:
        """How many backends may be ejected at once."""
        return int(self.rule.max_ejected_share * len(self.live) + ROUNDING) if self.rule is not None else 0

    def set_rule(self, rule: EjectionRule | None, now_us: int) -> bool:
        """Apply a version's rule (None: no ejections); return whether the set of ejected backends has changed."""
        if rule != self.rule and (rule is None or self.rule is None or rule.window_us != self.rule.window_us):
            self.windows = {}  # the length of a slot has changed
        self.rule = rule
        return self._restore_backends(now_us)

    def set_live_backends(self, live: Iterable[str], now_us: int) -> bool:
        """Set the live backends; return whether the set of ejected ones has changed."""
        self.live = frozenset(live)
        for state_by_backend in (self.windows, self.ejections):
            for node in state_by_backend.keys() - self.live:
                del state_by_backend[node]
        removed = self.ejected_until.keys() - self.live
        for node in removed:
            del self.ejected_until[node]
        return self._restore_backends(now_us) or bool(removed)

    def _restore_backends(self, now_us: int) -> bool:
        """End expired ejections, and the ones that expire next while too many backends are ejected."""
        before = len(self.ejected_until)
        self.ejected_until = {node: until_us for node, until_us in self.ejected_until.items() if until_us > now_us}
        by_return = sorted(self.ejected_until.items(), key=lambda item: (item[1], item[0]))
        for node, _ in by_return[: max(0, len(self.ejected_until) - self.max_ejected)]:
            del self.ejected_until[node]
        self.next_return_us = min(self.ejected_until.values(), default=0)
        return len(self.ejected_until) != before

    def restore_expired(self, now_us: int) -> bool:
        """End expired ejections; return whether there were any."""
        return 0 < self.next_return_us <= now_us and self._restore_backends(now_us)

    def on_attempt_ended(self, node: str, error: bool, now_us: int) -> bool:
        """Record the end of an attempt; return whether its backend was ejected because of it."""
        rule = self.rule
        if rule is None or node not in self.live or node in self.ejected_until:
            return False
        window = self.windows.get(node)
        if window is None:
            window = self.windows[node] = ErrorWindow()
        window.add(now_us, max(1, rule.window_us // WINDOW_SLOTS), error)
        attempts = sum(window.attempts)
        if not error or attempts < rule.min_attempts or sum(window.errors) < rule.max_error_share * attempts:
            return False
        if len(self.ejected_until) >= self.max_ejected:
            self.suppressed_count += 1
            return False
        self._eject(node, rule, now_us)
        return True

    def _eject(self, node: str, rule: EjectionRule, now_us: int) -> None:
        count, last_us = self.ejections.get(node, (0, now_us))
        if now_us - last_us > BACKOFF_RESET_PERIODS * rule.ejection_us * 2 ** min(count, MAX_DOUBLINGS):
            count = 0
        self.ejections[node] = EjectionHistory(count + 1, now_us)
        self.ejected_until[node] = now_us + rule.ejection_us * 2 ** min(count, MAX_DOUBLINGS)
        self.next_return_us = min(self.ejected_until.values())
        del self.windows[node]  # after its return, only new attempts count
        self.ejected_count += 1
