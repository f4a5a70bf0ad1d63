"""Learns the service times per unit of work at the instances of one stage, from responses and from the ends of jobs.

Units are prompt tokens to prefill; in a service without stages a request is one unit. Times are microseconds.
"""

from __future__ import annotations

from hophinge.fleet.placement.node import Node

PREFILL = "prefill"
DECODE = "decode"
PLAIN = ""
OTHER_STAGE = {PREFILL: DECODE, DECODE: PREFILL}
MEAN_UNITS_STEP = 0.04  # weight of the newest request in the mean size of requests
START_UNIT_US = {PREFILL: 30.0, DECODE: 60.0, PLAIN: 20_000.0}  # before any sample
# The part of a response time that does not depend on its units, before any sample.
START_FIXED_US = {PREFILL: 25_000.0, DECODE: 30_000.0, PLAIN: 0.0}
QUANTILE = 0.3  # of response times: responses below it count as served without queueing
NODE_STEP = 0.3  # weight of the newest sample in an instance's time per unit
TYPICAL_STEP = 0.05  # weight of the newest sample in the typical time per unit of the stage
UNIT_STEP = 0.1  # maximum relative change of the time per unit by one response
FIXED_STEP_US = 4_000.0  # maximum change of the fixed time by one response
MAX_SAMPLE_RATIO = 2.0  # between a sample and the time per unit; samples beyond it are clipped
MIN_SAMPLE_UNITS = {PREFILL: 1_500.0, DECODE: 1_500.0, PLAIN: 0.0}  # smaller requests are not used as samples


class StageTiming:
    """The service times per unit in one stage: those of each instance, and the typical one."""

    def __init__(self, stage: str) -> None:
        self.stage = stage
        self.typical_unit_us = START_UNIT_US[stage]  # per unit, at an instance without a sample
        self.fixed_us = START_FIXED_US[stage]  # part of a response time that does not depend on its units
        self.mean_units = 0.0  # moving average over placed requests

    @property
    def is_sequential(self) -> bool:
        """Whether instances execute one job at a time, as engines do with prefills."""
        return self.stage != PLAIN

    def unit_us(self, node: Node) -> float:
        """Return an instance's learned time per unit, or the typical one if it has no sample."""
        return node.unit_us or self.typical_unit_us

    def record_placement(self, units: float) -> None:
        """Record the size of a placed request."""
        self.mean_units += (units - self.mean_units) * MEAN_UNITS_STEP

    def learn_from_answer(self, node: Node, units: float, duration_us: float) -> None:
        """Learn from the duration of a response; durations above a low quantile are assumed to include queueing."""
        if units < MIN_SAMPLE_UNITS[self.stage]:
            return
        if self.is_sequential:
            self._learn_fixed(node, units, duration_us)
            return
        sample = max(1.0, duration_us - self.fixed_us) / units
        node.unit_us = _step_to_quantile(self.unit_us(node), sample)
        self.typical_unit_us = _step_to_quantile(self.typical_unit_us, sample)

    def _learn_fixed(self, node: Node, units: float, duration_us: float) -> None:
        """Step the fixed time towards a low quantile of the response times without the times of their units."""
        is_above = duration_us - units * self.unit_us(node) > self.fixed_us
        step = FIXED_STEP_US * (QUANTILE if is_above else QUANTILE - 1)
        self.fixed_us = max(0.0, self.fixed_us + step)

    def learn_from_job(self, node: Node, units: float, service_us: float) -> None:
        """Learn from the service time of one job; a job in a hint of another head may have 0 units."""
        if units <= 0 or units < MIN_SAMPLE_UNITS[self.stage]:
            return
        sample = service_us / units
        node.unit_us = _step_to_sample(self.unit_us(node), sample, NODE_STEP)
        self.typical_unit_us = _step_to_sample(self.typical_unit_us, sample, TYPICAL_STEP)


def _step_to_quantile(unit_us: float, sample_us: float) -> float:
    """Step a time per unit towards a low quantile of the samples."""
    return unit_us * (1 + UNIT_STEP * (QUANTILE if sample_us > unit_us else QUANTILE - 1))


def _step_to_sample(unit_us: float, sample_us: float, step: float) -> float:
    """Step a time per unit towards a sample, clipped to MAX_SAMPLE_RATIO."""
    return unit_us + step * (min(max(sample_us, unit_us / MAX_SAMPLE_RATIO), unit_us * MAX_SAMPLE_RATIO) - unit_us)
