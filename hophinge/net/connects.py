"""When connections to a brick are opened, and how many: decided without I/O, time in seconds as an argument.

A connection that comes up late says little about its brick: the next one is as likely in time as any. So beside one
that takes longer than connects usually do, another goes out while somebody waits. Each costs the brick a handshake,
so they are bounded by what is opened anyway, by brick, and by the part of the brick's connections that is this head's.
"""

from __future__ import annotations

LATE_TIMES = 4.0  # usual connects' time after which one is late
MIN_LATE_S = 0.01  # a busy machine's turns, which are no lateness
LATE_PART = 1 / 3  # of the connect limit: what is late is found within it, with time for another
STEP = 0.1  # part by which one connect moves the usual time
MAX_BESIDE = 3  # connects to one brick beyond those that wait for one
SPARE_SHARE = 0.5  # connects beside late ones for each other: up to a third late, and a third of those
SPARE_BURST = 8.0  # of them at once, when many come late together


class Usual:
    """What connects to all bricks usually take, and how many may go out beside late ones."""

    def __init__(self, limit_s: float) -> None:
        """Set up; `limit_s`: how long a request waits for its connection."""
        self.limit_s, self.usual_s, self.credit = limit_s, 0.0, SPARE_BURST

    @property
    def late_s(self) -> float:
        """Tell the time after which a connect is late."""
        return min(LATE_PART * self.limit_s, max(MIN_LATE_S, LATE_TIMES * self.usual_s))

    def came(self, took_s: float) -> None:
        """Learn from a connect that came up: half of them take less than the usual time."""
        if not self.usual_s:
            self.usual_s = min(took_s, MIN_LATE_S)
        self.usual_s *= 1 + (STEP if took_s > self.usual_s else -STEP)

    def opened(self) -> None:
        """Note a connect that goes out for a request of its own."""
        self.credit = min(SPARE_BURST, self.credit + SPARE_SHARE)


class Connects:
    """The connects to one brick that have not come up yet."""

    def __init__(self, usual: Usual) -> None:
        self.usual = usual
        self.since: dict[int, float] = {}  # when each began
        self.number = 0

    def _late(self, now: float) -> int:
        return sum(now - since >= self.usual.late_s for since in self.since.values())

    def wanted(self, now: float, waiting: int, held: int, most: int) -> list[tuple[int, bool]]:
        """Begin what is wanted for so many that wait: number of each connect, and whether it goes beside a late one.

        `held`: connections to this brick that are up; `most`: this head's part of those that the brick holds.
        """
        begun = list[tuple[int, bool]]()
        late = self._late(now)
        while len(self.since) < waiting:
            self.usual.opened()
            begun.append((self._begin(now), False))
        while (
            len(self.since) - late < waiting
            and len(self.since) < waiting + MAX_BESIDE
            and held + len(self.since) < most
            and self.usual.credit >= 1
        ):
            self.usual.credit -= 1
            begun.append((self._begin(now), True))
        return begun

    def _begin(self, now: float) -> int:
        self.number += 1
        self.since[self.number] = now
        return self.number

    def ended(self, number: int, now: float, up: bool) -> None:
        """Note the end of a connect, and whether it came up."""
        since = self.since.pop(number)
        if up:
            self.usual.came(now - since)

    def look_at(self, now: float) -> float | None:
        """Tell when the next connect will be late; None where all are."""
        due = [since + self.usual.late_s for since in self.since.values() if now - since < self.usual.late_s]
        return min(due, default=None)
