"""What will be asked for in the next span: several courses an object may take, weighed by how well each foretold it.

Each course is a gamma filter: it holds a rate's belief as a shape and a sum of exposure, discounts it each span, moves
it by its growth, and so foretells the next count as a negative binomial. What the count then was is the evidence by
which courses are weighed. The rates of decay are an object's own, drawn towards its publisher's usual ones while it is
young and its own counts say little.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from msgspec import Struct, field

from hophinge.popularity.interval import Calibration, Prediction, prediction_class
from hophinge.popularity.season import MIN_GROWTH, MAX_GROWTH, BUCKETS_PER_DAY, DailySeason

LAST_VALUE, STEADY, EXPONENTIAL, POWER, DAILY = range(5)
TREND_MODELS = ("last", "steady", "exponential", "power", "daily")
DISCOUNTS = (0.3, 0.9, 0.8, 0.8, 0.3)  # of what was known, each span; by trying out on the tuning seeds
MIN_SHAPE = 0.002  # of a belief that nothing comes: one that is surer would be a course that nothing refutes
MAX_SHAPE = 60.0  # a belief is never surer than this: sources change faster than a filter would have it
EVIDENCE_DECAY = 0.95  # of evidence for courses, each span: twenty spans say which course an object takes
RATE_DECAY = 0.93  # of what an object's own decay was reckoned from
PRIOR_RATE_WEIGHT = 60.0  # of such evidence that the publisher's usual decay counts for
PRIOR_SHAPE = 1.0  # shape of what a publisher's new object is held for
DEFAULT_FIRST_REQUESTS = 0.5  # requests in its first span, where a publisher is not known at all
MIN_LOG_LIKELIHOOD = -30.0  # of one span, logarithmic: no course is ruled out for ever by one odd count
MAX_NEW_AGE = 4  # spans of age up to which an object shows how its publisher's objects begin
PRIOR_EVIDENCE_WEIGHT = 8.0  # spans' evidence that this counts for at first
NEW_OBJECT_LEARNING_RATE = 0.03  # of each such span's word in it
MIN_FOLLOWED_RATE = 0.02  # requests a span below which an object is not followed on


class PublisherPattern(Struct):
    """How a publisher's objects go as a rule: their first span, and both kinds of decay."""

    first_requests: float = DEFAULT_FIRST_REQUESTS
    observed_objects: float = 1.0
    exp_ratio: float = 0.0
    exp_weight: float = 1.0
    pow_ratio: float = 0.0
    pow_weight: float = 1.0
    # The mean log likelihood of each course while objects are young.
    evidence: list[float] = field(default_factory=lambda: [0.0] * len(TREND_MODELS))


class DemandForecast(Struct):
    """One object's beliefs."""

    tenant: str
    age: int
    last_count: float
    shapes: list[float]
    exposures: list[float]
    evidence: list[float]
    means: list[float]
    mean: float = 0.0
    low: float = 0.0
    high: float = 0.0
    exp_ratio: float = 0.0
    exp_weight: float = 0.0
    pow_ratio: float = 0.0
    pow_weight: float = 0.0
    daily_rates: list[float] | None = None  # by bucket, the rate when it was met last; below 0: not met yet


def _log_likelihood(count: float, shape: float, exposure: float) -> float:
    """Return a negative binomial's log probability of a count."""
    return (
        math.lgamma(count + shape)
        - math.lgamma(shape)
        - math.lgamma(count + 1.0)
        + shape * math.log(exposure / (exposure + 1.0))
        - count * math.log(exposure + 1.0)
    )


