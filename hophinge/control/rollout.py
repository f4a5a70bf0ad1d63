"""Rollout of versions to heads in waves: when it is paused and when it is rolled back. No I/O; time is an argument.

Heads only move forward: once a head has been assigned a version, it is never assigned an earlier one.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from enum import Enum

import msgspec

from hophinge.control.messages import NO_VERSION, VersionId
from hophinge.routing.records import RolloutRule as RolloutRule

MIN_REQUESTS = 20  # fewer requests are not enough to judge a failure rate
FORGET_HEAD_US = 7 * 24 * 3600 * 1_000_000  # a head that was not observed for a week is not counted in a wave's share
MAX_NAMED_HEADS = 5  # in the reason of a pause
ROUNDING_TOLERANCE = 1e-9


class RolloutStage(Enum):
    """Stage of a rollout."""

    IDLE = "done"
    ROLLING = "rolling"
    PAUSED = "held"


class HeadStatus(msgspec.Struct):
    """One head as the control service observes it."""

    name: str
    last_seen_us: int
    is_connected: bool = False
    running: VersionId = NO_VERSION
    rejected: VersionId = NO_VERSION  # the last version that it rejected
    reason: str = ""
    requests: float = 0.0  # counted by the head itself
    failed: float = 0.0
    baseline_requests: float = 0.0  # the counts at the time when it activated the target, or when the wave began
    baseline_failed: float = 0.0
    usual_failure_rate: float = 0.0  # share of its requests that failed before it activated the target

    def reset_counts(self) -> None:
        """Reset all counts to zero."""
        self.requests = 0.0
        self.failed = 0.0
        self.baseline_requests = 0.0
        self.baseline_failed = 0.0

    def set_baseline(self) -> None:
        """Make the current counts the baseline, so that only later requests are judged."""
        self.baseline_requests = self.requests
        self.baseline_failed = self.failed


class RolloutPlan(msgspec.Struct):
    """The state that survives a restart of the control service; stored as JSON."""

    stable: VersionId = NO_VERSION  # for heads that no wave has reached
    target: VersionId = NO_VERSION  # the version being rolled out; equals `stable` once that is done
    stage: RolloutStage = RolloutStage.IDLE
    wave: int = 0
    reached: set[str] = msgspec.field(default_factory=set)  # heads that are assigned the target
    reason: str = ""  # why it is paused
    is_rollback: bool = msgspec.field(default=False, name="undoes")  # the target restores an earlier version's content


class RolloutDecision(msgspec.Struct, frozen=True):
    """Result of a step: whether the plan changed and must be stored before heads see it, and whether to roll back."""

    is_changed: bool = False
    rollback_reason: str = ""  # if not empty, the stable version's content is to be pushed as a new version


class RolloutController:
    """Decides which version each head is to run."""

    def __init__(self, plan: RolloutPlan, rule: RolloutRule, known_heads: Iterable[tuple[str, int]] = ()) -> None:
        """Continue a stored plan; `known_heads` gives the name and `last_seen_us` of each head."""
        self.plan = plan
        self.rule = rule
        self.heads = {name: HeadStatus(name, last_seen_us) for name, last_seen_us in known_heads}
        self.acknowledged_since_us = 0  # when the last head of the wave acknowledged; 0: some have not
        self.unacknowledged: dict[str, int] = {}  # reached heads that do not run the target yet, and since when, in us

    # --- targets

    def target_for(self, name: str) -> VersionId:
        """Return the version that a head is to run; `NO_VERSION` if there is none yet."""
        plan = self.plan
        return plan.target if plan.stage is RolloutStage.IDLE or name in plan.reached else plan.stable

    def heads_in_waves(self, wave: int, now_us: int) -> set[str]:
        """Return the known heads that are covered by the waves up to this one."""
        known = [
            head.name
            for head in self.heads.values()
            if head.is_connected or now_us - head.last_seen_us < FORGET_HEAD_US
        ]
        first = {name for name in self.rule.first if name in known}
        if wave == 0 and self.rule.first:
            return first
        share = self.rule.waves[min(wave - bool(self.rule.first), len(self.rule.waves) - 1)]
        # Ordered by a hash of the name: the order is the same in every rollout and does not follow naming schemes.
        ranked = sorted(known, key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest())
        return first | set(ranked[: math.ceil(share * len(ranked) - ROUNDING_TOLERANCE)])

    @property
    def last_wave(self) -> int:
        """Number of the wave that covers all heads."""
        return len(self.rule.waves) - 1 + bool(self.rule.first)

    # --- events

    def plan_for(self, version_id: VersionId, is_rollback: bool = False) -> RolloutPlan:
        """Return the plan of a new version; heads that an unfinished rollout has reached get it at once."""
        plan = self.plan
        reached = set(plan.reached) if plan.stage is not RolloutStage.IDLE else set()
        return RolloutPlan(plan.stable, version_id, RolloutStage.ROLLING, 0, reached, "", is_rollback)

    def start(self, plan: RolloutPlan, rule: RolloutRule) -> None:
        """Begin to carry out a plan that has been stored."""
        self.plan = plan
        self.rule = rule
        self._begin_wave()

    def _begin_wave(self) -> None:
        self.acknowledged_since_us = 0
        self.unacknowledged = {}
        for head in self.heads.values():
            head.set_baseline()

    def on_head_connected(self, name: str, running: VersionId, now_us: int) -> None:
        """Record a connected head; it joins the wave that covers it at the next `tick`."""
        head = self.heads.setdefault(name, HeadStatus(name, now_us))
        head.is_connected = True
        head.running = running
        head.last_seen_us = now_us
        head.reset_counts()
        self.acknowledged_since_us = 0

    def on_head_disconnected(self, name: str, now_us: int) -> None:
        """Record the end of a head's stream."""
        if (head := self.heads.get(name)) is not None:
            head.is_connected = False
            head.last_seen_us = now_us

    def on_acknowledged(self, name: str, version_id: VersionId, now_us: int) -> None:
        """Record the version that a head has activated."""
        head = self.heads[name]
        head.running = version_id
        head.last_seen_us = now_us
        head.reason = ""
        head.usual_failure_rate = head.failed / head.requests if head.requests >= MIN_REQUESTS else 0.0
        head.set_baseline()

    def on_request_counts(self, name: str, requests: float, failed: float, now_us: int) -> None:
        """Record a head's counts of its requests; counts that decreased are those of a new process."""
        head = self.heads[name]
        head.last_seen_us = now_us
        if requests < head.baseline_requests or failed < head.baseline_failed:
            head.baseline_requests = 0.0
            head.baseline_failed = 0.0
        head.requests = requests
        head.failed = failed

    def on_rejected(self, name: str, version_id: VersionId, reason: str, now_us: int) -> RolloutDecision:
        """Record that a head rejected a version; if that version is being rolled out, the rollout is paused."""
        head = self.heads[name]
        head.rejected = version_id
        head.reason = reason
        head.last_seen_us = now_us
        if version_id == self.plan.target and self.plan.stage is RolloutStage.ROLLING:
            return self._pause(f"{name} turned it down: {reason}")
        return RolloutDecision()

    def _pause(self, reason: str) -> RolloutDecision:
        plan = self.plan
        plan.reason = reason
        plan.stage = RolloutStage.PAUSED
        # A rollback is not rolled back itself, which could go on without end.
        if self.rule.on_failure == "rollback" and any(plan.stable) and not plan.is_rollback:
            return RolloutDecision(True, reason)
        return RolloutDecision(True)

    def resume(self) -> bool:
        """Continue a paused rollout on an operator's request; returns False if none is paused."""
        if self.plan.stage is not RolloutStage.PAUSED:
            return False
        self.plan.stage = RolloutStage.ROLLING
        self.plan.reason = ""
        self._begin_wave()
        return True

    # --- progress

    def tick(self, now_us: int) -> RolloutDecision:
        """Let new heads join, judge the current wave, and begin the next one."""
        plan = self.plan
        if plan.stage is not RolloutStage.ROLLING:
            return RolloutDecision()
        reached = plan.reached | self.heads_in_waves(plan.wave, now_us)
        is_changed = reached != plan.reached
        plan.reached = reached
        members = [self.heads[name] for name in reached if name in self.heads and self.heads[name].is_connected]
        self.unacknowledged = {
            head.name: self.unacknowledged.get(head.name, now_us) for head in members if head.running != plan.target
        }
        if reason := self._failure_reason(members):
            return self._pause(reason)
        if self.unacknowledged:
            self.acknowledged_since_us = 0
            if reason := self._timeout_reason(now_us):
                return self._pause(reason)
            return RolloutDecision(is_changed)
        if not members and not (plan.wave == 0 and self.rule.first):
            return RolloutDecision(is_changed)  # no connected head could show whether the version is good
        self.acknowledged_since_us = self.acknowledged_since_us or now_us
        if members and now_us - self.acknowledged_since_us < self.rule.soak_us:
            return RolloutDecision(is_changed)
        self._advance()
        return RolloutDecision(True)

    def _advance(self) -> None:
        plan = self.plan
        if plan.wave < self.last_wave:
            plan.wave += 1
            self._begin_wave()
        else:
            self.plan = RolloutPlan(plan.target, plan.target)

    def _timeout_reason(self, now_us: int) -> str:
        """Return why heads that did not acknowledge in time pause the rollout; empty if none is late."""
        timeout_us = self.rule.acknowledge_timeout_us
        late = sorted(name for name, since_us in self.unacknowledged.items() if now_us - since_us > timeout_us)
        return f"{', '.join(late[:MAX_NAMED_HEADS])} gave no answer for {timeout_us / 1e6:g} s" if late else ""

    def _failure_reason(self, members: list[HeadStatus]) -> str:
        """Return why failed requests pause the rollout; empty if they are within the rule's bound."""
        upgraded = [head for head in members if head.running == self.plan.target]
        requests = sum(head.requests - head.baseline_requests for head in upgraded)
        failed = sum(head.failed - head.baseline_failed for head in upgraded)
        usual = sum(head.usual_failure_rate * (head.requests - head.baseline_requests) for head in upgraded)
        if requests >= MIN_REQUESTS and failed > usual + self.rule.max_failure_share * requests:
            return (
                f"{failed:g} of {requests:g} requests failed where it runs, {usual:.0f} by what was usual there; "
                f"over the stated {100 * self.rule.max_failure_share:g} % more"
            )
        return ""
