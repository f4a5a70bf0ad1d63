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
from hophinge.routing.eject import Ejector
from hophinge.routing.limits import Limiter
from hophinge.routing.admitted import Pass
from hophinge.routing.records import Route
from hophinge.routing.retries import Budgets
from hophinge.routing.table import EMPTY, Table
from hophinge.routing.views import Level, Views
from hophinge.tenancy.records import Account
from hophinge.tenancy.admission import Admission, AdmissionRequest, TenantShares, SpareCapacity, AdmissionDecision

ERRORS = frozenset({Result.ERROR, Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET})
JUDGED = ERRORS | {Result.OK}  # FULL, CANCELLED and MOOT tell nothing of a brick's soundness
NO_BACKENDS_US = 500_000  # advice where no brick of a request's pools is live
ALL: tuple[str, ...] = ()  # the pools of a request without a route: every brick
PATIENCE = 0.2  # part of its time that a request waits for a turn at most; the module holds it too
NO_SHARES = TenantShares()


class Router:
    """Routes, pools, limits, retry budgets and outliers of one head."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = tuple(klass.name for klass in settings.classes)
        self.table = EMPTY
        self.lowered = settings.plans  # the platform's plans with what the version in force lowers
        self.owner: Callable[[str], str] = lambda volume: ""  # of a volume that no form gives to a tenant
        self.account: Callable[[str], Account | None] = lambda tenant: None  # of a tenant that no form names
        self.limiter, self.budgets, self.ejector = Limiter(), Budgets(), Ejector()
        self.views = Views(settings, self.ejector)
        self.open: dict[str, int] = {}  # requests by pool
        self.versions: dict[tuple[int, int], int] = {}  # requests by version, this one's and those that drain
        self.admission: Admission | None = None
        self.passes: dict[int, Pass] = {}  # that wait, by their ticket
        self.part: Callable[[str], float] = lambda tenant: 1 / settings.gateways  # of its reserve, at this head
        self.spilled = self.followed = self.refused_limit = self.refused_pools = self.refused_share = 0

    # --- versions

    def take_up(self, table: Table, now_us: int) -> tuple[PlatformPlan, ...]:
        """Put a version in force, in one step; tell the plans as they are now."""
        self.limiter.forget(table.limits.get, table.limits.size)
        self.budgets.change({rule.key: rule for rule in table.retries.values()})
        self.table = table
        self.views.tables[table.version] = table
        self.ejector.change(table.eject, now_us)
        self._share(table)
        self._forget()
        self.views.look()
        self.lowered = self.plans()
        return self.lowered

    def _share(self, table: Table) -> None:
        """Begin, change or end sharing what is spare."""
        if table.spare is None:
            if self.admission is not None:
                # Nobody waits for a turn that nobody gives any more.
                self.admission.spare_capacity = SpareCapacity(float("inf"), 1)
            return
        spare = SpareCapacity(table.spare.depth, table.spare.wait_us, table.spare.queue)
        if self.admission is None:
            self.admission = Admission(self._shares, spare, self.settings.max_units)
        self.admission.spare_capacity = spare

    def _shares(self, tenant: str) -> TenantShares:
        """Tell what a tenant may count on here: this head's part of its reserve."""
        form = self.table.tenants.get(tenant)
        if form is None:
            held = self.account(tenant)
            return (
                NO_SHARES if held is None else TenantShares(held.shares.reserve * self.part(tenant), held.shares.weight)
            )
        return TenantShares(form.reserve * self.part(tenant), form.weight, form.queue)

    def plans(self) -> tuple[PlatformPlan, ...]:
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

    def _forget(self) -> None:
        """Drop versions of which no request is open."""
        for version in [one for one in self.views.tables if one != self.table.version and not self.versions.get(one)]:
            self.views.forget(version)
            self.versions.pop(version, None)

    # --- bricks

    def nodes(self, now_us: int, event: NodeList) -> None:
        """Take a node list, or what changed in it."""
        self.views.nodes(now_us, event)

    def ended(self, now_us: int, node: str, result: Result) -> None:
        """Note how an attempt at a node ended."""
        if result in JUDGED and self.ejector.ended(node, result in ERRORS, now_us):
            self.views.look()

    # --- requests

    def admit(self, now_us: int, ask: Arrival) -> Bounds | WaitAtGate | int:
        """Tell a request's bounds, or after how many microseconds it may come again where it is refused."""
        if self.ejector.lapse(now_us):
            self.views.look()
        table, klass, volume = self.table, self.classes[ask.klass], ask.volume.lower()
        tenant = table.owners.get(volume) or self.owner(volume)
        route = table.routes.find(tenant, volume, klass)
        level = self._level(table, route, ask.shard)
        if level is None:
            self.refused_pools += 1
            return NO_BACKENDS_US
        # What it takes is given back by `answered`, or here where the next step refuses.
        states, wait_us = self.limiter.admit(table.limits.all(tenant, volume, klass), ask.units, now_us)
        if wait_us:
            self.refused_limit += 1
            return wait_us
        ticket, waits = None, False
        if self.admission is not None and table.spare is not None:
            verdict, ticket, wait_us = self.admission.arrive(now_us, self._ask(ask, tenant, volume))
            if verdict is AdmissionDecision.REJECTED:
                for state in states:
                    state.give_back(ask.units)
                self.refused_share += 1
                return wait_us
            waits = verdict is AdmissionDecision.QUEUED
        pool = level.pool.name if level.pool is not None else ""
        if route is not None and pool != route.pools[0]:
            self.spilled += 1
        if ask.shard >= 0 and ask.shard not in level.view.shards:
            self.followed += 1
        rule = table.retries_of(klass)
        budget = self.budgets.of(rule) if rule is not None else None
        if budget is not None:
            budget.took(now_us)
        self.open[pool] = self.open.get(pool, 0) + 1
        self.versions[table.version] = self.versions.get(table.version, 0) + 1
        made = Pass(ask.request, table, level.view, pool, states, budget, now_us)
        made.ticket = ticket
        if waits and ticket is not None:
            self.passes[id(ticket)] = made
            return WaitAtGate(made)
        return made

    def _ask(self, ask: Arrival, tenant: str, volume: str) -> AdmissionRequest:
        plan, klass = self.lowered[ask.plan], self.settings.classes[ask.klass]
        heads = ask.gateways if ask.gateways > 0 else self.settings.gateways
        return AdmissionRequest(
            tenant,
            volume,
            ask.units,
            klass.value * plan.price,
            plan.reserve / heads,
            plan.weight,
            int(PATIENCE * ask.time_left_us),
        )

    def release(self, now_us: int) -> list[tuple[str, int]]:
        """Tell which requests wait no longer: 0 where one is let in, else after how long it may come again."""
        if self.admission is None:
            return []
        done = [(self.passes.pop(id(ticket), None), wait_us) for ticket, wait_us in self.admission.dispatch(now_us)]
        self.refused_share += sum(wait_us > 0 for _, wait_us in done)
        # Of one whose tenant has ended the client may have left since.
        return [(made.name, wait_us) for made, wait_us in done if made is not None]

    def end(self, tenant: str) -> bool:
        """Have all that wait of a tenant turned away at the next turn; tells whether there were any."""
        return self.admission is not None and self.admission.evict_tenant(tenant)

    @property
    def next_release_us(self) -> int:
        """Tell when `turn` is to be called at the latest; 0: nothing waits."""
        return self.admission.next_deadline_us if self.admission is not None else 0

    def pause_us(self, now_us: int, volume: str, klass: str, way: int, size: int) -> int:
        """Count bytes of a long body, 0 in or 1 out, and tell for how long to move no more of it."""
        name = volume.lower()
        tenant = self.table.owners.get(name) or self.owner(name)
        return self.limiter.pause_us(self.table.limits.all(tenant, name, klass), way, size, now_us)

    def _level(self, table: Table, route: Route | None, shard: int) -> Level | None:
        """Tell where in its route's order a request goes; None: nowhere."""
        levels = self.views.levels(table, route.pools if route is not None else ALL)
        if shard >= 0:
            return next((level for level in levels if shard in level.view.shards), levels[0])
        usable = [level for level in levels if level.view.nodes]
        for level in usable:
            bound = level.pool.open if level.pool is not None else 0
            if not bound or self.open.get(level.pool.name if level.pool else "", 0) < bound * len(level.view.nodes):
                return level
        if usable:
            return usable[0]  # all are full: the first one's queue is the module's to keep or to refuse
        if route is None or route.otherwise == "any":
            return self.views.levels(table, ALL)[0]
        return None

    def answered(self, now_us: int, bounds: Bounds) -> None:
        """Give back what an answered request holds."""
        assert isinstance(bounds, Pass)
        if bounds.ticket is not None and self.admission is not None:
            self.passes.pop(id(bounds.ticket), None)
            self.admission.finish(now_us, bounds.ticket)
        for state in bounds.states:
            state.release(now_us - bounds.since)
        self.open[bounds.pool] -= 1
        if not self.open[bounds.pool]:
            del self.open[bounds.pool]
        version = bounds.table.version
        self.versions[version] -= 1
        if not self.versions[version] and version != self.table.version:
            self._forget()

    def usage(self, most: int, now_us: int) -> dict[str, Any]:
        """Tell what the busiest tenants got at this head and which of their volumes owe; of the rest, the sum."""
        accounts = self.admission.tenants if self.admission is not None else {}
        rows = sorted(accounts.items(), key=lambda row: -(row[1].usage.reserved + row[1].usage.spare))
        told = {
            name or "(none)": {
                "reserve": round(self._shares(name).reserve, 3),
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

    def figures(self) -> Mapping[str, Any]:
        """Tell what it has done, for staff."""
        return {
            "spilled": self.spilled,
            "followed_their_data": self.followed,
            "refused_by_limit": self.refused_limit,
            "refused_without_brick": self.refused_pools,
            "refused_beyond_share": self.refused_share,
            "ejected": self.ejector.ejected,
            "ejections_spared": self.ejector.spared,
            "resting": len(self.ejector.out),
            "repeats_denied": sum(budget.denied for budget in self.budgets.budgets.values()),
            "draining_versions": sum(version != self.table.version for version in self.versions),
        }
