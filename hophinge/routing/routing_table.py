"""One version of the service document, compiled: what a request is looked up in, whole and never changed."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from hophinge.core.interface import Settings
from hophinge.routing.document_reader import reference_mistakes
from hophinge.routing.scope_index import ScopeIndex
from hophinge.routing.records import (
    EjectionRule,
    Limit,
    PlanOverride,
    Pool,
    Record,
    RetryRule,
    Route,
    SpareSharing,
    TenantRule,
)

PLATFORM = "the platform"
Value = TypeVar("Value")


@dataclass(frozen=True)
class HeadCapabilities:
    """What one head has: a version that needs more is turned down there."""

    zones: frozenset[str]
    kinds: frozenset[str]
    classes: frozenset[str]
    plans: Mapping[str, tuple[float, float]]  # reserve (units/s) and weight by name
    max_attempts: int  # 0: no bound
    allows_hedging: bool

    @classmethod
    def from_settings(cls, settings: Settings) -> HeadCapabilities:
        """Tell the facts of a head's settings."""
        return cls(
            frozenset(settings.zones),
            frozenset(settings.kinds),
            frozenset(klass.name for klass in settings.classes),
            {plan.name: (plan.reserve, plan.weight) for plan in settings.plans},
            settings.allowed.attempts,
            settings.allowed.hedging,
        )


def unsupported_reasons(looked_at: Iterable[Record], facts: HeadCapabilities) -> list[str]:
    """Tell why a head with these facts cannot run the records, each reason with the form's name."""
    reasons = []
    for record in looked_at:
        why: list[str] = []
        if isinstance(record, Pool):
            why += [f"no zone {zone} here" for zone in record.zones if zone not in facts.zones]
            why += [f"no machine kind {kind} here" for kind in record.kinds if kind not in facts.kinds]
        elif isinstance(record, Route | Limit):
            if record.scope.klass and record.scope.klass not in facts.classes:
                why.append(f"no class {record.scope.klass} here")
        elif isinstance(record, RetryRule):
            if record.klass and record.klass not in facts.classes:
                why.append(f"no class {record.klass} here")
            if 0 < facts.max_attempts < record.max_attempts:
                why.append(f"{record.max_attempts} attempts; {PLATFORM} allows {facts.max_attempts}")
            if record.hedge_delay_us and not facts.allows_hedging:
                why.append(f"a second copy; {PLATFORM} allows none")
        elif isinstance(record, PlanOverride):
            own = facts.plans.get(record.name)
            if own is None:
                why.append("no such plan here")
            elif record.reserve > own[0]:
                why.append(f"reserves {record.reserve:g} units/s; {PLATFORM} states {own[0]:g}")
            elif record.weight > own[1]:
                why.append(f"has weight {record.weight:g}; {PLATFORM} states {own[1]:g}")
        reasons += [f"{record.key}: {text}" for text in why]
    return reasons


@dataclass(frozen=True)
class RoutingTable:
    """A version's records, ready for look-ups; `version` is (epoch, number)."""

    version: tuple[int, int] = (0, 0)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    routes: ScopeIndex[Route] = field(default_factory=lambda: ScopeIndex({}))
    limits: ScopeIndex[Limit] = field(default_factory=lambda: ScopeIndex({}))
    retries: Mapping[str, RetryRule] = field(default_factory=dict)
    tenant_by_volume: Mapping[str, str] = field(default_factory=dict)
    plans: Mapping[str, PlanOverride] = field(default_factory=dict)
    eject: EjectionRule | None = None
    spare: SpareSharing | None = None
    tenants: Mapping[str, TenantRule] = field(default_factory=dict)

    def with_changes(
        self, version: tuple[int, int], changes: Mapping[str, Record | None], before: Mapping[str, Record]
    ) -> RoutingTable:
        """Make the next version: records set anew or, with None, removed; `before` tells what a removed one was.

        Costs a copy of the maps that change and nothing for those that don't.
        """
        pools, retries, plans = dict(self.pools), dict(self.retries), dict(self.plans)
        owners, eject, spare, holders = self.tenant_by_volume, self.eject, self.spare, self.tenants
        routes: list[tuple[Route, bool]] = []
        limits: list[tuple[Limit, bool]] = []
        tenants: list[tuple[TenantRule, bool]] = []
        for name, record in changes.items():
            there = record is not None
            one = record if record is not None else before[name]
            if isinstance(one, Route):
                routes.append((one, there))
            elif isinstance(one, Limit):
                limits.append((one, there))
            elif isinstance(one, TenantRule):
                if isinstance(old := before.get(name), TenantRule):
                    tenants.append((old, False))
                if there:
                    tenants.append((one, True))
            elif isinstance(one, SpareSharing):
                spare = one if there else None
            elif isinstance(one, EjectionRule):
                eject = one if there else None
            elif isinstance(one, Pool):
                _set_or_remove(pools, one.name, one if there else None)
            elif isinstance(one, RetryRule):
                _set_or_remove(retries, one.klass, one if there else None)
            elif isinstance(one, PlanOverride):
                _set_or_remove(plans, one.name, one if there else None)
        if tenants:
            owners, holders = dict(owners), dict(holders)
            for tenant, there in sorted(tenants, key=lambda row: row[1]):  # removals first: a volume may move
                _set_or_remove(holders, tenant.name, tenant if there else None)
                for volume in tenant.volumes:
                    if there:
                        owners[volume] = tenant.name
                    elif owners.get(volume) == tenant.name:
                        del owners[volume]
        return RoutingTable(
            version,
            pools,
            self.routes.with_changes((one.scope, one if there else None) for one, there in routes),
            self.limits.with_changes((one.scope, one if there else None) for one, there in limits),
            retries,
            owners,
            plans,
            eject,
            spare,
            holders,
        )

    def retry_rule(self, klass: str) -> RetryRule | None:
        """Tell the form of a class, or the one for all."""
        return self.retries.get(klass) or self.retries.get("")


def _set_or_remove(rows: dict[str, Value], name: str, value: Value | None) -> None:
    if value is None:
        rows.pop(name, None)
    else:
        rows[name] = value


EMPTY_TABLE = RoutingTable()


def validate(records: Mapping[str, Record], changed: Iterable[str], facts: HeadCapabilities) -> list[str]:
    """Tell why a set of records cannot run at a head; only what changed is looked at, and who names what changed."""
    names = set(changed)
    looked_at = [records[name] for name in names if name in records]
    reasons = unsupported_reasons(looked_at, facts)
    # A pool that went, or a tenant that changed, can spoil what others say; those are few beside routes.
    if any(name.startswith(("pool/", "tenant/")) for name in names):
        looked_at = list(records.values())
    reasons += [f"{key}: {text}" for key, text in reference_mistakes(looked_at, records)]
    return sorted(reasons)
