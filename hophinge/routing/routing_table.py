"""One version of the service document, compiled into an immutable table for look-ups."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from hophinge.routing.records import (
    EjectionRule,
    Limit,
    PlanOverride,
    Pool,
    Record,
    RetryRule,
    Route,
    Scope,
    SpareSharing,
    TenantRule,
)
from hophinge.routing.scope_index import ScopeIndex

Value = TypeVar("Value")


@dataclass(frozen=True)
class RoutingTable:
    """The records of a version; `version` is its epoch and number."""

    version: tuple[int, int] = (0, 0)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    routes: ScopeIndex[Route] = field(default_factory=lambda: ScopeIndex({}))
    limits: ScopeIndex[Limit] = field(default_factory=lambda: ScopeIndex({}))
    retries: Mapping[str, RetryRule] = field(default_factory=dict)  # by class
    tenant_by_volume: Mapping[str, str] = field(default_factory=dict)
    plans: Mapping[str, PlanOverride] = field(default_factory=dict)
    eject: EjectionRule | None = None
    spare: SpareSharing | None = None
    tenants: Mapping[str, TenantRule] = field(default_factory=dict)

    def with_changes(
        self, version: tuple[int, int], changes: Mapping[str, Record | None], before: Mapping[str, Record]
    ) -> RoutingTable:
        """Create the table of the next version; maps that change are copied, the others are shared with this table.

        Args:
            version: Epoch and number of the next version.
            changes: New or changed records by key; None for removed ones.
            before: The records of these keys in this version, where it has them.

        """
        builder = _TableBuilder(self)
        for key, record in changes.items():
            if record is not None:
                builder.put(record, before.get(key))
            else:
                builder.remove(before[key])
        return builder.build(version)

    def retry_rule(self, klass: str) -> RetryRule | None:
        """Return the rule of a class, or the rule for all classes; None if there is neither."""
        return self.retries.get(klass) or self.retries.get("")


class _TableBuilder:
    """Collects changes to a table."""

    def __init__(self, table: RoutingTable) -> None:
        self.table = table
        self.pools = dict(table.pools)
        self.retries = dict(table.retries)
        self.plans = dict(table.plans)
        self.eject = table.eject
        self.spare = table.spare
        self.routes: list[tuple[Scope, Route | None]] = []
        self.limits: list[tuple[Scope, Limit | None]] = []
        self.removed_tenants: list[TenantRule] = []
        self.added_tenants: list[TenantRule] = []

    def put(self, record: Record, previous: Record | None) -> None:
        """Add a record, or replace the previous one with its key."""
        if isinstance(record, TenantRule):
            if isinstance(previous, TenantRule):
                self.removed_tenants.append(previous)
            self.added_tenants.append(record)
        else:
            self._set(record, is_present=True)

    def remove(self, record: Record) -> None:
        """Remove a record."""
        if isinstance(record, TenantRule):
            self.removed_tenants.append(record)
        else:
            self._set(record, is_present=False)

    def _set(self, record: Record, is_present: bool) -> None:
        match record:
            case Route():
                self.routes.append((record.scope, record if is_present else None))
            case Limit():
                self.limits.append((record.scope, record if is_present else None))
            case SpareSharing():
                self.spare = record if is_present else None
            case EjectionRule():
                self.eject = record if is_present else None
            case Pool():
                _set_or_remove(self.pools, record.name, record if is_present else None)
            case RetryRule():
                _set_or_remove(self.retries, record.klass, record if is_present else None)
            case PlanOverride():
                _set_or_remove(self.plans, record.name, record if is_present else None)

    def build(self, version: tuple[int, int]) -> RoutingTable:
        """Return the changed table."""
        tenants, tenant_by_volume = self._tenants()
        return RoutingTable(
            version,
            self.pools,
            self.table.routes.with_changes(self.routes),
            self.table.limits.with_changes(self.limits),
            self.retries,
            tenant_by_volume,
            self.plans,
            self.eject,
            self.spare,
            tenants,
        )

    def _tenants(self) -> tuple[Mapping[str, TenantRule], Mapping[str, str]]:
        """Return the tenants by name, and the tenant names by volume."""
        if not self.removed_tenants and not self.added_tenants:
            return self.table.tenants, self.table.tenant_by_volume
        tenants = dict(self.table.tenants)
        tenant_by_volume = dict(self.table.tenant_by_volume)
        # Removals come first, because a volume may move from one tenant to another.
        for tenant in self.removed_tenants:
            tenants.pop(tenant.name, None)
            for volume in tenant.volumes:
                if tenant_by_volume.get(volume) == tenant.name:
                    del tenant_by_volume[volume]
        for tenant in self.added_tenants:
            tenants[tenant.name] = tenant
            tenant_by_volume.update(dict.fromkeys(tenant.volumes, tenant.name))
        return tenants, tenant_by_volume


def _set_or_remove(values: dict[str, Value], name: str, value: Value | None) -> None:
    if value is None:
        values.pop(name, None)
    else:
        values[name] = value


EMPTY_TABLE = RoutingTable()
