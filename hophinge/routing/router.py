"""The router: what a request may use under the version that it came under. It narrows; the module chooses.

Events in, answers out; time is an argument. One step takes up a whole version: a request is looked up in one table,
and keeps what it was given until its final answer, whatever versions come meanwhile.
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
JUDGED_RESULTS = ERROR_RESULTS | {Result.OK}  # FULL, CANCELLED and MOOT tell nothing of a brick's soundness
NO_BACKENDS_RETRY_US = 500_000  # advice where no brick of a request's pools is live
ALL_BACKENDS: tuple[str, ...] = ()  # the pools of a request without a route: every brick
MAX_WAIT_SHARE = 0.2  # part of its time that a request waits for a turn at most; the module holds it too
NO_SHARES = TenantShares()


class Router:
    """Routes, pools, limits, retry budgets and outliers of one head."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = tuple(klass.name for klass in settings.classes)
        self.table = EMPTY_TABLE
        self.effective_plans = settings.plans  # the platform's plans with what the version in force lowers
        self.find_owner: Callable[[str], str] = lambda volume: ""  # of a volume that no form gives to a tenant
        self.find_account: Callable[[str], Account | None] = lambda tenant: None  # of a tenant that no form names
        self.limiter, self.retry_budgets, self.outlier_detector = Limiter(), RetryBudgets(), OutlierDetector()
        self.failover_levels = FailoverLevels(settings, self.outlier_detector)
        self.open_by_pool: dict[str, int] = {}  # requests by pool
        self.open_by_version: dict[tuple[int, int], int] = {}  # requests by version, this one's and those that drain
        self.admission: Admission | None = None
        self.queued: dict[int, AdmittedRequest] = {}  # that wait, by their ticket
        self.reserve_share: Callable[[str], float] = lambda tenant: (
            1 / settings.gateways
        )  # of its reserve, at this head
        self.spilled = self.followed_shard = self.rejected_by_limit = self.rejected_without_backend = (
            self.rejected_beyond_share
        ) = 0

    # --- versions

    def activate(self, table: RoutingTable, now_us: int) -> tuple[PlatformPlan, ...]:
        """Put a version in force, in one step; tell the plans as they are now."""
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
        """Begin, change or end sharing what is spare."""
        if table.spare is None:
            if self.admission is not None:
                # Nobody waits for a turn that nobody gives any more.
                self.admission.spare_capacity = SpareCapacity(float("inf"), 1)
            return
        spare = SpareCapacity(table.spare.max_units, table.spare.max_wait_us, table.spare.max_queued)
        if self.admission is None:
            self.admission = Admission(self._tenant_shares, spare, self.settings.max_units)
        self.admission.spare_capacity = spare

    def _tenant_shares(self, tenant: str) -> TenantShares:
        """Tell what a tenant may count on here: this head's part of its reserve."""
        form = self.table.tenants.get(tenant)
        if form is None:
            held = self.find_account(tenant)
            return (
                NO_SHARES
                if held is None
                else TenantShares(held.shares.reserve * self.reserve_share(tenant), held.shares.weight)
            )
        return TenantShares(form.reserve * self.reserve_share(tenant), form.weight, form.max_queued)

    def overridden_plans(self) -> tuple[PlatformPlan, ...]:
        """Tell the platform's plans with what the version lowers."""
        made = []
        for plan in self.settings.plans:
            own = self.table.plans.get(plan.name)
            if own is not None:
                plan = replace(
                    plan,
                    reserve=min(plan.reserve, own.reserve) if own.reserve >= 0 else plan.reserve,
                    weight=min(plan.weight, own.weight) if own.weight >= 0 else plan.weight,
                )
            made.append(plan)
        return tuple(made)

    def _drop_unused_versions(self) -> None:
        """Drop versions of which no request is open."""
        for version in [
            one
            for one in self.failover_levels.tables
            if one != self.table.version and not self.open_by_version.get(one)
        ]:
            self.failover_levels.drop_version(version)
            self.open_by_version.pop(version, None)

    # --- bricks

    def nodes(self, now_us: int, event: NodeList) -> None:
        """Take a node list, or what changed in it."""
        self.failover_levels.on_node_list(now_us, event)

    def ended(self, now_us: int, node: str, result: Result) -> None:
        """Note how an attempt at a node ended."""
        if result in JUDGED_RESULTS and self.outlier_detector.on_attempt_ended(node, result in ERROR_RESULTS, now_us):
            self.failover_levels.refresh()

    # --- requests

    def admit(self, now_us: int, ask: Arrival) -> Bounds | WaitAtGate | int:
        """Tell a request's bounds, or after how many microseconds it may come again where it is refused."""
        if self.outlier_detector.restore_expired(now_us):
            self.failover_levels.refresh()
        table, klass, volume = self.table, self.classes[ask.klass], ask.volume.lower()
        tenant = table.tenant_by_volume.get(volume) or self.find_owner(volume)
        route = table.routes.most_specific(tenant, volume, klass)
        level = self._level(table, route, ask.shard)
        if level is None:
            self.rejected_without_backend += 1
            return NO_BACKENDS_RETRY_US
        # What it takes is given back by `answered`, or here where the next step refuses.
        states, wait_us = self.limiter.admit(table.limits.matching(tenant, volume, klass), ask.units, now_us)
        if wait_us:
            self.rejected_by_limit += 1
            return wait_us
        ticket, waits = None, False
        if self.admission is not None and table.spare is not None:
            verdict, ticket, wait_us = self.admission.arrive(now_us, self._admission_request(ask, tenant, volume))
            if verdict is AdmissionDecision.REJECTED:
                for state in states:
                    state.refund(ask.units)
                self.rejected_beyond_share += 1
                return wait_us
            waits = verdict is AdmissionDecision.QUEUED
        pool = level.pool.name if level.pool is not None else ""
        if route is not None and pool != route.pools[0]:
            self.spilled += 1
        if ask.shard >= 0 and ask.shard not in level.view.shards:
            self.followed_shard += 1
        rule = table.retry_rule(klass)
        budget = self.retry_budgets.for_rule(rule) if rule is not None else None
        if budget is not None:
            budget.record_first_attempt(now_us)
        self.open_by_pool[pool] = self.open_by_pool.get(pool, 0) + 1
        self.open_by_version[table.version] = self.open_by_version.get(table.version, 0) + 1
        made = AdmittedRequest(ask.request, table, level.view, pool, states, budget, now_us)
        made.ticket = ticket
        if waits and ticket is not None:
            self.queued[id(ticket)] = made
            return WaitAtGate(made)
        return made

    def _admission_request(self, ask: Arrival, tenant: str, volume: str) -> AdmissionRequest:
        plan, klass = self.effective_plans[ask.plan], self.settings.classes[ask.klass]
        heads = ask.gateways if ask.gateways > 0 else self.settings.gateways
        return AdmissionRequest(
            tenant,
            volume,
            ask.units,
            klass.value * plan.price,
            plan.reserve / heads,
            plan.weight,
            int(MAX_WAIT_SHARE * ask.time_left_us),
        )

    def release(self, now_us: int) -> list[tuple[str, int]]:
        """Tell which requests wait no longer: 0 where one is let in, else after how long it may come again."""
        if self.admission is None:
            return []
        done = [(self.queued.pop(id(ticket), None), wait_us) for ticket, wait_us in self.admission.dispatch(now_us)]
        self.rejected_beyond_share += sum(wait_us > 0 for _, wait_us in done)
        # Of one whose tenant has ended the client may have left since.
        return [(made.name, wait_us) for made, wait_us in done if made is not None]

    def evict_tenant(self, tenant: str) -> bool:
        """Have all that wait of a tenant turned away at the next turn; tells whether there were any."""
        return self.admission is not None and self.admission.evict_tenant(tenant)

    @property
    def next_release_us(self) -> int:
        """Tell when `turn` is to be called at the latest; 0: nothing waits."""
        return self.admission.next_deadline_us if self.admission is not None else 0

    def pacing_delay_us(self, now_us: int, volume: str, klass: str, way: int, size: int) -> int:
        """Count bytes of a long body, 0 in or 1 out, and tell for how long to move no more of it."""
        name = volume.lower()
        tenant = self.table.tenant_by_volume.get(name) or self.find_owner(name)
        return self.limiter.pacing_delay_us(self.table.limits.matching(tenant, name, klass), way, size, now_us)

    def _level(self, table: RoutingTable, route: Route | None, shard: int) -> FailoverLevel | None:
        """Tell where in its route's order a request goes; None: nowhere."""
        levels = self.failover_levels.levels_of(table, route.pools if route is not None else ALL_BACKENDS)
        if shard >= 0:
            return next((level for level in levels if shard in level.view.shards), levels[0])
        usable = [level for level in levels if level.view.nodes]
        for level in usable:
            bound = level.pool.max_open if level.pool is not None else 0
            if not bound or self.open_by_pool.get(level.pool.name if level.pool else "", 0) < bound * len(
                level.view.nodes
            ):
                return level
        if usable:
            return usable[0]  # all are full: the first one's queue is the module's to keep or to refuse
        if route is None or route.otherwise == "any":
            return self.failover_levels.levels_of(table, ALL_BACKENDS)[0]
        return None

    def answered(self, now_us: int, bounds: Bounds) -> None:
        """Give back what an answered request holds."""
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

    def tenant_usage(self, most: int, now_us: int) -> dict[str, Any]:
        """Tell what the busiest tenants got at this head and which of their volumes owe; of the rest, the sum."""
        accounts = self.admission.tenants if self.admission is not None else {}
        rows = sorted(accounts.items(), key=lambda row: -(row[1].usage.reserved + row[1].usage.spare))
        told = {
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
            for name, account in rows[:most]
        }
        rest = rows[most:]
        return {
            "tenants": told,
            "others": {
                "tenants": len(rest),
                "units": round(sum(one.usage.reserved + one.usage.spare for _, one in rest), 3),
                "refused": sum(one.usage.rejected for _, one in rest),
            },
        }

    def status(self) -> Mapping[str, Any]:
        """Tell what it has done, for staff."""
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
