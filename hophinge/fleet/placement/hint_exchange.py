"""Exchanges hints, suspicions and reports with the other heads, so that each knows the load of all instances."""

from __future__ import annotations

from collections.abc import Callable

from hophinge.fleet.placement.hints import (
    EngineReports,
    FinishedPrefill,
    PlacementHint,
    PlacementHints,
    PrefillDone,
    PrefillDropped,
    SuspectedInstances,
)
from hophinge.fleet.placement.instance_table import InstanceTable
from hophinge.fleet.placement.node import MICROSECONDS, Node
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.prompt import PromptSegment

MILLISECONDS = 1_000
MEAN_RELAY_DELAY_S = 0.03  # of a hint on its way from one head to another
MIN_TOKENS = 64  # minimum that a request is charged, even if it needs no prefill


class HintExchange:
    """Collects the messages that this head has to send to other heads, and applies those received from them."""

    def __init__(
        self, instances: InstanceTable, policy: PlacementPolicy, on_update_pending: Callable[[], None]
    ) -> None:
        self.instances = instances
        self.policy = policy
        self.on_update_pending = on_update_pending
        self.pending_hints: list[PlacementHint] = []
        self.pending_finished: list[FinishedPrefill] = []
        self.pending_drops: list[PrefillDropped] = []
        self.suspects: set[str] = set()

    def outgoing_hints(self, now: float) -> PlacementHints | None:
        """Return the hints collected since the last call, or None if there are none."""
        done = tuple(
            PrefillDone(finished.instance, finished.job_id, int((now - finished.ended_at) * MILLISECONDS))
            for finished in self.pending_finished
        )
        hints = PlacementHints(tuple(self.pending_hints), done, tuple(self.pending_drops))
        self.pending_hints = []
        self.pending_finished = []
        self.pending_drops = []
        return None if hints.is_empty else hints

    def receive_hints(self, now: float, hints: PlacementHints) -> None:
        """Apply the hints of another head."""
        for hint in hints.hints:
            node = self.instances.nodes.get(hint.instance)
            if node is not None:
                pool = self.instances.pool_of(node)
                pool.record_remote_placement(now, node, hint)
                self.record_segments(node, hint.segments, hint.units, hint.job_id)
                node.tokens_since_report += hint.memory_tokens
        for done in hints.done:
            node = self.instances.nodes.get(done.instance)
            job = node.queue.find(done.job_id) if node is not None else None
            if node is not None and job is not None:
                pool = self.instances.pool_of(node)
                pool.finish_job(now, node, job, now - MEAN_RELAY_DELAY_S - done.age_ms / MILLISECONDS)
                node.cache.confirm(done.job_id)
        for dropped in hints.dropped:
            node = self.instances.nodes.get(dropped.instance)
            if node is not None:
                node.drop_job(dropped.job_id)

    def record_segments(self, node: Node, segments: tuple[PromptSegment, ...], units: int, job_id: int) -> None:
        """Record the prompt segments that an instance will have cached.

        They stay pending until the job has prefilled them. They count as cached at once if the instance has at most
        MIN_TOKENS to prefill, since the KV cache is then there or transferred, or if heads do not share dropped jobs.
        """
        if units > MIN_TOKENS and self.policy.shares_drops:
            node.cache.insert_pending(segments, job_id)
        else:
            node.cache.insert(segments)

    def outgoing_suspects(self) -> SuspectedInstances | None:
        """Return the instances that failed at this head since the last call, or None if there are none."""
        suspects = tuple(self.suspects)
        self.suspects = set()
        return SuspectedInstances(suspects) if suspects else None

    def receive_suspects(self, now: float, suspects: SuspectedInstances) -> None:
        """Apply the suspicions of another head."""
        for identity in suspects.instances:
            node = self.instances.nodes.get(identity)
            if node is None:
                continue
            if node.record_suspicion(now):
                self.instances.admission.record_silence(now, node.instance)
            self.instances.admission.reachability.record_suspicion(now, node.instance)

    def receive_reports(self, now: float, reports: EngineReports) -> None:
        """Apply the load reports of engines."""
        known = [
            self.instances.nodes[report.instance].instance
            for report in reports.reports
            if report.instance in self.instances.nodes
        ]
        self.instances.admission.reachability.record_reports(now, known)
        for report in reports.reports:
            node = self.instances.nodes.get(report.instance)
            if node is not None:
                pool = self.instances.pool_of(node)
                self.instances.admission.record_report(now, node.instance)
                node.apply_report(now * MICROSECONDS, report, pool.mean_service_us(node))

    def cache_snapshot(self) -> PlacementHints:
        """Return all segments that are assumed to be cached, for a head that has just started."""
        return PlacementHints(
            tuple(
                PlacementHint(identity, 0, tuple(node.cache.segments.items()), 0, 0, 0)
                for identity, node in self.instances.nodes.items()
                if node.cache.segments
            )
        )
