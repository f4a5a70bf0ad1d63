"""The guard of scorers: whatever one does, a choice gets added times within the clamp, and no request fails.

A call that returns too late has delayed one choice, and its scorer is excluded with increasing backoff once it is
proved that the scorer itself was slow. One that does not return is interrupted from outside: see `interrupt`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Mapping, Sequence

from hophinge.core import interface as api
from hophinge.scoring.errors import ScorerHungError
from hophinge.scoring.exclusion import CallUsage, ScorerExclusion
from hophinge.scoring.interface import Scorer, Surroundings, View, Weight

REASONS = ("raised", "form", "length", "not_a_number", "infinite", "negative", "slow", "hung")
LEARNING_BUDGET_NS = 50_000_000  # for a tick, and for reading or merging weights, once a second and beside requests
NUMBER_TYPES = frozenset({float, int})

# CPU nanoseconds of this thread, its voluntary context switches, and garbage collections of older generations.
Usage = Callable[[], tuple[int, int, int]]


class MisbehaviourError(Exception):
    """What a scorer returned is invalid; `reason` is one of `REASONS`."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class HungError(BaseException):
    """Interrupts a scorer that does not return; no Exception, as a scorer's loop may catch those."""


class GuardedScorer:
    """One scorer with its exclusion and its counters."""

    def __init__(self, name: str, scorer: Scorer) -> None:
        self.name = name
        self.scorer = scorer
        self.exclusion = ScorerExclusion()
        self.observes_results = type(scorer).heard is not Scorer.heard
        self.counts = dict.fromkeys((*REASONS, "asked", "left_out"), 0)


def check_times(returned: object, count: int) -> Sequence[float]:
    """Validate what a scorer returned: a plain list or tuple, as any other type may do anything while it is read.

    Raises:
        MisbehaviourError: The value is invalid.

    """
    if type(returned) is not list and type(returned) is not tuple:
        raise MisbehaviourError("form")
    if len(returned) != count:
        raise MisbehaviourError("length")
    kinds = set(map(type, returned))
    if not kinds <= NUMBER_TYPES:
        raise MisbehaviourError("not_a_number")
    values: Sequence[float] = returned if int not in kinds else [float(time) for time in returned]
    # The sum is finite only if each value is; it may also overflow for finite ones far beyond any clamp.
    if not values or (sum(values) < math.inf and min(values) >= 0.0):
        return values
    if any(map(math.isnan, values)):
        raise MisbehaviourError("not_a_number")
    raise MisbehaviourError("negative" if min(values) < 0.0 else "infinite")


