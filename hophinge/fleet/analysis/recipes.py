"""Recipes of deployments: variants of a base site with other engines, prompts and load, by seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

NOISE = 0.1  # relative deviation of each factor, by the seed


@dataclass(frozen=True, slots=True)
class Recipe:
    """Factors of a base site's values; the fields are the names in files of recipes.

    `prefill` is the initial fraction of prefill instances itself, not a factor.
    """

    name: str
    base: str
    seed: int
    pace: float = 1.0  # of the prefill rate
    memory: float = 1.0  # of an engine's KV cache
    tokens_in: float = 1.0  # of each prompt's own segment
    shared: float = 1.0  # of the tokens of shared segments
    openings: float = 1.0  # of the number of different shared segments
    tokens_out: float = 1.0
    rate: float = 1.0
    aims: float = 1.0
    prefill: float = 0.41


# Any: a site is the JSON of the operators' kit, of which only some values are changed.
def vary(site: dict[str, Any], recipe: Recipe) -> dict[str, Any]:
    """Apply a recipe to a site, in place."""
    random = Random(recipe.seed)

    def factor(value: float) -> float:
        return value * random.uniform(1 - NOISE, 1 + NOISE) if value != 1.0 else 1.0

    site["name"] = recipe.name
    for service in site["services"]:
        if "llm" in service:
            engine = service["llm"]
            engine["prefill_tokens_per_ms"] *= factor(recipe.pace)
            engine["kv_tokens"] = int(engine["kv_tokens"] * factor(recipe.memory))
            engine["prefill"] = recipe.prefill
    factors = {name: factor(getattr(recipe, name)) for name in ("tokens_in", "shared", "openings", "tokens_out")}
    for kind in site["classes"]:
        kind["aim_ms"] = round(kind["aim_ms"] * recipe.aims)
        if "stream" in kind:
            _vary_prompts(kind["stream"], factors)
    for day in site["day"]:
        for kind in day.get("small", {}).get("classes", []):
            _vary_prompts(kind["stream"], factors)
        for traffic in day.get("traffic", []):
            traffic["per_s"] = traffic["per_s"] * recipe.rate
    return site


def _vary_prompts(stream: dict[str, Any], factors: dict[str, float]) -> None:
    for key, name in (("prompt_tokens", "tokens_in"), ("pieces", "tokens_out")):
        if key in stream:
            _scale(stream[key], factors[name])
    for part in stream.get("chain", []):
        _scale(part["tokens"], factors["shared"])
        part["things"] = max(1, round(part["things"] * factors["openings"]))


def _scale(sizes: dict[str, float], factor: float) -> None:
    sizes["mean"] *= factor
    sizes["max"] *= factor
