"""The router: admits requests and restricts each to the backends that the active version allows. No I/O.

The core then chooses one of these backends. A version is activated in one step: a request is looked up in one table and
keeps its bounds until its final response, even if later versions are activated in the meantime.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from hophinge.core.interface import Arrival, Bounds, NodeList, Result, Settings, WaitAtGate
from hophinge.core.interface import Plan as PlatformPlan
from hophinge.routing.outlier_detection import OutlierDetector
from hophinge.routing.limits import Limiter
from hophinge.routing.admitted_request import AdmittedRequest
from hophinge.routing.records import Route
from hophinge.routing.retry_budget import RetryBudgets
from hophinge.routing.routing_table import EMPTY_TABLE, RoutingTable
from hophinge.routing.failover import FailoverLevel, FailoverLevels
from hophinge.tenancy.records import Account
from hophinge.tenancy.admission import Admission, AdmissionRequest, TenantShares, SpareCapacity, AdmissionDecision

ERROR_RESULTS = frozenset({Result.ERROR, Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET})
HEALTH_RESULTS = ERROR_RESULTS | {Result.OK}  # FULL, CANCELLED and MOOT say nothing about a backend's health
NO_BACKENDS_RETRY_US = 500_000  # retry advice to clients if no backend of a request's pools is usable
ALL_BACKENDS: tuple[str, ...] = ()  # the pools of a request without a route
MAX_WAIT_SHARE = 0.2  # of a request's remaining time, which it may wait for admission
NO_SHARES = TenantShares()


class Router:
    """Applies the routes, pools, limits, retry budgets and outlier detection of one head."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = tuple(klass.name for klass in settings.classes)
        self.table = EMPTY_TABLE
        self.effective_plans = settings.plans  # the platform's plans as lowered by the active version
        self.find_owner: Callable[[str], str] = lambda volume: ""  # the tenant of a volume that no `TenantRule` lists
        self.find_account: Callable[[str], Account | None] = lambda tenant: None  # for a tenant without a `TenantRule`
        self.limiter = Limiter()
        self.retry_budgets = RetryBudgets()
        self.outlier_detector = OutlierDetector()
        self.failover_levels = FailoverLevels(settings, self.outlier_detector)
        self.open_by_pool: dict[str, int] = {}  # unanswered requests by pool
        # Unanswered requests by version, of the active and draining versions.
        self.open_by_version: dict[tuple[int, int], int] = {}
        self.admission: Admission | None = None
        self.queued: dict[int, AdmittedRequest] = {}  # requests that wait for admission, by `id()` of their ticket
        even_share = 1 / settings.gateways
        self.reserve_share: Callable[[str], float] = lambda tenant: even_share  # this head's fraction of a reserve
        self.spilled = 0  # requests that did not go to the first pool of their route
        self.followed_shard = 0  # requests that left their pools for a backend with their shard
        self.rejected_by_limit = 0
        self.rejected_without_backend = 0
        self.rejected_beyond_share = 0

    # --- versions

    def activate(self, table: RoutingTable, now_us: int) -> tuple[PlatformPlan, ...]:
        """Activate a version in one step; return the platform's plans as lowered by it."""
        self.limiter.drop_removed(table.limits.get, table.limits.size)
        self.retry_budgets.set_rules({rule.key: rule for rule in table.retries.values()})
        self.table = table
        self.failover_levels.tables[table.version] = table
        self.outlier_detector.set_rule(table.eject, now_us)
        self._configure_sharing(table)
        self._drop_unused_versions()
        self.failover_levels.refresh()
        self.effective_plans = self.overridden_plans()
        return self.effective_plans

    def _configure_sharing(self, table: RoutingTable) -> None:
        """Start, change or stop sharing spare capacity, as the version says."""
        if table.spare is None:
            if self.admission is not None:
                # Admit all queued requests, because none of them would be admitted later.
                self.admission.spare_capacity = SpareCapacity(float("inf"), 1)
            return
        spare = SpareCapacity(table.spare.max_units, table.spare.max_wait_us, table.spare.max_queued)
        if self.admission is None:
            self.admission = Admission(self._tenant_shares, spare, self.settings.max_units)
        self.admission.spare_capacity = spare

    def _tenant_shares(self, tenant: str) -> TenantShares:
        """Return a tenant's shares at this head: its part of the tenant's reserve, and its weight."""
        rule = self.table.tenants.get(tenant)
        if rule is not None:
            return TenantShares(rule.reserve * self.reserve_share(tenant), rule.weight, rule.max_queued)
        account = self.find_account(tenant)
        if account is None:
            return NO_SHARES
        return TenantShares(account.shares.reserve * self.reserve_share(tenant), account.shares.weight)

    def overridden_plans(self) -> tuple[PlatformPlan, ...]:
        """Return the platform's plans as lowered by the active version."""
        plans = []
        for plan in self.settings.plans:
            override = self.table.plans.get(plan.name)
            if override is not None:
                plan = replace(
                    plan,
                    reserve=min(plan.reserve, override.reserve) if override.reserve >= 0 else plan.reserve,
                    weight=min(plan.weight, override.weight) if override.weight >= 0 else plan.weight,
                )
            plans.append(plan)
        return tuple(plans)

    def _drop_unused_versions(self) -> None:
        """Drop versions that have no open requests, except for the active one."""
        active = self.table.version
        for version in list(self.failover_levels.tables):
            if version != active and not self.open_by_version.get(version):
                self.failover_levels.drop_version(version)
                self.open_by_version.pop(version, None)

    # --- backends

    def nodes(self, now_us: int, event: NodeList) -> None:
        """Apply a full node list, or changes to it."""
        self.failover_levels.on_node_list(now_us, event)

    def ended(self, now_us: int, node: str, result: Result) -> None:
        """Record how an attempt at a backend ended."""
        if result in HEALTH_RESULTS and self.outlier_detector.on_attempt_ended(node, result in ERROR_RESULTS, now_us):
            self.failover_levels.refresh()

    # --- requests

    def admit(self, now_us: int, arrival: Arrival) -> Bounds | WaitAtGate | int:
        """Admit, queue or reject a request.

        Returns:
            The bounds of an admitted request; `WaitAtGate` with the bounds of a queued one; for a rejected one, the
            microseconds to wait before a retry.

        """
        if self.outlier_detector.restore_expired(now_us):
            self.failover_levels.refresh()
        table, klass, volume = self.table, self.classes[arrival.klass], arrival.volume.lower()
        tenant = table.tenant_by_volume.get(volume) or self.find_owner(volume)
        route = table.routes.most_specific(tenant, volume, klass)
        level = self._level(table, route, arrival.shard)
        if level is None:
            self.rejected_without_backend += 1
            return NO_BACKENDS_RETRY_US
        # What the limits count is released by `answered`, or refunded below if admission rejects the request.
        states, wait_us = self.limiter.admit(table.limits.matching(tenant, volume, klass), arrival.units, now_us)
        if wait_us:
            self.rejected_by_limit += 1
            return wait_us
        ticket, is_queued = None, False
        if self.admission is not None and table.spare is not None:
            decision, ticket, wait_us = self.admission.arrive(now_us, self._admission_request(arrival, tenant, volume))
            if decision is AdmissionDecision.REJECTED:
                for state in states:
                    state.refund(arrival.units)
                self.rejected_beyond_share += 1
                return wait_us
            is_queued = decision is AdmissionDecision.QUEUED
        pool = level.pool.name if level.pool is not None else ""
        if route is not None and pool != route.pools[0]:
            self.spilled += 1
        if arrival.shard >= 0 and arrival.shard not in level.view.shards:
            self.followed_shard += 1
        rule = table.retry_rule(klass)
        budget = self.retry_budgets.for_rule(rule) if rule is not None else None
        if budget is not None:
            budget.record_first_attempt(now_us)
        self.open_by_pool[pool] = self.open_by_pool.get(pool, 0) + 1
        self.open_by_version[table.version] = self.open_by_version.get(table.version, 0) + 1
        admitted = AdmittedRequest(arrival.request, table, level.view, pool, states, budget, now_us)
        admitted.ticket = ticket
        if is_queued and ticket is not None:
            self.queued[id(ticket)] = admitted
            return WaitAtGate(admitted)
        return admitted

    def _admission_request(self, arrival: Arrival, tenant: str, volume: str) -> AdmissionRequest:
        plan = self.effective_plans[arrival.plan]
        klass = self.settings.classes[arrival.klass]
        heads = arrival.gateways if arrival.gateways > 0 else self.settings.gateways
        return AdmissionRequest(
            tenant,
            volume,
            arrival.units,
            klass.value * plan.price,
            plan.reserve / heads,
            plan.weight,
            int(MAX_WAIT_SHARE * arrival.time_left_us),
        )

    def release(self, now_us: int) -> list[tuple[str, int]]:
        """Return the requests that leave the queue, with 0 if admitted, else the microseconds until a retry."""
        if self.admission is None:
            return []
        released = [(self.queued.pop(id(ticket), None), wait_us) for ticket, wait_us in self.admission.dispatch(now_us)]
        self.rejected_beyond_share += sum(wait_us > 0 for _, wait_us in released)
        # None if the client closed its connection after its tenant was evicted.
        return [(request.name, wait_us) for request, wait_us in released if request is not None]

    def evict_tenant(self, tenant: str) -> bool:
        """Let the next `release` reject a tenant's queued requests; return whether any request is to be rejected."""
        return self.admission is not None and self.admission.evict_tenant(tenant)

    @property
    def next_release_us(self) -> int:
        """The latest time at which `release` has to be called, in microseconds; 0: no request is queued."""
        return self.admission.next_deadline_us if self.admission is not None else 0

    def pacing_delay_us(self, now_us: int, volume: str, klass: str, direction: int, size: int) -> int:
        """Count transferred bytes of a long body; return the delay before the next chunk. `direction`: 0 in, 1 out."""
        name = volume.lower()
        tenant = self.table.tenant_by_volume.get(name) or self.find_owner(name)
        return self.limiter.pacing_delay_us(self.table.limits.matching(tenant, name, klass), direction, size, now_us)

    def _level(self, table: RoutingTable, route: Route | None, shard: int) -> FailoverLevel | None:
        """Return the level that a request goes to; None if no pool of its route is usable and no other may be used."""
        levels = self.failover_levels.levels_of(table, route.pools if route is not None else ALL_BACKENDS)
        if shard >= 0:
            return next((level for level in levels if shard in level.view.shards), levels[0])
        usable = [level for level in levels if level.view.nodes]
        for level in usable:
            max_open = level.pool.max_open if level.pool is not None else 0
            pool = level.pool.name if level.pool else ""
            if not max_open or self.open_by_pool.get(pool, 0) < max_open * len(level.view.nodes):
                return level
        if usable:
            return usable[0]  # all pools are full: the core decides whether the request waits for the first one
        if route is None or route.otherwise == "any":
            return self.failover_levels.levels_of(table, ALL_BACKENDS)[0]
        return None

    def answered(self, now_us: int, bounds: Bounds) -> None:
        """Release what an answered request holds: its ticket, limits and open counts."""
        assert isinstance(bounds, AdmittedRequest)
        if bounds.ticket is not None and self.admission is not None:
            self.queued.pop(id(bounds.ticket), None)
            self.admission.finish(now_us, bounds.ticket)
        for state in bounds.states:
            state.release(now_us - bounds.admitted_us)
        self.open_by_pool[bounds.pool] -= 1
        if not self.open_by_pool[bounds.pool]:
            del self.open_by_pool[bounds.pool]
        version = bounds.table.version
        self.open_by_version[version] -= 1
        if not self.open_by_version[version] and version != self.table.version:
            self._drop_unused_versions()

    def tenant_usage(self, limit: int, now_us: int) -> dict[str, Any]:
        """Return the usage of the `limit` busiest tenants at this head and the sum of the others, as a JSON object."""
        accounts = self.admission.tenants if self.admission is not None else {}
        rows = sorted(accounts.items(), key=lambda row: -(row[1].usage.reserved + row[1].usage.spare))
        busiest = {
            name or "(none)": {
                "reserve": round(self._tenant_shares(name).reserve, 3),
                "reserved_units": round(account.usage.reserved, 3),
                "spare_units": round(account.usage.spare, 3),
                "lent_units": round(account.reserve.lent_units, 3),
                "debts": {volume: round(units, 3) for volume, units in account.reserve.loans(now_us).items()},
                "refused": account.usage.rejected,
                "waiting": account.queued_requests,
                "waited_us": account.usage.waited_us,
            }
            for name, account in rows[:limit]
        }
        others = rows[limit:]
        return {
            "tenants": busiest,
            "others": {
                "tenants": len(others),
                "units": round(sum(account.usage.reserved + account.usage.spare for _, account in others), 3),
                "refused": sum(account.usage.rejected for _, account in others),
            },
        }

    def status(self) -> Mapping[str, Any]:
        """Return counts for operators, as a JSON object."""
        return {
            "spilled": self.spilled,
            "followed_their_data": self.followed_shard,
            "refused_by_limit": self.rejected_by_limit,
            "refused_without_brick": self.rejected_without_backend,
            "refused_beyond_share": self.rejected_beyond_share,
            "ejected": self.outlier_detector.ejected_count,
            "ejections_spared": self.outlier_detector.suppressed_count,
            "resting": len(self.outlier_detector.ejected_until),
            "repeats_denied": sum(budget.denied for budget in self.retry_budgets.budgets.values()),
            "draining_versions": sum(version != self.table.version for version in self.open_by_version),
        }
