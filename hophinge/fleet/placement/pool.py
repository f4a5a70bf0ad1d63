"""The instances of one stage of one service, with the estimates by which one of them is chosen for a request.

A key is hashed to a group of instances. Of the members with capacity, the one that is estimated to finish first gets
the request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b

from hophinge.core.choice.gateway_state import MAX_IN_FLIGHT
from hophinge.fleet.placement.admission import InstanceAdmission
from hophinge.fleet.placement.hints import PlacementHint
from hophinge.fleet.placement.node import MICROSECONDS, Node
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.queue import Job
from hophinge.fleet.placement.timing import PLAIN, PREFILL, StageTiming
from hophinge.fleet.placement.priority import priority_of
from hophinge.fleet.registry.instance import LOST

MIN_OUTSTANDING = 4  # requests that may always be outstanding at an instance


@dataclass(slots=True)
class Reservation:
    """The reservation of one attempt at an instance."""

    node: Node
    attempt_id: tuple[str, int]
    units: float
    pool: InstancePool
    job: Job
    is_streaming: bool = False

    def record_answer(self, now: float, is_streaming: bool) -> None:
        """Record a response: its duration is a sample of the service time. A streaming response stays open."""
        node = self.node
        now_us = int(now * MICROSECONDS)
        if self.attempt_id not in node.in_flight.reservations:
            return
        slot = node.in_flight.release(self.attempt_id, now_us)
        self.pool.timing.learn_from_answer(node, slot.units, now_us - slot.sent_at)
        node.in_flight.last_answer_at = now_us
        node.record_answer(now)
        self.pool.admission.record_answer(now, node.instance)
        if is_streaming:
            self.is_streaming = True
            node.open_streams += 1

    def release(self, now: float) -> None:
        """Release the capacity that the attempt still occupies at its instance."""
        if self.attempt_id in self.node.in_flight.reservations:
            self.node.in_flight.release(self.attempt_id, int(now * MICROSECONDS))
            self.node.queue.drop(self.job)
        if self.is_streaming:
            self.is_streaming = False
            self.node.open_streams -= 1


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that could serve a request, with the estimate for the request there."""

    node: Node
    units: float
    done_at_us: float  # on the head's clock
    service_us: float
    priority: int  # in the instance's queue; 0 is the highest
    wait_us: float  # until the request would start
    is_late: bool  # placed as a request that cannot meet its target


def rendezvous_weight(key: str, node: Node) -> bytes:
    """Return the weight for rendezvous hashing: a key's group are the instances with the lowest weights."""
    return blake2b(f"{key}\0{node.instance.identity}".encode(), digest_size=8).digest()


