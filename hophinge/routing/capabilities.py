"""What one head offers, and why it cannot run a version that needs more."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from hophinge.core.interface import Settings
from hophinge.routing.document_reader import reference_mistakes
from hophinge.routing.records import Limit, PlanOverride, Pool, Record, RetryRule, Route

PLATFORM = "the platform"
REFERENCED_RECORDS = ("pool/", "tenant/")  # keys of records that others depend on


class PlanBounds(NamedTuple):
    """What the platform states for a plan, which a version can only lower."""

    reserve: float  # units/s
    weight: float


@dataclass(frozen=True)
class HeadCapabilities:
    """What one head offers: a version that needs more is rejected there."""

    zones: frozenset[str]
    kinds: frozenset[str]
    classes: frozenset[str]
    plans: Mapping[str, PlanBounds]
    max_attempts: int  # 0: no bound
    allows_hedging: bool

    @classmethod
    def from_settings(cls, settings: Settings) -> HeadCapabilities:
        """Return the capabilities of a head with these settings."""
        return cls(
            frozenset(settings.zones),
            frozenset(settings.kinds),
            frozenset(klass.name for klass in settings.classes),
            {plan.name: PlanBounds(plan.reserve, plan.weight) for plan in settings.plans},
            settings.allowed.attempts,
            settings.allowed.hedging,
        )


def validate(records: Mapping[str, Record], changed: Iterable[str], capabilities: HeadCapabilities) -> list[str]:
    """Return why a head cannot run a set of records.

    Args:
        records: All records by key.
        changed: Keys of records that are new or have gone; only these, and records that refer to them, are checked.
        capabilities: What the head offers.

    Returns:
        Reasons, each beginning with the key of its record; none if the head can run them.

    """
    keys = set(changed)
    checked = [records[key] for key in keys if key in records]
    reasons = unsupported_reasons(checked, capabilities)
    # A pool that went, or a tenant that changed, can invalidate any other record; such changes are rare.
    if any(key.startswith(REFERENCED_RECORDS) for key in keys):
        checked = list(records.values())
    reasons += [f"{mistake.key}: {mistake.text}" for mistake in reference_mistakes(checked, records)]
    return sorted(reasons)


def unsupported_reasons(checked: Iterable[Record], capabilities: HeadCapabilities) -> list[str]:
    """Return what records need and a head does not offer, each reason beginning with the key of its record."""
    reasons: list[str] = []
    for record in checked:
        reasons += [f"{record.key}: {reason}" for reason in _unsupported(record, capabilities)]
    return reasons


def _unsupported(record: Record, capabilities: HeadCapabilities) -> list[str]:
    match record:
        case Pool():
            zones = [f"no zone {zone} here" for zone in record.zones if zone not in capabilities.zones]
            return zones + [f"no machine kind {kind} here" for kind in record.kinds if kind not in capabilities.kinds]
        case Route() | Limit():
            return _unsupported_class(record.scope.klass, capabilities)
        case RetryRule():
            return _unsupported_class(record.klass, capabilities) + _unsupported_retries(record, capabilities)
        case PlanOverride():
            return _unsupported_plan(record, capabilities.plans.get(record.name))
        case _:
            return []


def _unsupported_class(klass: str, capabilities: HeadCapabilities) -> list[str]:
    return [f"no class {klass} here"] if klass and klass not in capabilities.classes else []


def _unsupported_retries(rule: RetryRule, capabilities: HeadCapabilities) -> list[str]:
    reasons = []
    if 0 < capabilities.max_attempts < rule.max_attempts:
        reasons.append(f"{rule.max_attempts} attempts; {PLATFORM} allows {capabilities.max_attempts}")
    if rule.hedge_delay_us and not capabilities.allows_hedging:
        reasons.append(f"a second copy; {PLATFORM} allows none")
    return reasons


def _unsupported_plan(plan: PlanOverride, bounds: PlanBounds | None) -> list[str]:
    if bounds is None:
        return ["no such plan here"]
    if plan.reserve > bounds.reserve:
        return [f"reserves {plan.reserve:g} units/s; {PLATFORM} states {bounds.reserve:g}"]
    if plan.weight > bounds.weight:
        return [f"has weight {plan.weight:g}; {PLATFORM} states {bounds.weight:g}"]
    return []