class Guard:
    """The scorers in use, in the order of the configuration."""

    def __init__(
        self,
        scorers: Mapping[str, Scorer],
        max_added_us: float,
        budget_us: float,
        clock_ns: Callable[[], int],
        log: Callable[[str], None],
        usage: Usage,
    ) -> None:
        if not max_added_us > 0 or not budget_us > 0:
            raise ValueError("the clamp and the budget of scorers must be above 0")
        self.max_added_us = max_added_us
        self.budget_ns = int(budget_us * 1000)
        self.clock_ns = clock_ns
        self.log = log
        self.usage = usage
        self.scorers = [GuardedScorer(name, scorer) for name, scorer in scorers.items()]
        self.running_since_ns: int | None = None  # start of the call in progress, which also identifies it
        self.was_interrupted = False  # the call in progress was interrupted

    def added_us(
        self, now_us: int, arrival: api.Arrival, nodes: Sequence[api.NodeObservation], surroundings: Surroundings
    ) -> dict[str, float]:
        """Return the added microseconds by candidate, of all scorers together, from 0 to the clamp."""
        view = View.of(now_us, arrival, nodes, surroundings)
        names = view.nodes  # read before the calls: a scorer cannot change the candidates
        most = self.max_added_us
        sums: Sequence[float] | None = None
        for one in self.scorers:
            values = self._call_added_us(one, view, now_us, len(names))
            if values is not None:
                sums = values if sums is None else [a + b for a, b in zip(sums, values, strict=True)]
        if sums is None:
            return {}
        if not any(sums):
            return {}
        return {node: value if value < most else most for node, value in zip(names, sums, strict=True) if value}

    def heard(self, now_us: int, node: str, result: api.Result, elapsed_us: int) -> None:
        """Pass the result of an attempt on to all scorers that observe results."""
        for one in self.scorers:
            if one.observes_results:
                self._call(one, now_us, self.budget_ns, lambda scorer: scorer.heard(now_us, node, result, elapsed_us))

    def tick(self, now_us: int, nodes: Container[str], scorer: GuardedScorer) -> None:
        """Run the periodic work of a scorer."""
        self._call(scorer, now_us, LEARNING_BUDGET_NS, lambda scorer: scorer.tick(now_us, nodes))

    def weights(self, now_us: int, name: str) -> dict[str, Weight] | None:
        """Return a scorer's own weights; None if it is excluded, or they are invalid."""
        weights: dict[str, Weight] = {}

        def read(scorer: Scorer) -> None:
            for node, weight in list(scorer.weights(now_us).items()):
                value, evidence = float(weight.value), float(weight.evidence)
                if not 0.0 <= value <= 1.0 or not 0.0 <= evidence < math.inf or not isinstance(node, str):
                    raise MisbehaviourError("not_a_number")
                weights[node] = Weight(value, evidence)

        one = self.find(name)
        return weights if self._call(one, now_us, LEARNING_BUDGET_NS, read) else None

    def merged(self, now_us: int, name: str, weights: Mapping[str, float]) -> None:
        """Pass the merged weights on to a scorer."""
        self._call(self.find(name), now_us, LEARNING_BUDGET_NS, lambda scorer: scorer.merged(now_us, weights))

    def interrupt(self, running_since_ns: int | None) -> None:
        """Interrupt the call that began then, if it still runs; called by a signal handler in the scorer's thread."""
        if running_since_ns is not None and running_since_ns == self.running_since_ns:
            self.was_interrupted = True
            raise HungError

    def find(self, name: str) -> GuardedScorer:
        """Return the scorer of a name."""
        return next(one for one in self.scorers if one.name == name)

    def _call_added_us(self, guarded: GuardedScorer, view: View, now_us: int, count: int) -> Sequence[float] | None:
        if not guarded.exclusion.is_callable(now_us):
            guarded.counts["left_out"] += 1
            return None
        guarded.counts["asked"] += 1
        used = self.usage() if guarded.exclusion.measured_calls_left else None
        since = self.running_since_ns = self.clock_ns()
        try:
            values = check_times(guarded.scorer.added_us(view), count)
            self.running_since_ns = None
        except BaseException as error:  # a plug-in that raises SystemExit must not end the head either
            self.running_since_ns = None  # first of all: from here on the signal handler does not raise
            self._handle_error(
                guarded, now_us, error.reason if isinstance(error, MisbehaviourError) else "raised", error
            )
            return None
        if self.clock_ns() - since > self.budget_ns:
            self._handle_slow_call(guarded, now_us, self.budget_ns, used)
            return None
        guarded.exclusion.record_success()
        most = self.max_added_us
        # Each scorer is clamped too: one that adds a hundred years must not hide the differences of the others.
        return values if max(values, default=0.0) <= most else [min(value, most) for value in values]

    def _call(self, guarded: GuardedScorer, now_us: int, budget_ns: int, call: Callable[[Scorer], None]) -> bool:
        if not guarded.exclusion.is_callable(now_us):
            return False
        used = self.usage() if guarded.exclusion.measured_calls_left else None
        since = self.running_since_ns = self.clock_ns()
        try:
            call(guarded.scorer)
            self.running_since_ns = None
        except BaseException as error:
            self.running_since_ns = None
            self._handle_error(
                guarded, now_us, error.reason if isinstance(error, MisbehaviourError) else "raised", error
            )
            return False
        if self.clock_ns() - since > budget_ns:
            self._handle_slow_call(guarded, now_us, budget_ns, used)
        return True  # a late result is valid all the same

    def _handle_slow_call(
        self, guarded: GuardedScorer, now_us: int, budget_ns: int, usage_before: tuple[int, int, int] | None
    ) -> None:
        if self.was_interrupted:
            return self._handle_hang(guarded)
        guarded.counts["slow"] += 1
        evidence = None
        if usage_before is not None:
            cpu, waits, collections = self.usage()
            evidence = CallUsage(cpu - usage_before[0], waits - usage_before[1], collections != usage_before[2])
        if guarded.exclusion.record_slow_call(now_us, evidence, budget_ns):
            self._log_exclusion(guarded, now_us, "slow")

    def _handle_error(self, guarded: GuardedScorer, now_us: int, reason: str, error: BaseException) -> None:
        if self.was_interrupted:
            return self._handle_hang(guarded)
        guarded.counts[reason] += 1
        guarded.exclusion.record_failure(now_us)
        try:
            what = f"{type(error).__name__}: {error}"[:200] if reason == "raised" else reason
        except BaseException:  # an error whose text raises
            what = reason
        self._log_exclusion(guarded, now_us, what)

    def _handle_hang(self, guarded: GuardedScorer) -> None:
        self.was_interrupted = False  # whatever the scorer did with the exception, it had to be interrupted
        guarded.counts["hung"] += 1
        guarded.exclusion.is_disabled = True
        self.log(ScorerHungError(f"scorer {guarded.name} did not return, was interrupted, and is left out").one_line())

    def _log_exclusion(self, guarded: GuardedScorer, now_us: int, cause: str) -> None:
        until = (
            "until it is told on"
            if guarded.exclusion.is_disabled
            else f"for {(guarded.exclusion.excluded_until_us - now_us) // 1_000_000} s"
        )
        self.log(f"scorer {guarded.name} is left out {until}: {cause}")