class InstancePool:
    """The instances of one stage of one service."""

    def __init__(self, stage: str, policy: PlacementPolicy, admission: InstanceAdmission) -> None:
        self.stage = stage
        self.policy = policy
        self.admission = admission
        self.nodes: dict[str, Node] = {}
        self.timing = StageTiming(stage)

    @property
    def parallelism(self) -> int:
        """The number of units that an instance executes in parallel: engines execute prompts one at a time."""
        if self.stage != PLAIN:
            return 1
        return max(1, *(node.instance.slots for node in self.nodes.values())) if self.nodes else 1

    def unit_us(self, node: Node) -> float:
        """Return an instance's learned service time per unit."""
        return self.timing.unit_us(node)

    def mean_service_us(self, node: Node) -> float:
        """Return the mean service time of a request at an instance."""
        return self.timing.mean_units * self.unit_us(node) / self.parallelism

    def available_nodes(self) -> list[Node]:
        """Return the instances outside evacuated zones, in any state."""
        return [node for node in self.nodes.values() if not self.admission.is_evacuated(node.instance)]

    def _serving_nodes(self, now: float, excluded: set[str]) -> list[Node]:
        """Return the instances that accept requests; if there are none, those that the registry marked lost."""
        others = [
            node
            for node in self.nodes.values()
            if node.instance.identity not in excluded and self.admission.may_receive(now, node.instance)
        ]
        serving = [node for node in others if node.is_serving(now)]
        return serving or [node for node in others if node.instance.state == LOST]

    def _usable_nodes(self, now: float, excluded: set[str]) -> list[Node]:
        """Return the instances that are expected to respond; if there are none, those that might.

        Instances in unreachable zones are left out of the prefill stage in any case: if it has no reachable instance, a
        decode instance does the prefill.
        """
        ready = self._serving_nodes(now, excluded)
        may_probe = not excluded
        reachable = [node for node in ready if not self.admission.is_unreachable(now, node.instance, may_probe)]
        if not reachable and self.stage != PREFILL:
            reachable = ready
        return [node for node in reachable if not node.is_ejected(now)] or reachable

    def key_group(self, now: float, key: str, excluded: set[str], fits: Callable[[Node], bool]) -> list[Node]:
        """Return the members of a key's group that fit a request.

        If none does, return the other instances that fit; and if there are none, the rate-limited ones that fit.
        """
        usable = self._usable_nodes(now, excluded)
        limited = [node for node in usable if self.admission.is_limited(now, node.instance)]
        ranked = sorted((node for node in usable if node not in limited), key=lambda node: rendezvous_weight(key, node))
        fitting = [node for node in ranked[: self.policy.group_size] if fits(node)]
        return (
            fitting
            or [node for node in ranked[self.policy.group_size :] if fits(node)]
            or [node for node in limited if fits(node)]
        )

    def has_capacity(self, node: Node, units: float, target_s: float) -> bool:
        """Return whether the units outstanding at an instance, with these, stay within the bound for this head."""
        if len(node.in_flight.reservations) < MIN_OUTSTANDING:
            return True
        bound = self.policy.outstanding_fraction * target_s * MICROSECONDS / self.unit_us(node) * self.parallelism
        return node.outstanding < MAX_IN_FLIGHT and node.in_flight.units_out + units <= bound

    def candidates(
        self, now: float, nodes: Iterable[Node], units: Callable[[Node], float], is_late: bool
    ) -> list[Candidate]:
        """Return the estimates of some instances for a request; a late request is queued behind all others."""
        candidates: list[Candidate] = []
        now_us = now * MICROSECONDS
        for node in nodes:
            node_units = units(node)
            service_us = node_units * self.unit_us(node)
            priority = priority_of(self.policy, service_us, is_late)
            start_at_us = node.queue.start_at_us(now_us, priority)
            done_at_us = start_at_us + service_us + self.timing.fixed_us
            candidates.append(
                Candidate(node, node_units, done_at_us, service_us, priority, start_at_us - now_us, is_late)
            )
        return candidates

    def reserve(self, now: float, candidate: Candidate, attempt_id: tuple[str, int], job_id: int) -> Reservation:
        """Reserve capacity at an instance for an attempt, and add its job to the estimated queue."""
        unit_us = self.unit_us(candidate.node) / self.parallelism
        self.admission.record_sent(now, candidate.node.instance)
        candidate.node.in_flight.reserve(attempt_id, candidate.units, unit_us, int(now * MICROSECONDS))
        self.timing.record_placement(candidate.units)
        job = candidate.node.queue.add(
            now * MICROSECONDS, candidate.priority, candidate.units * unit_us, job_id, candidate.units
        )
        return Reservation(candidate.node, attempt_id, candidate.units, self, job)

    def record_remote_placement(self, now: float, node: Node, hint: PlacementHint) -> None:
        """Add a job that another head sent to an instance to the estimated queue."""
        if not hint.units:
            return
        self.timing.record_placement(hint.units)
        service_us = hint.units * self.unit_us(node) / self.parallelism
        node.queue.add(now * MICROSECONDS, hint.priority, service_us, hint.job_id, hint.units)

    def finish_job(self, now: float, node: Node, job: Job, ended_at: float) -> None:
        """Record the end of a job: correct the estimated queue, and learn from the job's service time."""
        ended_at_us = ended_at * MICROSECONDS
        self.timing.learn_from_job(node, job.units, node.queue.service_us(job, ended_at_us))
        node.queue.finish(now * MICROSECONDS, job, ended_at_us)
