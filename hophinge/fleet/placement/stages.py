"""How many instances of a service read prompts and how many make tokens, and which one should change its part.

Tokens are made only at decode instances, and requests that run there hold memory for all of their prompt: too few of
them stop a service, while prompts may also be read at decode instances. So the part that only reads is bounded above,
and below where the instances left to it could not keep up.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hophinge.fleet.placement.pool import DECODE, PREFILL
from hophinge.fleet.registry.instance import READY, SWITCHING, Instance

MOST_PREFILL = 0.6          # part of a service's instances that only read prompts, at most
LEAST_PREFILL = 0.25        # and at least


@dataclass(frozen=True, slots=True)
class Switch:
    """An instance that should change its part."""

    instance: Instance
    stage: str


def wanted_switch(instances: Iterable[Instance]) -> Switch | None:
    """Tell the one change that a service's stages want most; none while one is under way."""
    services: dict[str, list[Instance]] = {}
    for instance in instances:
        if instance.stage:
            services.setdefault(instance.service, []).append(instance)
    for _, members in sorted(services.items()):
        switch = _of_service(members)
        if switch is not None:
            return switch
    return None


def _of_service(members: list[Instance]) -> Switch | None:
    if any(member.state == SWITCHING for member in members):
        return None
    ready = sorted((member for member in members if member.state == READY), key=lambda one: one.identity)
    prefill = [member for member in ready if member.stage == PREFILL]
    decode = [member for member in ready if member.stage == DECODE]
    most = max(1, int(MOST_PREFILL * len(ready)))
    least = max(1, int(LEAST_PREFILL * len(ready)))
    if len(prefill) > most and len(prefill) > 1:
        return Switch(prefill[0], DECODE)
    if len(prefill) < least and len(decode) > 1:
        return Switch(decode[0], PREFILL)
    return None
