"""What a unit of work takes at the instances of one stage, learned from answers and from the ends of jobs.

Units are tokens to read, or requests where slots are alike. Times are microseconds.
"""

from __future__ import annotations

from hophinge.fleet.placement.node import Node

PREFILL, DECODE, PLAIN = "prefill", "decode", ""
MEAN_UNITS_STEP = 0.04  # weight of the newest request in the mean size of requests
START_UNIT_US = {PREFILL: 30.0, DECODE: 60.0, PLAIN: 20_000.0}  # until an answer has taught better
START_FIXED_US = {PREFILL: 25_000.0, DECODE: 30_000.0, PLAIN: 0.0}  # of an answer's time that no unit takes
QUANTILE = 0.3  # of answers' times, that counts as served without waiting
NODE_STEP = 0.3  # weight of the newest sample in an instance's time per unit
TYPICAL_STEP = 0.05  # and in what is typical of its stage
UNIT_STEP = 0.1  # part by which one answer moves the time per unit at most
FIXED_STEP_US = 4_000.0  # by which one answer moves it at most
MAX_SAMPLE_RATIO = 2.0  # times the time per unit: a sample beyond it is mostly something else
MIN_SAMPLE_UNITS = {PREFILL: 1_500.0, DECODE: 1_500.0, PLAIN: 0.0}  # units of a request that teaches the time per unit


class StageTiming:
    """Times per unit of one stage: of each instance, and what is typical of all."""

    def __init__(self, stage: str) -> None:
        self.stage = stage
        self.typical_unit_us = START_UNIT_US[stage]  # per unit, at an instance without a sample
        self.fixed_us = START_FIXED_US[stage]  # of an answer's time that no unit takes
        self.mean_units = 0.0  # of requests placed lately

    @property
    def is_sequential(self) -> bool:
        """Tell whether instances work on one request at a time: engines, on the prompts that they read."""
        return self.stage != PLAIN

    def unit_us(self, node: Node) -> float:
        """Tell an instance's learned time per unit; one without a sample counts as is typical of its stage."""
        return node.unit_us or self.typical_unit_us

    def record_placement(self, units: float) -> None:
        """Count a request's size."""
        self.mean_units += (units - self.mean_units) * MEAN_UNITS_STEP

    def learn_from_answer(self, node: Node, units: float, duration_us: float) -> None:
        """Learn from an answer's time. What lies above the lower part of such times is waiting behind others' work."""
        if units < MIN_SAMPLE_UNITS[self.stage]:
            return
        if self.is_sequential:
            self._learn_fixed(node, units, duration_us)
            return
        sample = max(1.0, duration_us - self.fixed_us) / units
        node.unit_us = _step_to_quantile(self.unit_us(node), sample)
        self.typical_unit_us = _step_to_quantile(self.typical_unit_us, sample)

    def _learn_fixed(self, node: Node, units: float, duration_us: float) -> None:
        """Move the fixed time towards the lower part of what answers took beyond their units."""
        above = duration_us - units * self.unit_us(node) > self.fixed_us
        step = FIXED_STEP_US * (QUANTILE if above else QUANTILE - 1)
        self.fixed_us = max(0.0, self.fixed_us + step)

    def learn_from_job(self, node: Node, units: float, service_us: float) -> None:
        """Learn from the time that an instance spent on one job; a word of another head may name one of no size."""
        if units <= 0 or units < MIN_SAMPLE_UNITS[self.stage]:
            return
        sample = service_us / units
        node.unit_us = _step_to_sample(self.unit_us(node), sample, NODE_STEP)
        self.typical_unit_us = _step_to_sample(self.typical_unit_us, sample, TYPICAL_STEP)


def _step_to_quantile(unit_us: float, sample_us: float) -> float:
    """Move a time per unit towards the lower part of the samples."""
    return unit_us * (1 + UNIT_STEP * (QUANTILE if sample_us > unit_us else QUANTILE - 1))


def _step_to_sample(unit_us: float, sample_us: float, step: float) -> float:
    """Move a time per unit towards a sample; one far off counts as one at a bound."""
    return unit_us + step * (min(max(sample_us, unit_us / MAX_SAMPLE_RATIO), unit_us * MAX_SAMPLE_RATIO) - unit_us)
