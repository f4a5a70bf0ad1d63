"""Predicts the requests of the next span: several trend models per object, weighted by how well each has predicted.

Each model is a gamma filter: its belief about the request rate is a gamma distribution with a shape and an exposure,
which it discounts each span and scales by its growth. So it predicts the next count as a negative binomial. The
likelihood of the actual count is the evidence by which the models are weighted. The decay rates are estimated for each
object, and shrunk towards the usual rates of its publisher while the object is young and its own counts tell little.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from msgspec import Struct, field

from hophinge.popularity.interval import Calibration, Prediction, prediction_class
from hophinge.popularity.season import MIN_GROWTH, MAX_GROWTH, BUCKETS_PER_DAY, DailySeason

LAST_VALUE, STEADY, EXPONENTIAL, POWER, DAILY = range(5)
TREND_MODELS = ("last", "steady", "exponential", "power", "daily")
DISCOUNTS = (0.3, 0.9, 0.8, 0.8, 0.3)  # share of shape and exposure that each model keeps per span
MIN_SHAPE = 0.002  # of a model that expects no requests: a smaller one would be too certain to be refuted
MAX_SHAPE = 60.0  # limit for the certainty of a model: real rates change faster than the filter would assume
EVIDENCE_DECAY = 0.95  # of the evidence for models, per span: the last twenty spans or so decide
RATE_DECAY = 0.93  # of the evidence for an object's own decay rates, per observation
PRIOR_RATE_WEIGHT = 60.0  # weight of the publisher's usual decay rates, in units of that evidence
PRIOR_SHAPE = 1.0  # of the prior belief about a publisher's new object
DEFAULT_FIRST_REQUESTS = 0.5  # of an object in its first span, if its publisher is unknown
MIN_LOG_LIKELIHOOD = -30.0  # of one span: a single unusual count does not rule out a model for ever
MAX_NEW_AGE = 4  # in spans; younger objects are evidence for how their publisher's objects begin
PRIOR_EVIDENCE_WEIGHT = 8.0  # weight of this evidence in a new object, in spans
NEW_OBJECT_LEARNING_RATE = 0.03  # weight in this evidence of one span of a new object
MIN_FOLLOWED_RATE = 0.02  # requests per span; an object without requests is dropped below this prediction


class PublisherPattern(Struct):
    """The usual demand for a publisher's objects: in their first span, and both kinds of decay."""

    first_requests: float = DEFAULT_FIRST_REQUESTS
    observed_objects: float = 1.0
    exp_ratio: float = 0.0
    exp_weight: float = 1.0
    pow_ratio: float = 0.0
    pow_weight: float = 1.0
    # The mean log likelihood of each model while objects are young.
    evidence: list[float] = field(default_factory=lambda: [0.0] * len(TREND_MODELS))


class DemandForecast(Struct):
    """The state of the models of one object, and the prediction of its next span."""

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
    daily_rates: list[float] | None = None  # by bucket of the day, averaged; below 0: unknown


def _log_likelihood(count: float, shape: float, exposure: float) -> float:
    """Return the log probability of a count under a negative binomial distribution."""
    return (
        math.lgamma(count + shape)
        - math.lgamma(shape)
        - math.lgamma(count + 1.0)
        + shape * math.log(exposure / (exposure + 1.0))
        - count * math.log(exposure + 1.0)
    )


