"""How many instances of a service read prompts and how many make tokens, and which one should change its part.

Tokens are made only at decode instances, and requests that run there hold memory for all of their prompt: too few of
them stop a service, while prompts may also be read at decode instances. So the part that only reads is bounded above
and below. Between these bounds it follows what engines report: where prompts queue while few answers are made, one more
instance reads; where answers are many and no prompt waits, one fewer.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass

from hophinge.fleet.placement.hints import Reports
from hophinge.fleet.placement.timing import DECODE, PREFILL
from hophinge.fleet.registry.instance import READY, SWITCHING, Instance

MOST_PREFILL = 0.7          # part of a service's instances that only read prompts, at most
LEAST_PREFILL = 0.25        # and at least
NEWEST = 0.4                # weight of the newest report in an instance's means
LONG_QUEUE = 0.15           # requests that wait at a prefill instance on average: more of these are wanted
SHORT_QUEUE = 0.1           # with fewer, one of them can be spared
FULL_DECODE = 0.22          # part of the slots in which decode instances make answers: more of these are wanted
ROOMY_DECODE = 0.12         # with less, one of them can be spared


@dataclass(frozen=True, slots=True)
class Switch:
    """An instance that should change its part."""

    instance: Instance
    stage: str


class StageLoads:
    """What engines told of their queues lately: means that follow over some reports."""

    def __init__(self) -> None:
        self.waiting: dict[str, float] = {}
        self.running: dict[str, float] = {}

    def take(self, reports: Reports) -> None:
        """Take what some engines told."""
        for report in reports.reports:
            for means, value in ((self.waiting, report.waiting), (self.running, report.running)):
                before = means.get(report.instance, 0.0)
                means[report.instance] = before + (value - before) * NEWEST

    def keep(self, identities: Set[str]) -> None:
        """Forget instances that are gone."""
        for means in (self.waiting, self.running):
            for identity in [one for one in means if one not in identities]:
                del means[identity]

    def queue(self, members: list[Instance]) -> float:
        """Tell how many requests wait at one of some instances on average."""
        return sum(self.waiting.get(member.identity, 0.0) for member in members) / max(1, len(members))

    def fill(self, members: list[Instance]) -> float:
        """Tell the part of their slots in which some instances make answers."""
        slots = sum(max(1, member.slots) for member in members)
        return sum(self.running.get(member.identity, 0.0) for member in members) / max(1, slots)


def wanted_switch(instances: Iterable[Instance], loads: StageLoads) -> Switch | None:
    """Tell the one change that a service's stages want most; none while one is under way."""
    services: dict[str, list[Instance]] = {}
    for instance in instances:
        if instance.stage:
            services.setdefault(instance.service, []).append(instance)
    for _, members in sorted(services.items()):
        switch = _of_service(members, loads)
        if switch is not None:
            return switch
    return None


def _of_service(members: list[Instance], loads: StageLoads) -> Switch | None:
    if any(member.state == SWITCHING for member in members):
        return None
    ready = sorted((member for member in members if member.state == READY), key=lambda one: one.identity)
    prefill = [member for member in ready if member.stage == PREFILL]
    decode = [member for member in ready if member.stage == DECODE]
    most = max(1, int(MOST_PREFILL * len(ready)))
    least = max(1, int(LEAST_PREFILL * len(ready)))
    crowded = loads.fill(decode) >= FULL_DECODE and loads.queue(prefill) <= SHORT_QUEUE and len(prefill) > least
    if len(prefill) > 1 and (len(prefill) > most or crowded):
        return Switch(_idlest(prefill, loads), DECODE)
    queued = loads.queue(prefill) >= LONG_QUEUE and loads.fill(decode) <= ROOMY_DECODE and len(prefill) < most
    if len(decode) > 1 and (len(prefill) < least or queued):
        return Switch(_idlest(decode, loads), PREFILL)
    return None


def _idlest(members: list[Instance], loads: StageLoads) -> Instance:
    """An instance that changes its stage first lets what runs come to its end."""
    return min(members, key=lambda one: (loads.running.get(one.identity, 0.0), one.identity))
