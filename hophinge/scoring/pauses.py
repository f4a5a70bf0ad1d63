"""When a scorer that did wrong may be asked again: growing pauses, probation, and off until told."""

from __future__ import annotations

FIRST_PAUSE_US = 1_000_000      # after the first mistake: long against a request, short against a repair
LONGEST_PAUSE_US = 300_000_000  # so a scorer that is mended by itself is back within five minutes
PROBATION = 200                 # calls in a row without a mistake after which former ones are forgotten
OFF_AFTER_SLOW = 5              # calls too slow without a probation passed between them: each held a request up


class Pauses:
    """The standing of one scorer."""

    def __init__(self) -> None:
        self.until_us = 0
        self.mistakes = 0           # since the last probation that was passed
        self.slow = 0               # of these, calls that took too long
        self.good = 0               # calls in a row without a mistake
        self.off = False

    def may(self, now_us: int) -> bool:
        """Tell whether it may be asked now."""
        return not self.off and now_us >= self.until_us

    def went_well(self) -> None:
        """Count a call without a mistake."""
        if self.mistakes:
            self.good += 1
            if self.good >= PROBATION:
                self.mistakes = self.slow = self.good = 0

    def went_wrong(self, now_us: int, slow: bool) -> None:
        """Count a mistake: the pause doubles with each one, and too many that held requests up end it."""
        self.until_us = now_us + min(LONGEST_PAUSE_US, FIRST_PAUSE_US << min(self.mistakes, 20))
        self.mistakes += 1
        self.slow += slow
        self.good = 0
        self.off = self.off or self.slow >= OFF_AFTER_SLOW

    def told_on(self) -> None:
        """Take an operator's word that it may be asked again."""
        self.until_us = self.mistakes = self.slow = self.good = 0
        self.off = False