class Predictor:
    """Predictions of one site, over spans of one length."""

    def __init__(self, spans_a_day: int) -> None:
        self.season = DailySeason(spans_a_day)
        self.growth = 1.0  # that the daily wave alone lets expect from the closed span to the next
        self.grown = 1.0  # the same for the span that has closed
        self.forecasts: dict[bytes, DemandForecast] = {}
        self.usual: dict[str, PublisherPattern] = {}
        self.here = self.then = 0
        self.calibration = Calibration()

    def begin_interval(self, total: float) -> None:
        """Close a span whose requests were so many; `observe` then takes them by key."""
        self.here = self.season.bucket()
        self.then = self.season.bucket(1)
        self.grown = self.growth
        self.growth = self.season.close_span(total)

    def predict(self, key: bytes) -> Prediction | None:
        """Return the next span's requests for a key; nothing where it is not followed."""
        course = self.forecasts.get(key)
        return None if course is None else Prediction(course.mean, course.low, course.high)

    def model_weights(self, key: bytes) -> dict[str, float]:
        """Return how much each course counts for a key."""
        course = self.forecasts.get(key)
        return {} if course is None else dict(zip(TREND_MODELS, _weights(course.evidence), strict=True))

    def predict_new(self, tenant: str) -> Prediction:
        """Return the first span's requests for an object that its publisher has just made."""
        usual = self.usual.get(tenant, PublisherPattern())
        return self.calibration.interval(
            prediction_class(usual.first_requests, 0),
            usual.first_requests,
            usual.first_requests + usual.first_requests**2 / PRIOR_SHAPE,
        )

    def evict_to(self, limit: int) -> None:
        """Follow at most so many objects, those with the largest means."""
        if len(self.forecasts) > limit:
            least = sorted((course.mean, key) for key, course in self.forecasts.items())
            for _, key in least[: len(least) - limit]:
                del self.forecasts[key]

    def remove(self, key: bytes) -> None:
        """Follow a key no longer."""
        self.forecasts.pop(key, None)

    def observe(self, key: bytes, tenant: str, count: float) -> Prediction:
        """Take a key's requests in the span that has closed, and foretell its next."""
        course = self.forecasts.get(key)
        if course is None and count <= 0.0:
            return Prediction(0.0, 0.0, 0.0)  # quiet, and not followed: nothing to learn from
        usual = self.usual.get(tenant)
        if usual is None:
            usual = self.usual[tenant] = PublisherPattern()
        if course is None:
            course = self.forecasts[key] = self._create(tenant, count, usual)
        else:
            self.calibration.record_outcome(prediction_class(course.mean, course.age), course.low, course.high, count)
            self._update_evidence(course, usual, count)
            self._fit_decay(course, usual, count)
            course.age += 1
        self._update_daily_rates(course, count)
        course.last_count = count
        self._forecast(course, usual)
        if course.mean < MIN_FOLLOWED_RATE and count <= 0.0:
            del self.forecasts[key]
        return Prediction(course.mean, course.low, course.high)

    def _create(self, tenant: str, count: float, usual: PublisherPattern) -> DemandForecast:
        usual.observed_objects = min(50.0, usual.observed_objects + 1.0)
        usual.first_requests += (count - usual.first_requests) / usual.observed_objects
        exposure = PRIOR_SHAPE / max(usual.first_requests, 0.01)
        return DemandForecast(
            tenant,
            0,
            count,
            [PRIOR_SHAPE + count] * len(TREND_MODELS),
            [exposure + 1.0] * len(TREND_MODELS),
            [PRIOR_EVIDENCE_WEIGHT * one for one in usual.evidence],
            [0.0] * len(TREND_MODELS),
        )

    def _update_evidence(self, course: DemandForecast, usual: PublisherPattern, count: float) -> None:
        """Weigh the courses by what each foretold, then take the count into their beliefs."""
        for at in range(len(TREND_MODELS)):
            shape, exposure = course.shapes[at], course.exposures[at]
            likelihood = max(MIN_LOG_LIKELIHOOD, _log_likelihood(count, shape, exposure))
            course.evidence[at] = EVIDENCE_DECAY * course.evidence[at] + likelihood
            if course.age < MAX_NEW_AGE:
                usual.evidence[at] += NEW_OBJECT_LEARNING_RATE * (likelihood - usual.evidence[at])
            course.shapes[at], course.exposures[at] = shape + count, exposure + 1.0

    def _fit_decay(self, course: DemandForecast, usual: PublisherPattern, count: float) -> None:
        """Reckon decay from the last two counts: its own, and what its publisher's objects do as a rule."""
        both = course.last_count + count
        if both <= 0.0:
            return
        # A ratio of counts is known as well as the smaller allows; the site's own wave is taken out first.
        ratio = math.log((count + 0.5) / (course.last_count + 0.5) / self.grown)
        weight = min(50.0, (course.last_count + 0.5) * (count + 0.5) / (both + 1.0))
        step = math.log((course.age + 2.0) / (course.age + 1.0))
        course.exp_ratio = RATE_DECAY * course.exp_ratio + weight * ratio
        course.exp_weight = RATE_DECAY * course.exp_weight + weight
        course.pow_ratio = RATE_DECAY * course.pow_ratio + weight * ratio * step
        course.pow_weight = RATE_DECAY * course.pow_weight + weight * step * step
        usual.exp_ratio += weight * ratio
        usual.exp_weight += weight
        usual.pow_ratio += weight * ratio * step
        usual.pow_weight += weight * step * step
        if usual.exp_weight > 1e4:  # so that a publisher's ways may change
            usual.exp_ratio = usual.exp_ratio / 2
            usual.exp_weight = usual.exp_weight / 2
            usual.pow_ratio = usual.pow_ratio / 2
            usual.pow_weight = usual.pow_weight / 2

    def _update_daily_rates(self, course: DemandForecast, count: float) -> None:
        if course.daily_rates is None:
            if course.age * BUCKETS_PER_DAY < self.season.spans_a_day:
                return  # most objects do not live for an hour: they keep no day
            course.daily_rates = [-1.0] * BUCKETS_PER_DAY
        known = course.daily_rates[self.here]
        part = min(1.0, 2.0 * BUCKETS_PER_DAY / self.season.spans_a_day)
        course.daily_rates[self.here] = count if known < 0.0 else known + part * (count - known)

    def _forecast(self, course: DemandForecast, usual: PublisherPattern) -> None:
        drawn = PRIOR_RATE_WEIGHT
        exp_rate = (course.exp_ratio + drawn * usual.exp_ratio / usual.exp_weight) / (course.exp_weight + drawn)
        step = math.log((course.age + 2.0) / (course.age + 1.0))
        drawn_pow = drawn * step * step
        power = (course.pow_ratio + drawn_pow * usual.pow_ratio / usual.pow_weight) / (course.pow_weight + drawn_pow)
        growths: Sequence[float] = (
            1.0,
            self.growth,
            math.exp(exp_rate) * self.growth,
            math.exp(power * step) * self.growth,
            self.growth,
        )
        for at, growth in enumerate(growths):
            growth = min(MAX_GROWTH, max(MIN_GROWTH, growth))
            shape = DISCOUNTS[at] * course.shapes[at]
            exposure = DISCOUNTS[at] * course.exposures[at]
            if at == DAILY and course.daily_rates is not None and course.daily_rates[self.then] >= 0.0:
                shape = 5.0
                exposure = shape / max(0.05, course.daily_rates[self.then])
                growth = 1.0
            most = min(1.0, MAX_SHAPE / max(shape, 1e-9))
            course.shapes[at] = max(MIN_SHAPE, shape * most)
            course.exposures[at] = max(1e-6, exposure * most / growth)
            course.means[at] = course.shapes[at] / course.exposures[at]
        weights = _weights(course.evidence)
        mean = sum(weight * one for weight, one in zip(weights, course.means, strict=True))
        square = sum(
            weight * (one + one * one / shape + one * one)
            for weight, one, shape in zip(weights, course.means, course.shapes, strict=True)
        )
        found = self.calibration.interval(prediction_class(mean, course.age), mean, max(mean, square - mean * mean))
        course.mean = found.mean
        course.low = found.low
        course.high = found.high


def _weights(evidence: list[float]) -> list[float]:
    most = max(evidence)
    parts = [math.exp(one - most) for one in evidence]
    total = sum(parts)
    return [one / total for one in parts]
