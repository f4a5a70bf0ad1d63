"""Fixtures for the placement tests: instances, prompts and requests of one service."""

from __future__ import annotations

from random import Random

from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.plan import PlacementPlan, PlacementRequest
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.registry.instance import READY, Instance


def instance(number: int, stage: str, state: str = READY) -> Instance:
    return Instance(f"i-{number}", "s", f"10.0.0.{number}:80", "z", "v", 8, state, stage, ())


def placement_of(prefill: int, decode: int, plain: int = 0) -> Placement:
    placement = Placement("z", lambda identity: None, Random(1))
    for number, stage in enumerate(["prefill"] * prefill + ["decode"] * decode + [""] * plain):
        placement.instances.update_instance(f"i-{number}", instance(number, stage))
    placement.instances.configure({"s": 200_000})
    return placement


def request_of(name: str, now: float = 0.0, target_s: float = 10.0) -> PlacementRequest:
    return PlacementRequest(now, (name, 1), "s", set(), target_s, now + target_s)


def prompt_of(key: str, shared: int = 5_000, own: int = 500, name: str = "") -> Prompt:
    return Prompt(shared + own, 50, ((key, shared), (f"own-{key}-{name}", own)))


def generation(placement: Placement, name: str, prompt: Prompt, target_s: float = 10.0) -> PlacementPlan:
    plan = placement.place_generation(request_of(name, 0.0, target_s), prompt)
    assert isinstance(plan, PlacementPlan)
    return plan