class Predictor:
    """The predictions of one site, over spans of a fixed length."""

    def __init__(self, spans_a_day: int) -> None:
        self.season = DailySeason(spans_a_day)
        self.growth = 1.0  # expected from the closed span to the next by the daily season alone
        self.last_growth = 1.0  # that was expected for the closed span
        self.forecasts: dict[bytes, DemandForecast] = {}
        self.publisher_patterns: dict[str, PublisherPattern] = {}
        self.current_bucket = self.next_bucket = 0
        self.calibration = Calibration()

    def begin_interval(self, total: float) -> None:
        """Close a span with its total requests; `observe` is then called with the count of each key."""
        self.current_bucket = self.season.bucket()
        self.next_bucket = self.season.bucket(1)
        self.last_growth = self.growth
        self.growth = self.season.close_span(total)

    def predict(self, key: bytes) -> Prediction | None:
        """Return the prediction for a key in the next span; None if the key has no forecast."""
        forecast = self.forecasts.get(key)
        return None if forecast is None else Prediction(forecast.mean, forecast.low, forecast.high)

    def model_weights(self, key: bytes) -> dict[str, float]:
        """Return the weight of each model for a key; empty if the key has no forecast."""
        forecast = self.forecasts.get(key)
        return {} if forecast is None else dict(zip(TREND_MODELS, _weights(forecast.evidence), strict=True))

    def predict_new(self, tenant: str) -> Prediction:
        """Return the prediction for the first span of a publisher's new object."""
        pattern = self.publisher_patterns.get(tenant, PublisherPattern())
        return self.calibration.interval(
            prediction_class(pattern.first_requests, 0),
            pattern.first_requests,
            pattern.first_requests + pattern.first_requests**2 / PRIOR_SHAPE,
        )

    def evict_to(self, limit: int) -> None:
        """Keep the forecasts of at most `limit` objects, those with the largest means."""
        if len(self.forecasts) > limit:
            least = sorted((forecast.mean, key) for key, forecast in self.forecasts.items())
            for _, key in least[: len(least) - limit]:
                del self.forecasts[key]

    def remove(self, key: bytes) -> None:
        """Remove the forecast of a key."""
        self.forecasts.pop(key, None)

    def observe(self, key: bytes, tenant: str, count: float) -> Prediction:
        """Record the requests for a key in the closed span, and predict its next span."""
        forecast = self.forecasts.get(key)
        if forecast is None and count <= 0.0:
            return Prediction(0.0, 0.0, 0.0)  # neither requests nor a forecast: nothing to learn
        pattern = self.publisher_patterns.get(tenant)
        if pattern is None:
            pattern = self.publisher_patterns[tenant] = PublisherPattern()
        if forecast is None:
            forecast = self.forecasts[key] = self._create(tenant, count, pattern)
        else:
            self.calibration.record_outcome(
                prediction_class(forecast.mean, forecast.age), forecast.low, forecast.high, count
            )
            self._update_evidence(forecast, pattern, count)
            self._fit_decay(forecast, pattern, count)
            forecast.age += 1
        self._update_daily_rates(forecast, count)
        forecast.last_count = count
        self._forecast(forecast, pattern)
        if forecast.mean < MIN_FOLLOWED_RATE and count <= 0.0:
            del self.forecasts[key]
        return Prediction(forecast.mean, forecast.low, forecast.high)

    def _create(self, tenant: str, count: float, pattern: PublisherPattern) -> DemandForecast:
        pattern.observed_objects = min(50.0, pattern.observed_objects + 1.0)
        pattern.first_requests += (count - pattern.first_requests) / pattern.observed_objects
        exposure = PRIOR_SHAPE / max(pattern.first_requests, 0.01)
        return DemandForecast(
            tenant,
            0,
            count,
            [PRIOR_SHAPE + count] * len(TREND_MODELS),
            [exposure + 1.0] * len(TREND_MODELS),
            [PRIOR_EVIDENCE_WEIGHT * log_likelihood for log_likelihood in pattern.evidence],
            [0.0] * len(TREND_MODELS),
        )

    def _update_evidence(self, forecast: DemandForecast, pattern: PublisherPattern, count: float) -> None:
        """Update the evidence of each model by the likelihood of the count, then its belief by the count."""
        for model in range(len(TREND_MODELS)):
            shape, exposure = forecast.shapes[model], forecast.exposures[model]
            likelihood = max(MIN_LOG_LIKELIHOOD, _log_likelihood(count, shape, exposure))
            forecast.evidence[model] = EVIDENCE_DECAY * forecast.evidence[model] + likelihood
            if forecast.age < MAX_NEW_AGE:
                pattern.evidence[model] += NEW_OBJECT_LEARNING_RATE * (likelihood - pattern.evidence[model])
            forecast.shapes[model], forecast.exposures[model] = shape + count, exposure + 1.0

    def _fit_decay(self, forecast: DemandForecast, pattern: PublisherPattern, count: float) -> None:
        """Update the decay rates of the object and of its publisher from the last two counts."""
        count_sum = forecast.last_count + count
        if count_sum <= 0.0:
            return
        # The smaller count limits the precision of the ratio; the growth of the site's total is divided out.
        ratio = math.log((count + 0.5) / (forecast.last_count + 0.5) / self.last_growth)
        weight = min(50.0, (forecast.last_count + 0.5) * (count + 0.5) / (count_sum + 1.0))
        step = math.log((forecast.age + 2.0) / (forecast.age + 1.0))
        forecast.exp_ratio = RATE_DECAY * forecast.exp_ratio + weight * ratio
        forecast.exp_weight = RATE_DECAY * forecast.exp_weight + weight
        forecast.pow_ratio = RATE_DECAY * forecast.pow_ratio + weight * ratio * step
        forecast.pow_weight = RATE_DECAY * forecast.pow_weight + weight * step * step
        pattern.exp_ratio += weight * ratio
        pattern.exp_weight += weight
        pattern.pow_ratio += weight * ratio * step
        pattern.pow_weight += weight * step * step
        if pattern.exp_weight > 1e4:  # limits old evidence, as a publisher's pattern may change
            pattern.exp_ratio = pattern.exp_ratio / 2
            pattern.exp_weight = pattern.exp_weight / 2
            pattern.pow_ratio = pattern.pow_ratio / 2
            pattern.pow_weight = pattern.pow_weight / 2

    def _update_daily_rates(self, forecast: DemandForecast, count: float) -> None:
        if forecast.daily_rates is None:
            if forecast.age * BUCKETS_PER_DAY < self.season.spans_a_day:
                return  # younger than an hour: most objects are not followed for longer, and need no daily rates
            forecast.daily_rates = [-1.0] * BUCKETS_PER_DAY
        last_rate = forecast.daily_rates[self.current_bucket]
        weight = min(1.0, 2.0 * BUCKETS_PER_DAY / self.season.spans_a_day)
        forecast.daily_rates[self.current_bucket] = (
            count if last_rate < 0.0 else last_rate + weight * (count - last_rate)
        )

    def _forecast(self, forecast: DemandForecast, pattern: PublisherPattern) -> None:
        prior_weight = PRIOR_RATE_WEIGHT
        exp_rate = (forecast.exp_ratio + prior_weight * pattern.exp_ratio / pattern.exp_weight) / (
            forecast.exp_weight + prior_weight
        )
        step = math.log((forecast.age + 2.0) / (forecast.age + 1.0))
        pow_prior_weight = prior_weight * step * step
        pow_rate = (forecast.pow_ratio + pow_prior_weight * pattern.pow_ratio / pattern.pow_weight) / (
            forecast.pow_weight + pow_prior_weight
        )
        growths: Sequence[float] = (
            1.0,
            self.growth,
            math.exp(exp_rate) * self.growth,
            math.exp(pow_rate * step) * self.growth,
            self.growth,
        )
        for model, growth in enumerate(growths):
            growth = min(MAX_GROWTH, max(MIN_GROWTH, growth))
            shape = DISCOUNTS[model] * forecast.shapes[model]
            exposure = DISCOUNTS[model] * forecast.exposures[model]
            if model == DAILY and forecast.daily_rates is not None and forecast.daily_rates[self.next_bucket] >= 0.0:
                shape = 5.0
                exposure = shape / max(0.05, forecast.daily_rates[self.next_bucket])
                growth = 1.0
            scale = min(1.0, MAX_SHAPE / max(shape, 1e-9))
            forecast.shapes[model] = max(MIN_SHAPE, shape * scale)
            forecast.exposures[model] = max(1e-6, exposure * scale / growth)
            forecast.means[model] = forecast.shapes[model] / forecast.exposures[model]
        weights = _weights(forecast.evidence)
        mean = sum(weight * model_mean for weight, model_mean in zip(weights, forecast.means, strict=True))
        square = sum(
            weight * (model_mean + model_mean * model_mean / shape + model_mean * model_mean)
            for weight, model_mean, shape in zip(weights, forecast.means, forecast.shapes, strict=True)
        )
        bounds = self.calibration.interval(prediction_class(mean, forecast.age), mean, max(mean, square - mean * mean))
        forecast.mean = bounds.mean
        forecast.low = bounds.low
        forecast.high = bounds.high


def _weights(evidence: list[float]) -> list[float]:
    maximum = max(evidence)
    likelihoods = [math.exp(log_likelihood - maximum) for log_likelihood in evidence]
    total = sum(likelihoods)
    return [likelihood / total for likelihood in likelihoods]
