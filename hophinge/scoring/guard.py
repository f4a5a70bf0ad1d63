"""Guards a head against its scorers: whatever they do, added times stay within the clamp and no request fails.

A call that returns too late delays one choice; its scorer is excluded with increasing backoff once it is proved that
the scorer itself was slow. A call that does not return is interrupted from outside: see `interrupt`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Mapping, Sequence

from hophinge.core import interface as api
from hophinge.scoring.errors import ScorerHungError
from hophinge.scoring.exclusion import CallUsage, ScorerExclusion
from hophinge.scoring.interface import Scorer, Surroundings, View, Weight

REASONS = ("raised", "form", "length", "not_a_number", "infinite", "negative", "slow", "hung")
LEARNING_BUDGET_NS = 50_000_000  # for a tick, and for reading or merging weights, once a second between requests
NUMBER_TYPES = frozenset({float, int})

# CPU nanoseconds of this thread, its voluntary context switches, and garbage collections of older generations.
Usage = Callable[[], tuple[int, int, int]]


class MisbehaviourError(Exception):
    """What a scorer returned is invalid; `reason` is one of `REASONS`."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class HungError(BaseException):
    """Interrupts a scorer that does not return; not a subclass of Exception, which a scorer's loop may catch."""


class GuardedScorer:
    """One scorer with its exclusion and its counters."""

    def __init__(self, name: str, scorer: Scorer) -> None:
        self.name = name
        self.scorer = scorer
        self.exclusion = ScorerExclusion()
        self.observes_results = type(scorer).heard is not Scorer.heard
        self.counts = dict.fromkeys((*REASONS, "asked", "left_out"), 0)


def check_times(returned: object, count: int) -> Sequence[float]:
    """Return the validated times of a scorer: only a list or tuple, as reading any other type may run its code.

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
    # The sum is finite only if all values are; it may also overflow for finite values far beyond any clamp.
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
        clamp_us = self.max_added_us
        sums: Sequence[float] | None = None
        for guarded in self.scorers:
            values = self._call_added_us(guarded, view, now_us, len(names))
            if values is not None:
                sums = values if sums is None else [a + b for a, b in zip(sums, values, strict=True)]
        if sums is None:
            return {}
        if not any(sums):
            return {}
        return {node: time if time < clamp_us else clamp_us for node, time in zip(names, sums, strict=True) if time}

    def heard(self, now_us: int, node: str, result: api.Result, elapsed_us: int) -> None:
        """Pass the result of an attempt on to all scorers that observe results."""
        for guarded in self.scorers:
            if guarded.observes_results:
                self._call(
                    guarded, now_us, self.budget_ns, lambda scorer: scorer.heard(now_us, node, result, elapsed_us)
                )

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

        guarded = self.find(name)
        return weights if self._call(guarded, now_us, LEARNING_BUDGET_NS, read) else None

    def merged(self, now_us: int, name: str, weights: Mapping[str, float]) -> None:
        """Pass the merged weights on to a scorer."""
        self._call(self.find(name), now_us, LEARNING_BUDGET_NS, lambda scorer: scorer.merged(now_us, weights))

    def interrupt(self, running_since_ns: int | None) -> None:
        """Interrupt the call that began at this time, if it still runs; for a signal handler in the scorer's thread."""
        if running_since_ns is not None and running_since_ns == self.running_since_ns:
            self.was_interrupted = True
            raise HungError

    def find(self, name: str) -> GuardedScorer:
        """Return the scorer of a name."""
        return next(guarded for guarded in self.scorers if guarded.name == name)

    def _call_added_us(self, guarded: GuardedScorer, view: View, now_us: int, count: int) -> Sequence[float] | None:
        if not guarded.exclusion.is_callable(now_us):
            guarded.counts["left_out"] += 1
            return None
        guarded.counts["asked"] += 1
        usage_before = self.usage() if guarded.exclusion.measured_calls_left else None
        started_ns = self.running_since_ns = self.clock_ns()
        try:
            values = check_times(guarded.scorer.added_us(view), count)
            self.running_since_ns = None
        except BaseException as error:  # a plug-in that raises SystemExit must not end the head either
            self.running_since_ns = None  # the first statement: from here on the signal handler does not raise
            self._handle_error(
                guarded, now_us, error.reason if isinstance(error, MisbehaviourError) else "raised", error
            )
            return None
        if self.clock_ns() - started_ns > self.budget_ns:
            self._handle_slow_call(guarded, now_us, self.budget_ns, usage_before)
            return None
        guarded.exclusion.record_success()
        clamp_us = self.max_added_us
        # Each scorer is clamped too: one that adds a hundred years must not hide the differences between the others.
        return values if max(values, default=0.0) <= clamp_us else [min(value, clamp_us) for value in values]

    def _call(self, guarded: GuardedScorer, now_us: int, budget_ns: int, call: Callable[[Scorer], None]) -> bool:
        if not guarded.exclusion.is_callable(now_us):
            return False
        usage_before = self.usage() if guarded.exclusion.measured_calls_left else None
        started_ns = self.running_since_ns = self.clock_ns()
        try:
            call(guarded.scorer)
            self.running_since_ns = None
        except BaseException as error:
            self.running_since_ns = None
            self._handle_error(
                guarded, now_us, error.reason if isinstance(error, MisbehaviourError) else "raised", error
            )
            return False
        if self.clock_ns() - started_ns > budget_ns:
            self._handle_slow_call(guarded, now_us, budget_ns, usage_before)
        return True  # a late result is still valid

    def _handle_slow_call(
        self, guarded: GuardedScorer, now_us: int, budget_ns: int, usage_before: tuple[int, int, int] | None
    ) -> None:
        if self.was_interrupted:
            return self._handle_hang(guarded)
        guarded.counts["slow"] += 1
        call_usage = None
        if usage_before is not None:
            cpu_ns, switches, collections = self.usage()
            call_usage = CallUsage(cpu_ns - usage_before[0], switches - usage_before[1], collections != usage_before[2])
        if guarded.exclusion.record_slow_call(now_us, call_usage, budget_ns):
            self._log_exclusion(guarded, now_us, "slow")

    def _handle_error(self, guarded: GuardedScorer, now_us: int, reason: str, error: BaseException) -> None:
        if self.was_interrupted:
            return self._handle_hang(guarded)
        guarded.counts[reason] += 1
        guarded.exclusion.record_failure(now_us)
        try:
            cause = f"{type(error).__name__}: {error}"[:200] if reason == "raised" else reason
        except BaseException:  # the error's own text raises
            cause = reason
        self._log_exclusion(guarded, now_us, cause)

    def _handle_hang(self, guarded: GuardedScorer) -> None:
        self.was_interrupted = False  # whatever the scorer did with the exception, it had to be interrupted
        guarded.counts["hung"] += 1
        guarded.exclusion.is_disabled = True
        self.log(
            ScorerHungError(f"scorer {guarded.name} did not return and was interrupted; it is disabled").one_line()
        )

    def _log_exclusion(self, guarded: GuardedScorer, now_us: int, cause: str) -> None:
        until = (
            "until it is reinstated"
            if guarded.exclusion.is_disabled
            else f"for {(guarded.exclusion.excluded_until_us - now_us) // 1_000_000} s"
        )
        self.log(f"scorer {guarded.name} is excluded {until}: {cause}")
