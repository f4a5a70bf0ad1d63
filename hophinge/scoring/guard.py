"""The guard round scorers: whatever one does, a choice gets added times within the clamp, and no request notices.

A call that returns too late has held up one choice, and its scorer is left out by growing pauses once it is proved that
the scorer itself was slow. One that does not return is broken from outside: see `interrupt`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Mapping, Sequence

from hophinge.core import interface as api
from hophinge.scoring.errors import ScorerHungError
from hophinge.scoring.interface import Scorer, Surroundings, View, Weight
from hophinge.scoring.pauses import Evidence, Pauses

REASONS = ("raised", "form", "length", "not_a_number", "infinite", "negative", "slow", "hung")
LEARNING_NS = 50_000_000  # that a tick, or taking or telling weights, may take, once a second and beside requests
NUMBERS = frozenset({float, int})

# CPU nanoseconds of this thread, times that it gave its core up of itself, and collections beyond the youngest objects.
Usage = Callable[[], tuple[int, int, int]]


class MisbehaviourError(Exception):
    """What a scorer returned cannot be used."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class HungError(BaseException):
    """Breaks a scorer that does not return; no Exception, which a loop may well catch."""


class Guarded:
    """One scorer, its standing and its counts."""

    def __init__(self, name: str, scorer: Scorer) -> None:
        self.name, self.scorer, self.pauses = name, scorer, Pauses()
        self.hears = type(scorer).heard is not Scorer.heard
        self.counts = dict.fromkeys((*REASONS, "asked", "left_out"), 0)


def checked(times: object, number: int) -> Sequence[float]:
    """Check what a scorer returned; a plain list or tuple alone, as any other may do anything while it is read."""
    if type(times) is not list and type(times) is not tuple:
        raise MisbehaviourError("form")
    if len(times) != number:
        raise MisbehaviourError("length")
    kinds = set(map(type, times))
    if not kinds <= NUMBERS:
        raise MisbehaviourError("not_a_number")
    values: Sequence[float] = times if int not in kinds else [float(time) for time in times]
    # The sum is finite only where each is; it may also be infinite of finite ones that no clamp is near.
    if not values or (sum(values) < math.inf and min(values) >= 0.0):
        return values
    if any(map(math.isnan, values)):
        raise MisbehaviourError("not_a_number")
    raise MisbehaviourError("negative" if min(values) < 0.0 else "infinite")


