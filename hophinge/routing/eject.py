"""Outliers: a brick that fails too large a part of its attempts rests, and never more of them than the stated share."""

from __future__ import annotations

from collections.abc import Iterable

from hophinge.routing.records import Eject

SLOTS = 8  # of the window
DOUBLINGS = 5  # of the rest, for a brick that fails again each time it is back
CALM = 8  # rests without a new ejection after which a brick counts as sound again


class Window:
    """One brick's attempts and errors of the last while."""

    __slots__ = ("at", "errors", "total")

    def __init__(self) -> None:
        self.errors, self.total, self.at = [0] * SLOTS, [0] * SLOTS, 0

    def add(self, now_us: int, slot_us: int, error: bool) -> None:
        """Count an attempt's end."""
        slot = now_us // slot_us
        if slot > self.at:
            for gone in range(max(self.at + 1, slot - SLOTS + 1), slot + 1):
                self.errors[gone % SLOTS] = self.total[gone % SLOTS] = 0
            self.at = slot
        self.total[self.at % SLOTS] += 1
        self.errors[self.at % SLOTS] += error


class Ejector:
    """Which bricks rest; `out` changes only within its calls."""

    def __init__(self) -> None:
        self.rule: Eject | None = None
        self.live: frozenset[str] = frozenset()
        self.windows: dict[str, Window] = {}
        self.out: dict[str, int] = {}  # until when
        self.times: dict[str, tuple[int, int]] = {}  # how often in a row, and when last
        self.due = 0  # when the next one is back; 0: none is out
        self.ejected = self.spared = 0

    @property
    def most(self) -> int:
        """Tell how many bricks may rest at once."""
        return int(self.rule.at_most * len(self.live) + 1e-9) if self.rule is not None else 0

    def change(self, rule: Eject | None, now_us: int) -> bool:
        """Take up a version's rule; tell whether other bricks rest now."""
        if rule != self.rule and (rule is None or self.rule is None or rule.over_us != self.rule.over_us):
            self.windows = {}  # slots of another length cannot be read on
        self.rule = rule
        return self._bound(now_us)

    def list(self, live: Iterable[str], now_us: int) -> bool:
        """Take the bricks that may be sent to; tell whether other ones rest now."""
        self.live = frozenset(live)
        for rows in (self.windows, self.times):
            for node in rows.keys() - self.live:
                del rows[node]
        gone = self.out.keys() - self.live
        for node in gone:
            del self.out[node]
        return self._bound(now_us) or bool(gone)

    def _bound(self, now_us: int) -> bool:
        """Let those back whose time is over, and who is soonest to be back while too many rest."""
        before = len(self.out)
        self.out = {node: until for node, until in self.out.items() if until > now_us}
        for node, _ in sorted(self.out.items(), key=lambda row: (row[1], row[0]))[: max(0, len(self.out) - self.most)]:
            del self.out[node]
        self.due = min(self.out.values(), default=0)
        return len(self.out) != before

    def lapse(self, now_us: int) -> bool:
        """Let those back whose time is over; tell whether there were any."""
        return 0 < self.due <= now_us and self._bound(now_us)

    def ended(self, node: str, error: bool, now_us: int) -> bool:
        """Take an attempt's end; tell whether its brick rests from now on."""
        rule = self.rule
        if rule is None or node not in self.live or node in self.out:
            return False
        window = self.windows.get(node)
        if window is None:
            window = self.windows[node] = Window()
        window.add(now_us, max(1, rule.over_us // SLOTS), error)
        total = sum(window.total)
        if not error or total < rule.least or sum(window.errors) < rule.errors * total:
            return False
        if len(self.out) >= self.most:
            self.spared += 1
            return False
        times, last = self.times.get(node, (0, now_us))
        if now_us - last > CALM * rule.rest_us * 2 ** min(times, DOUBLINGS):
            times = 0
        self.times[node] = times + 1, now_us
        self.out[node] = now_us + rule.rest_us * 2 ** min(times, DOUBLINGS)
        self.due = min(self.out.values())
        del self.windows[node]  # back again, it is judged by what it does then
        self.ejected += 1
        return True
