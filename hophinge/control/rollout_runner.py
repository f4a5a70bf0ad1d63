"""Carries out a rollout's decisions: each is stored first, then sent to the heads on their streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hophinge.control.clock import now_ms, now_us
from hophinge.control.connections import Connections
from hophinge.control.maintenance_channel import MaintenanceChannel
from hophinge.control.messages import VersionId, version_name
from hophinge.control.rollout import RolloutController, RolloutDecision, RolloutStage
from hophinge.control.store import ControlStore, NewVersion
from hophinge.routing import records

TICK_INTERVAL_S = 0.05  # the end of a wave is noticed within this time
RETRY_INTERVAL_S = 0.5  # after the store failed
SERVICE_ACTOR = "control service"  # in the audit log and the history
NO_DECISION = RolloutDecision()
AUDIT_ACTIONS = {RolloutStage.PAUSED: "hold", RolloutStage.IDLE: "done", RolloutStage.ROLLING: "wave"}


class RolloutRunner:
    """Runs a service's rollout: stores its decisions and sends heads their target versions."""

    def __init__(
        self,
        store: ControlStore,
        rollout: RolloutController,
        connections: Connections,
        maintenance: MaintenanceChannel,
        log: Callable[[str], None],
    ) -> None:
        self.store = store
        self.rollout = rollout
        self.connections = connections
        self.maintenance = maintenance
        self.log = log
        self.outstanding = NO_DECISION  # decided but not stored yet

    async def run(self) -> None:
        """Tick the rollout and maintenance periodically, until cancelled."""
        while True:
            self.carry_out(self.rollout.tick(now_us()))
            self.maintenance.tick()
            await asyncio.sleep(RETRY_INTERVAL_S if self.outstanding != NO_DECISION else TICK_INTERVAL_S)

    def carry_out(self, decision: RolloutDecision) -> None:
        """Store a decision, then send heads their targets; `run` retries a decision that could not be stored."""
        self.outstanding = RolloutDecision(
            decision.is_changed or self.outstanding.is_changed,
            decision.rollback_reason or self.outstanding.rollback_reason,
        )
        try:
            if self.outstanding.rollback_reason:
                self._roll_back(self.outstanding.rollback_reason)
            elif self.outstanding.is_changed:
                self._store_plan()
        except Exception as error:  # a full disk must end neither the rollout nor the calling request
            self.log(f"the rollout is stalled: {error}")

    def _store_plan(self) -> None:
        plan = self.rollout.plan
        target = version_name(plan.target)
        progress = plan.reason or f"wave {plan.wave}, {len(plan.reached)} heads"
        detail = f"version {target}: {progress}"
        self.store.set_rollout_plan(plan, SERVICE_ACTOR, AUDIT_ACTIONS[plan.stage], detail, now_ms())
        if plan.reason:
            self.log(f"the rollout of version {target} is paused: {plan.reason}")
        self.outstanding = NO_DECISION
        self.send_targets()

    def _roll_back(self, reason: str) -> None:
        plan = self.rollout.plan
        failed_version = version_name(plan.target)
        self.log(f"version {failed_version} is rolled back: {reason}")
        self.push(
            NewVersion(
                self.store.version_records(plan.stable),
                self.immediate_rule(),
                SERVICE_ACTOR,
                f"rollback of {failed_version} to {version_name(plan.stable)}: {reason}",
            ),
            is_rollback=True,
        )

    def immediate_rule(self) -> records.RolloutRule:
        """Return the rule of a rollback: all heads in one wave, as nearly all of them run that content already."""
        return records.RolloutRule(acknowledge_timeout_us=self.rollout.rule.acknowledge_timeout_us)

    def push(self, version: NewVersion, is_rollback: bool = False) -> VersionId:
        """Store a version and begin its rollout; `is_rollback` if it restores an earlier version's content."""
        snapshot = self.store.push(version, now_ms(), lambda version_id: self.rollout.plan_for(version_id, is_rollback))
        self.rollout.start(self.rollout.plan_for(snapshot.id, is_rollback), version.rule)
        self.outstanding = NO_DECISION  # a decision on the previous plan is obsolete
        self.maintenance.on_statements(version.statements)
        self.log(f"version {version_name(snapshot.id)} is stored: {version.note or version.author}")
        self._evict_snapshots()
        self.carry_out(self.rollout.tick(now_us()))
        # Heads that an unfinished rollout has reached get this version at once, outside of its waves.
        self.send_targets()
        return snapshot.id

    def _evict_snapshots(self) -> None:
        plan = self.rollout.plan
        in_use = {plan.stable, plan.target}
        for stream in self.connections.values():
            if stream.publisher.last_sent is not None:
                in_use.add(stream.publisher.last_sent.id)
        self.store.evict_snapshots(in_use)

    def send_targets(self) -> None:
        """Send each connected head its target version."""
        for name, stream in self.connections.items():
            stream.send(stream.publisher.set_target(self.store.snapshots.get(self.rollout.target_for(name))))
