"""Relays hints from heads, engine reports and suspected instances to the heads and the other control members.

Hints are batched for a short time, encoded once, and never sent back to their source. The flush interval grows with
the number of heads, which bounds the messages per second of a control member for any number of heads.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hophinge.fleet.placement.hints import PlacementHints, EngineReports, SuspectedInstances
from hophinge.fleet.transport.frames import frame

MIN_RELAY_DELAY_S = 0.01  # from a hint's arrival to its relay, so that it can be batched with others
MIN_FLUSH_INTERVAL_S = 0.02
FLUSH_INTERVAL_PER_HEAD_S = 0.001  # added to the interval for each head that receives the hints
SendFrame = Callable[[str, bytes], None]


class HintRelay:
    """Batches and relays hints at one control member."""

    def __init__(self, send_frame: SendFrame) -> None:
        self.send_frame = send_frame
        self.pending_hints: list[tuple[str, PlacementHints]] = []  # each with its source
        self.hints_from_heads = PlacementHints(())  # not yet sent to the other control members
        self.last_flushed_at = float("-inf")

    def add(self, source: str, hints: PlacementHints, is_from_head: bool) -> None:
        """Add hints to the next flush."""
        self.pending_hints.append((source, hints))
        if is_from_head:
            self.hints_from_heads += hints

    def delay_s(self, now: float, heads: int) -> float:
        """Return the delay in seconds after which to flush the pending hints to this number of heads."""
        flush_interval_s = MIN_FLUSH_INTERVAL_S + FLUSH_INTERVAL_PER_HEAD_S * heads
        return max(MIN_RELAY_DELAY_S, self.last_flushed_at + flush_interval_s - now)

    def flush(self, now: float, heads: Iterable[str], control_members: Iterable[str]) -> None:
        """Send each head the pending hints of other sources, and the control members those that came from heads."""
        pending = self.pending_hints
        self.pending_hints = []
        self.last_flushed_at = now
        sources = {source for source, _ in pending}
        all_hints = frame(sum((hints for _, hints in pending), PlacementHints(())))
        for head in heads:
            if head not in sources:
                self.send_frame(head, all_hints)
                continue
            others = sum((hints for source, hints in pending if source != head), PlacementHints(()))
            if not others.is_empty:
                self.send_frame(head, frame(others))
        if not self.hints_from_heads.is_empty:
            from_heads = frame(self.hints_from_heads)
            self.hints_from_heads = PlacementHints(())
            for control_member in control_members:
                self.send_frame(control_member, from_heads)

    def send_now(self, message: EngineReports | SuspectedInstances, targets: Iterable[str]) -> None:
        """Send a message at once, without batching it."""
        data = frame(message)
        for target in targets:
            self.send_frame(target, data)
