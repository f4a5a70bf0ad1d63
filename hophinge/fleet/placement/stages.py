"""Plans how many prefill and decode instances a service needs, and which instances should switch their stage.

The plan follows the load that instances report. A prefill instance is either busy or idle, so its load is the fraction
of reports in which it is busy. The load of a decode instance is the used fraction of its slots or of its memory,
whichever is higher. If one stage is short of instances and the other has spare capacity, several instances may switch
together. If a stage has no instance left, one instance switches immediately.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Set
from dataclasses import dataclass
from enum import Enum
from math import ceil

from hophinge.fleet.placement.hints import EngineReport, EngineReports
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.timing import DECODE, OTHER_STAGE, PREFILL
from hophinge.fleet.registry.instance import READY, SWITCHING, Instance

SMOOTHING = 0.4  # weight of the newest report in an instance's moving averages
QUEUED_WEIGHT = 0.25  # load that each queued request adds, in instances
MAX_QUEUED = 4  # queued requests of one instance that count as load
MIN_STAGE_INSTANCES = 2  # if the service has twice as many: a stage then survives the loss of one instance
# Instances of the other stage from which an empty one is refilled. The last decode instance stays: it can also prefill.
MIN_INSTANCES_TO_REFILL = {DECODE: 1, PREFILL: 2}
MAX_SWITCHED_FRACTION = 0.17  # of a service's instances that may switch together


class SwitchReason(Enum):
    """Why an instance should switch its stage. The values appear in log lines."""

    EMPTY = "empty"  # the new stage has no instance left
    MINIMUM = "minimum"  # the new stage has fewer instances than the minimum at any load
    LOAD = "load"  # the new stage is short of instances for its load


@dataclass(frozen=True, slots=True)
class StageSwitch:
    """An instance that should switch, and its new stage."""

    instance: Instance
    stage: str
    reason: SwitchReason

    @property
    def is_urgent(self) -> bool:
        """Whether the new stage has no instance left."""
        return self.reason is SwitchReason.EMPTY


@dataclass(slots=True)
class InstanceLoad:
    """Moving averages over the reports of one instance."""

    prefill_load: float = 0.0  # fraction of time that it is busy, plus the load of its queue
    decode_load: float = 0.0  # used fraction of its slots or of its memory

    def record(self, report: EngineReport, slots: int) -> None:
        """Record a report."""
        queued = QUEUED_WEIGHT * min(MAX_QUEUED, report.waiting)
        prefill_sample = (1.0 if report.running or report.waiting else 0.0) + queued
        memory = report.used / report.total if report.total > 0 else 0.0
        decode_sample = max((report.running + report.waiting) / max(1, slots), memory)
        self.prefill_load += (prefill_sample - self.prefill_load) * SMOOTHING
        self.decode_load += (decode_sample - self.decode_load) * SMOOTHING


class StageLoads:
    """The load of all instances, from their reports."""

    def __init__(self) -> None:
        self.by_instance: dict[str, InstanceLoad] = {}

    def record(self, reports: EngineReports, instances: dict[str, Instance]) -> None:
        """Record the reports of some engines."""
        for report in reports.reports:
            instance = instances.get(report.instance)
            if instance is not None:
                self.by_instance.setdefault(report.instance, InstanceLoad()).record(report, instance.slots)

    def retain(self, identities: Set[str]) -> None:
        """Remove all instances except these."""
        self.by_instance = {identity: load for identity, load in self.by_instance.items() if identity in identities}

    def forget(self, identity: str) -> None:
        """Remove an instance that switches: its earlier reports do not apply to its new stage."""
        self.by_instance.pop(identity, None)

    def prefill_load(self, members: Iterable[Instance]) -> float:
        """Return the total prefill load of some instances; 1 is one fully busy instance."""
        return sum(
            self.by_instance[member.identity].prefill_load for member in members if member.identity in self.by_instance
        )

    def decode_load(self, members: Iterable[Instance]) -> float:
        """Return the total decode load of some instances; 1 is one fully used instance."""
        return sum(
            self.by_instance[member.identity].decode_load for member in members if member.identity in self.by_instance
        )


def plan_switches(instances: Iterable[Instance], loads: StageLoads, policy: PlacementPolicy) -> tuple[StageSwitch, ...]:
    """Return the switches of the first service that needs any.

    While a service has a switch in progress, only a stage without any present or arriving instance gets one.
    """
    services: dict[str, list[Instance]] = {}
    for instance in instances:
        if instance.stage:
            services.setdefault(instance.service, []).append(instance)
    for _, members in sorted(services.items()):
        switches = _service_switches(members, loads, policy)
        if switches:
            return switches
    return ()


def _service_switches(members: list[Instance], loads: StageLoads, policy: PlacementPolicy) -> tuple[StageSwitch, ...]:
    ready = [member for member in members if member.state == READY]
    prefill = [member for member in ready if member.stage == PREFILL]
    decode = [member for member in ready if member.stage == DECODE]
    arriving_stages = {OTHER_STAGE[member.stage] for member in members if member.state == SWITCHING}
    missing = _missing_stage(prefill, decode, arriving_stages)
    if missing:
        return (StageSwitch(_least_needed(ready, loads, 1)[0], missing, SwitchReason.EMPTY),)
    if arriving_stages or not (prefill and decode):
        return ()
    max_switches = max(1, int(MAX_SWITCHED_FRACTION * len(ready)))
    min_instances = MIN_STAGE_INSTANCES if len(ready) >= 2 * MIN_STAGE_INSTANCES else 1
    if not policy.switches_by_load:
        return _restore_minimum(prefill, decode, loads, min_instances)
    prefill_needed = max(min_instances, _instances_needed(loads.prefill_load(prefill), policy.prefill_utilization))
    decode_needed = max(min_instances, _instances_needed(loads.decode_load(decode), policy.decode_utilization))
    to_decode = min(decode_needed - len(decode), len(prefill) - prefill_needed, max_switches)
    to_prefill = min(prefill_needed - len(prefill), len(decode) - decode_needed, max_switches)
    if to_decode >= 1:
        return tuple(
            StageSwitch(chosen, DECODE, SwitchReason.LOAD) for chosen in _least_needed(prefill, loads, to_decode)
        )
    if to_prefill >= 1:
        return tuple(
            StageSwitch(chosen, PREFILL, SwitchReason.LOAD) for chosen in _least_needed(decode, loads, to_prefill)
        )
    return ()


def _missing_stage(prefill: list[Instance], decode: list[Instance], arriving_stages: set[str]) -> str:
    """Return the stage that has no instance and none arriving, if the other can spare one; else an empty name."""
    if not decode and DECODE not in arriving_stages and can_refill(DECODE, len(prefill)):
        return DECODE
    if not prefill and PREFILL not in arriving_stages and can_refill(PREFILL, len(decode)):
        return PREFILL
    return ""


def can_refill(stage: str, other_instances: int) -> bool:
    """Return whether an empty stage can be refilled from the other stage, which has some instances."""
    return other_instances >= MIN_INSTANCES_TO_REFILL[stage]


def _restore_minimum(
    prefill: list[Instance], decode: list[Instance], loads: StageLoads, min_instances: int
) -> tuple[StageSwitch, ...]:
    """Return the switch that restores the minimum of a stage, regardless of load."""
    if len(decode) < min_instances:
        return (StageSwitch(_least_needed(prefill, loads, 1)[0], DECODE, SwitchReason.MINIMUM),)
    if len(prefill) < min_instances:
        return (StageSwitch(_least_needed(decode, loads, 1)[0], PREFILL, SwitchReason.MINIMUM),)
    return ()


def _instances_needed(load: float, utilization: float) -> int:
    """Return how many instances a load needs at a target utilization; at least 1."""
    return max(1, ceil(load / utilization))


def _least_needed(members: list[Instance], loads: StageLoads, count: int) -> list[Instance]:
    """Return the members to switch: from the zones with the most members, and there the least loaded first."""
    in_zone = Counter(member.zone for member in members)
    remaining = list(members)
    chosen: list[Instance] = []
    for _ in range(count):
        member = min(
            remaining, key=lambda member: (-in_zone[member.zone], loads.decode_load([member]), member.identity)
        )
        remaining.remove(member)
        in_zone[member.zone] -= 1
        chosen.append(member)
    return chosen
