"""How many instances of a service read prompts and how many make tokens, and which ones should change their part.

Both follow the work that instances report. A reading instance is busy or idle, so the part of reports that find it busy
is the work there is to read; an instance that makes tokens is full to the part of its slots or of its memory that is
taken, whichever is scarcer. Where one stage is short and the other can spare some, several change at once. Where no
instance of a stage is left, one is made at once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Set
from dataclasses import dataclass
from math import ceil

from hophinge.fleet.placement.hints import Report, Reports
from hophinge.fleet.placement.policy import Policy
from hophinge.fleet.placement.timing import DECODE, PREFILL
from hophinge.fleet.registry.instance import READY, SWITCHING, Instance

OTHER_STAGE = {PREFILL: DECODE, DECODE: PREFILL}
NEWEST = 0.4  # weight of the newest report in an instance's means
QUEUED = 0.25  # of an instance's time that each request that waits there adds to the work there is
MAX_QUEUED = 4  # requests that wait at one instance and are counted
LEAST = 2  # instances of a stage, where there are twice as many in all: one more may be lost
AT_ONCE = 0.17  # part of a service's instances that change their part together, at most


@dataclass(frozen=True, slots=True)
class Switch:
    """An instance that should change its part."""

    instance: Instance
    stage: str
    urgent: bool  # nobody is left of that stage


@dataclass(slots=True)
class Load:
    """Means of what one instance reported lately."""

    reading: float = 0.0  # part of its time that it reads, and what waits, in its time
    making: float = 0.0  # part that is taken of its slots or of its memory

    def take(self, report: Report, slots: int) -> None:
        """Take a report."""
        queued = QUEUED * min(MAX_QUEUED, report.waiting)
        reading = (1.0 if report.running or report.waiting else 0.0) + queued
        memory = report.used / report.total if report.total > 0 else 0.0
        making = max((report.running + report.waiting) / max(1, slots), memory)
        self.reading += (reading - self.reading) * NEWEST
        self.making += (making - self.making) * NEWEST


class StageLoads:
    """What engines told of their work lately."""

    def __init__(self) -> None:
        self.of: dict[str, Load] = {}

    def take(self, reports: Reports, instances: dict[str, Instance]) -> None:
        """Take what some engines told."""
        for report in reports.reports:
            instance = instances.get(report.instance)
            if instance is not None:
                self.of.setdefault(report.instance, Load()).take(report, instance.slots)

    def keep(self, identities: Set[str]) -> None:
        """Forget instances that are gone."""
        self.of = {identity: load for identity, load in self.of.items() if identity in identities}

    def switched(self, identity: str) -> None:
        """An instance changes its part: what it reported says nothing of the new one."""
        self.of.pop(identity, None)

    def reading(self, members: Iterable[Instance]) -> float:
        """Tell the work of instances that read, in instances."""
        return sum(self.of[member.identity].reading for member in members if member.identity in self.of)

    def making(self, members: Iterable[Instance]) -> float:
        """Tell how much is taken of instances that make tokens, in instances."""
        return sum(self.of[member.identity].making for member in members if member.identity in self.of)


def wanted_switches(instances: Iterable[Instance], loads: StageLoads, policy: Policy) -> tuple[Switch, ...]:
    """Tell the changes that the stages of the first service want that wants some; none while any is under way there."""
    services: dict[str, list[Instance]] = {}
    for instance in instances:
        if instance.stage:
            services.setdefault(instance.service, []).append(instance)
    for _, members in sorted(services.items()):
        switches = _of_service(members, loads, policy)
        if switches:
            return switches
    return ()


def _of_service(members: list[Instance], loads: StageLoads, policy: Policy) -> tuple[Switch, ...]:
    ready = [member for member in members if member.state == READY]
    prefill = [member for member in ready if member.stage == PREFILL]
    decode = [member for member in ready if member.stage == DECODE]
    coming = {OTHER_STAGE[member.stage] for member in members if member.state == SWITCHING}
    missing = _missing_stage(prefill, decode, coming)
    if missing:
        return (Switch(_spared(ready, loads, 1)[0], missing, True),)
    if coming or not (prefill and decode):
        return ()
    most = max(1, int(AT_ONCE * len(ready)))
    least = LEAST if len(ready) >= 2 * LEAST else 1
    if not policy.stages_by_work:
        return _repaired(prefill, decode, loads, least)
    reading = max(least, _needed(loads.reading(prefill), policy.reading_part))
    making = max(least, _needed(loads.making(decode), policy.making_part))
    to_decode = min(making - len(decode), len(prefill) - reading, most)
    to_prefill = min(reading - len(prefill), len(decode) - making, most)
    if to_decode >= 1:
        return tuple(Switch(one, DECODE, False) for one in _spared(prefill, loads, to_decode))
    if to_prefill >= 1:
        return tuple(Switch(one, PREFILL, False) for one in _spared(decode, loads, to_prefill))
    return ()


def _missing_stage(prefill: list[Instance], decode: list[Instance], coming: set[str]) -> str:
    """Tell the stage that has nobody and gets nobody, though somebody can be spared; empty where there is none."""
    if len(prefill) > 1 and not decode and DECODE not in coming:
        return DECODE
    if len(decode) > 1 and not prefill and PREFILL not in coming:
        return PREFILL
    return ""


def _repaired(prefill: list[Instance], decode: list[Instance], loads: StageLoads, least: int) -> tuple[Switch, ...]:
    """Tell the change that gives a stage its least number again, whatever the work is."""
    if len(decode) < least:
        return (Switch(_spared(prefill, loads, 1)[0], DECODE, False),)
    if len(prefill) < least:
        return (Switch(_spared(decode, loads, 1)[0], PREFILL, False),)
    return ()


def _needed(work: float, part: float) -> int:
    """Tell how many instances some work wants, each of which is to be taken to a part only."""
    return max(1, ceil(work / part))


def _spared(members: list[Instance], loads: StageLoads, count: int) -> list[Instance]:
    """Tell who changes: from the zones that have most of them, the least busy first."""
    in_zone = Counter(member.zone for member in members)
    left, chosen = list(members), []
    for _ in range(count):
        one = min(left, key=lambda member: (-in_zone[member.zone], loads.making([member]), member.identity))
        left.remove(one)
        in_zone[one.zone] -= 1
        chosen.append(one)
    return chosen
