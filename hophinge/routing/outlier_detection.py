"""Outliers: a brick that fails too large a part of its attempts rests, and never more of them than the stated share."""

from __future__ import annotations

from collections.abc import Iterable

from hophinge.routing.records import EjectionRule

WINDOW_SLOTS = 8  # of the window
MAX_DOUBLINGS = 5  # of the rest, for a brick that fails again each time it is back
CALM_PERIODS = 8  # rests without a new ejection after which a brick counts as sound again


class ErrorWindow:
    """One brick's attempts and errors of the last while."""

    __slots__ = ("current_slot", "errors", "attempts")

    def __init__(self) -> None:
        self.errors, self.attempts, self.current_slot = [0] * WINDOW_SLOTS, [0] * WINDOW_SLOTS, 0

    def add(self, now_us: int, slot_us: int, error: bool) -> None:
        """Count an attempt's end."""
        slot = now_us // slot_us
        if slot > self.current_slot:
            for gone in range(max(self.current_slot + 1, slot - WINDOW_SLOTS + 1), slot + 1):
                self.errors[gone % WINDOW_SLOTS] = self.attempts[gone % WINDOW_SLOTS] = 0
            self.current_slot = slot
        self.attempts[self.current_slot % WINDOW_SLOTS] += 1
        self.errors[self.current_slot % WINDOW_SLOTS] += error


class OutlierDetector:
    """Which bricks rest; `out` changes only within its calls."""

    def __init__(self) -> None:
        self.rule: EjectionRule | None = None
        self.live: frozenset[str] = frozenset()
        self.windows: dict[str, ErrorWindow] = {}
        self.ejected_until: dict[str, int] = {}  # until when
        self.ejections: dict[str, tuple[int, int]] = {}  # how often in a row, and when last
        self.next_return_us = 0  # when the next one is back; 0: none is out
        self.ejected_count = self.suppressed_count = 0

    @property
    def max_ejected(self) -> int:
        """Tell how many bricks may rest at once."""
        return int(self.rule.max_ejected_share * len(self.live) + 1e-9) if self.rule is not None else 0

    def set_rule(self, rule: EjectionRule | None, now_us: int) -> bool:
        """Take up a version's rule; tell whether other bricks rest now."""
        if rule != self.rule and (rule is None or self.rule is None or rule.window_us != self.rule.window_us):
            self.windows = {}  # slots of another length cannot be read on
        self.rule = rule
        return self._restore_backends(now_us)

    def set_live_backends(self, live: Iterable[str], now_us: int) -> bool:
        """Take the bricks that may be sent to; tell whether other ones rest now."""
        self.live = frozenset(live)
        for rows in (self.windows, self.ejections):
            for node in rows.keys() - self.live:
                del rows[node]
        gone = self.ejected_until.keys() - self.live
        for node in gone:
            del self.ejected_until[node]
        return self._restore_backends(now_us) or bool(gone)

    def _restore_backends(self, now_us: int) -> bool:
        """Let those back whose time is over, and who is soonest to be back while too many rest."""
        before = len(self.ejected_until)
        self.ejected_until = {node: until for node, until in self.ejected_until.items() if until > now_us}
        for node, _ in sorted(self.ejected_until.items(), key=lambda row: (row[1], row[0]))[
            : max(0, len(self.ejected_until) - self.max_ejected)
        ]:
            del self.ejected_until[node]
        self.next_return_us = min(self.ejected_until.values(), default=0)
        return len(self.ejected_until) != before

    def restore_expired(self, now_us: int) -> bool:
        """Let those back whose time is over; tell whether there were any."""
        return 0 < self.next_return_us <= now_us and self._restore_backends(now_us)

    def on_attempt_ended(self, node: str, error: bool, now_us: int) -> bool:
        """Take an attempt's end; tell whether its brick rests from now on."""
        rule = self.rule
        if rule is None or node not in self.live or node in self.ejected_until:
            return False
        window = self.windows.get(node)
        if window is None:
            window = self.windows[node] = ErrorWindow()
        window.add(now_us, max(1, rule.window_us // WINDOW_SLOTS), error)
        total = sum(window.attempts)
        if not error or total < rule.min_attempts or sum(window.errors) < rule.max_error_share * total:
            return False
        if len(self.ejected_until) >= self.max_ejected:
            self.suppressed_count += 1
            return False
        times, last = self.ejections.get(node, (0, now_us))
        if now_us - last > CALM_PERIODS * rule.ejection_us * 2 ** min(times, MAX_DOUBLINGS):
            times = 0
        self.ejections[node] = times + 1, now_us
        self.ejected_until[node] = now_us + rule.ejection_us * 2 ** min(times, MAX_DOUBLINGS)
        self.next_return_us = min(self.ejected_until.values())
        del self.windows[node]  # back again, it is judged by what it does then
        self.ejected_count += 1
        return True
