"""Capabilities of a head, and the reasons why it cannot run a version that requires more."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from hophinge.core.interface import Settings
from hophinge.routing.document_reader import reference_mistakes
from hophinge.routing.records import Limit, PlanOverride, Pool, Record, RetryRule, Route

PLATFORM = "the platform"
REFERENCED_RECORDS = ("pool/", "tenant/")  # key prefixes of records that other records depend on


class PlanBounds(NamedTuple):
    """Reserve and weight that the platform sets for a plan; a version can only lower them."""

    reserve: float  # units/s
    weight: float


@dataclass(frozen=True)
class HeadCapabilities:
    """What one head supports; it rejects a version that requires more."""

    zones: frozenset[str]
    kinds: frozenset[str]
    classes: frozenset[str]
    plans: Mapping[str, PlanBounds]
    max_attempts: int  # 0: unlimited
    allows_hedging: bool

    @classmethod
    def from_settings(cls, settings: Settings) -> HeadCapabilities:
        """Return the capabilities of a head that runs with these settings."""
        return cls(
            frozenset(settings.zones),
            frozenset(settings.kinds),
            frozenset(klass.name for klass in settings.classes),
            {plan.name: PlanBounds(plan.reserve, plan.weight) for plan in settings.plans},
            settings.allowed.attempts,
            settings.allowed.hedging,
        )


def validate(records: Mapping[str, Record], changed: Iterable[str], capabilities: HeadCapabilities) -> list[str]:
    """Return the reasons why a head cannot run a set of records.

    Args:
        records: All records by key.
        changed: Keys of records that were added, changed or removed; only these and records that refer to them are
            checked.
        capabilities: What the head supports.

    Returns:
        Reasons, each beginning with the key of its record; empty if the head can run the records.

    """
    keys = set(changed)
    checked = [records[key] for key in keys if key in records]
    reasons = unsupported_reasons(checked, capabilities)
    # A removed pool or a changed tenant can invalidate any other record, so all are checked; such changes are rare.
    if any(key.startswith(REFERENCED_RECORDS) for key in keys):
        checked = list(records.values())
    reasons += [f"{mistake.key}: {mistake.text}" for mistake in reference_mistakes(checked, records)]
    return sorted(reasons)


def unsupported_reasons(checked: Iterable[Record], capabilities: HeadCapabilities) -> list[str]:
    """Return what records require and a head does not support; each reason begins with the key of its record."""
    reasons: list[str] = []
    for record in checked:
        reasons += [f"{record.key}: {reason}" for reason in _unsupported(record, capabilities)]
    return reasons


def _unsupported(record: Record, capabilities: HeadCapabilities) -> list[str]:
    match record:
        case Pool():
            zones = [f"unknown zone {zone}" for zone in record.zones if zone not in capabilities.zones]
            return zones + [f"unknown machine kind {kind}" for kind in record.kinds if kind not in capabilities.kinds]
        case Route() | Limit():
            return _unsupported_class(record.scope.klass, capabilities)
        case RetryRule():
            return _unsupported_class(record.klass, capabilities) + _unsupported_retries(record, capabilities)
        case PlanOverride():
            return _unsupported_plan(record, capabilities.plans.get(record.name))
        case _:
            return []


def _unsupported_class(klass: str, capabilities: HeadCapabilities) -> list[str]:
    return [f"unknown request class {klass}"] if klass and klass not in capabilities.classes else []


def _unsupported_retries(rule: RetryRule, capabilities: HeadCapabilities) -> list[str]:
    reasons = []
    if 0 < capabilities.max_attempts < rule.max_attempts:
        reasons.append(f"{rule.max_attempts} attempts, but {PLATFORM} allows at most {capabilities.max_attempts}")
    if rule.hedge_delay_us and not capabilities.allows_hedging:
        reasons.append(f"hedged attempts, but {PLATFORM} does not allow them")
    return reasons


def _unsupported_plan(plan: PlanOverride, bounds: PlanBounds | None) -> list[str]:
    if bounds is None:
        return ["unknown plan"]
    if plan.reserve > bounds.reserve:
        return [f"reserves {plan.reserve:g} units/s, but {PLATFORM} allows at most {bounds.reserve:g}"]
    if plan.weight > bounds.weight:
        return [f"has weight {plan.weight:g}, but {PLATFORM} allows at most {bounds.weight:g}"]
    return []
