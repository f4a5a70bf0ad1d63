"""Passes on what heads and engines tell: gathered for a moment, encoded once, and never told back to who said it.

The moment grows with the heads that are told, so that a control member sends a bounded number of messages a second
however many heads there are.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hophinge.fleet.placement.hints import PlacementHints, EngineReports, SuspectedInstances
from hophinge.fleet.transport.frames import frame

SOON_S = 0.01  # from a word until it is passed on, at least: others may join it
GATHER_S = 0.02  # between two times of passing on, at least
EACH_HEAD_S = 0.001  # and for so much longer with each head that is told
SendFrame = Callable[[str, bytes], None]


class Relay:
    """The words under way through one control member."""

    def __init__(self, send_frame: SendFrame) -> None:
        self.send_frame = send_frame
        self.hints: list[tuple[str, PlacementHints]] = []
        self.from_heads = PlacementHints(())  # what the other control members have to hear
        self.flushed = float("-inf")

    def take(self, source: str, hints: PlacementHints, from_head: bool) -> None:
        """Take what was placed."""
        self.hints.append((source, hints))
        if from_head:
            self.from_heads += hints

    def delay_s(self, now: float, heads: int) -> float:
        """Tell how long from now what is gathered is to be passed on."""
        return max(SOON_S, self.flushed + GATHER_S + EACH_HEAD_S * heads - now)

    def flush(self, now: float, heads: Iterable[str], controls: Iterable[str]) -> None:
        """Pass on what was gathered."""
        gathered, self.hints, self.flushed = self.hints, [], now
        sources = {source for source, _ in gathered}
        everything = frame(sum((hints for _, hints in gathered), PlacementHints(())))
        for head in heads:
            if head not in sources:
                self.send_frame(head, everything)
                continue
            others = sum((hints for source, hints in gathered if source != head), PlacementHints(()))
            if not others.is_empty:
                self.send_frame(head, frame(others))
        if not self.from_heads.is_empty:
            shared, self.from_heads = frame(self.from_heads), PlacementHints(())
            for control in controls:
                self.send_frame(control, shared)

    def at_once(self, message: EngineReports | SuspectedInstances, targets: Iterable[str]) -> None:
        """Pass on a word that is not gathered."""
        data = frame(message)
        for target in targets:
            self.send_frame(target, data)
