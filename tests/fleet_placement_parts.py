"""What tests of placement share: instances, prompts and wishes of one service."""

from __future__ import annotations

from random import Random

from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.plan import Plan, Wish
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.registry.instance import READY, Instance


def instance(number: int, stage: str, state: str = READY) -> Instance:
    return Instance(f"i-{number}", "s", f"10.0.0.{number}:80", "z", "v", 8, state, stage, ())


def placement_of(prefill: int, decode: int, plain: int = 0) -> Placement:
    placement = Placement("z", lambda identity: None, Random(1))
    for number, stage in enumerate(["prefill"] * prefill + ["decode"] * decode + [""] * plain):
        placement.instance(f"i-{number}", instance(number, stage))
    placement.configured({"s": 200_000})
    return placement


def wish(name: str, now: float = 0.0, aim_s: float = 10.0) -> Wish:
    return Wish(now, (name, 1), "s", set(), aim_s, now + aim_s)


def prompt_of(key: str, shared: int = 5_000, own: int = 500, name: str = "") -> Prompt:
    return Prompt(shared + own, 50, ((key, shared), (f"own-{key}-{name}", own)))


def generation(placement: Placement, name: str, prompt: Prompt, aim_s: float = 10.0) -> Plan:
    plan = placement.generation(wish(name, 0.0, aim_s), prompt)
    assert isinstance(plan, Plan)
    return plan