class Guard:
    """All scorers at work."""

    def __init__(
        self,
        scorers: Mapping[str, Scorer],
        most_us: float,
        budget_us: float,
        clock_ns: Callable[[], int],
        log: Callable[[str], None],
        usage: Usage,
    ) -> None:
        if not most_us > 0 or not budget_us > 0:
            raise ValueError("the clamp and the budget of scorers must be above 0")
        self.most_us, self.budget_ns = most_us, int(budget_us * 1000)
        self.clock_ns, self.log, self.usage = clock_ns, log, usage
        self.scorers = [Guarded(name, scorer) for name, scorer in scorers.items()]
        self.since: int | None = None  # when the call that runs now began, which tells it from all others
        self.hung = False  # it was broken

    def added_us(
        self, now_us: int, ask: api.Arrival, nodes: Sequence[api.NodeObservation], surroundings: Surroundings
    ) -> dict[str, float]:
        """Tell added microseconds by candidate, from 0 to the clamp, all scorers together."""
        view = View.of(now_us, ask, nodes, surroundings)
        names = view.nodes  # the guard's own word for who is a candidate, whatever a scorer does to the view
        most = self.most_us
        sums: Sequence[float] | None = None
        for one in self.scorers:
            values = self._ask(one, view, now_us, len(names))
            if values is not None:
                sums = values if sums is None else [a + b for a, b in zip(sums, values, strict=True)]
        if sums is None:
            return {}
        if not any(sums):
            return {}
        return {node: value if value < most else most for node, value in zip(names, sums, strict=True) if value}

    def heard(self, now_us: int, node: str, result: api.Result, elapsed_us: int) -> None:
        """Tell all scorers how an attempt ended."""
        for one in self.scorers:
            if one.hears:
                self._call(one, now_us, self.budget_ns, lambda scorer: scorer.heard(now_us, node, result, elapsed_us))

    def tick(self, now_us: int, nodes: Container[str], one: Guarded) -> None:
        """Let a scorer do what is due."""
        self._call(one, now_us, LEARNING_NS, lambda scorer: scorer.tick(now_us, nodes))

    def weights(self, now_us: int, name: str) -> dict[str, Weight] | None:
        """Tell a scorer's own weights; None where it is left out, or they are none."""
        found: dict[str, Weight] = {}

        def read(scorer: Scorer) -> None:
            for node, weight in list(scorer.weights(now_us).items()):
                value, evidence = float(weight.value), float(weight.evidence)
                if not 0.0 <= value <= 1.0 or not 0.0 <= evidence < math.inf or not isinstance(node, str):
                    raise MisbehaviourError("not_a_number")
                found[node] = Weight(value, evidence)

        one = self.named(name)
        return found if self._call(one, now_us, LEARNING_NS, read) else None

    def merged(self, now_us: int, name: str, weights: Mapping[str, float]) -> None:
        """Give a scorer its merged weights."""
        self._call(self.named(name), now_us, LEARNING_NS, lambda scorer: scorer.merged(now_us, weights))

    def interrupt(self, since: int | None) -> None:
        """Break the call that began then, if it still runs; a signal's handler calls it in the scorer's thread."""
        if since is not None and since == self.since:
            self.hung = True
            raise HungError

    def named(self, name: str) -> Guarded:
        """Find a scorer."""
        return next(one for one in self.scorers if one.name == name)

    def _ask(self, one: Guarded, view: View, now_us: int, number: int) -> Sequence[float] | None:
        if not one.pauses.may(now_us):
            one.counts["left_out"] += 1
            return None
        one.counts["asked"] += 1
        used = self.usage() if one.pauses.watched else None
        since = self.since = self.clock_ns()
        try:
            values = checked(one.scorer.added_us(view), number)
            self.since = None
        except BaseException as error:  # a plug-in that raises SystemExit must not end the head either
            self.since = None  # first of all: from here on no signal raises
            self._wrong(one, now_us, error.reason if isinstance(error, MisbehaviourError) else "raised", error)
            return None
        if self.clock_ns() - since > self.budget_ns:
            self._slow(one, now_us, self.budget_ns, used)
            return None
        one.pauses.went_well()
        most = self.most_us
        # Each alone is clamped too: one that adds a hundred years must not drown the others' differences.
        return values if max(values, default=0.0) <= most else [min(value, most) for value in values]

    def _call(self, one: Guarded, now_us: int, budget_ns: int, call: Callable[[Scorer], None]) -> bool:
        if not one.pauses.may(now_us):
            return False
        used = self.usage() if one.pauses.watched else None
        since = self.since = self.clock_ns()
        try:
            call(one.scorer)
            self.since = None
        except BaseException as error:
            self.since = None
            self._wrong(one, now_us, error.reason if isinstance(error, MisbehaviourError) else "raised", error)
            return False
        if self.clock_ns() - since > budget_ns:
            self._slow(one, now_us, budget_ns, used)
        return True  # what it did late is done all the same

    def _slow(self, one: Guarded, now_us: int, budget_ns: int, used: tuple[int, int, int] | None) -> None:
        if self.hung:
            return self._broken(one)
        one.counts["slow"] += 1
        evidence = None
        if used is not None:
            cpu, waits, collections = self.usage()
            evidence = Evidence(cpu - used[0], waits - used[1], collections != used[2])
        if one.pauses.took_too_long(now_us, evidence, budget_ns):
            self._tell(one, now_us, "slow")

    def _wrong(self, one: Guarded, now_us: int, reason: str, error: BaseException) -> None:
        if self.hung:
            return self._broken(one)
        one.counts[reason] += 1
        one.pauses.went_wrong(now_us)
        try:
            what = f"{type(error).__name__}: {error}"[:200] if reason == "raised" else reason
        except BaseException:  # an error whose text raises
            what = reason
        self._tell(one, now_us, what)

    def _broken(self, one: Guarded) -> None:
        self.hung = False  # whatever the scorer made of the exception, it had to be broken
        one.counts["hung"] += 1
        one.pauses.off = True
        self.log(ScorerHungError(f"scorer {one.name} did not return, was interrupted, and is left out").one_line())

    def _tell(self, one: Guarded, now_us: int, what: str) -> None:
        until = "until it is told on" if one.pauses.off else f"for {(one.pauses.until_us - now_us) // 1_000_000} s"
        self.log(f"scorer {one.name} is left out {until}: {what}")
