"""The instances of one stage of one service, and which of them takes the next request.

A key is hashed to a group; of its members that have room, the one whose book frees earliest takes the request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b

from hophinge.core.choice.nodes import CEILING
from hophinge.fleet.placement.hints import PlacementHint
from hophinge.fleet.placement.node import MICROSECONDS, Node
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.queue import Job
from hophinge.fleet.placement.timing import PLAIN, StageTiming
from hophinge.fleet.placement.priority import priority_of
from hophinge.fleet.registry.instance import LOST

MIN_OUTSTANDING = 4  # requests that may always be out at an instance


@dataclass(slots=True)
class Reservation:
    """One attempt's place in a book."""

    node: Node
    attempt_id: tuple[str, int]
    units: float
    pool: InstancePool
    job: Job
    is_streaming: bool = False


@dataclass(frozen=True, slots=True)
class Candidate:
    """What an instance would make of a request."""

    node: Node
    units: float
    done_at_us: float  # when the units would be done
    service_us: float  # what they take of the instance's time
    priority: int  # that it would have there: 0 first
    wait_us: float  # until it would be begun
    is_late: bool  # it can't be in time


def rendezvous_weight(key: str, node: Node) -> bytes:
    """Tell a node's place among all for a key, by rendezvous hashing."""
    return blake2b(f"{key}\0{node.instance.identity}".encode(), digest_size=8).digest()


class InstancePool:
    """The instances of one stage of one service."""

    def __init__(self, stage: str, policy: PlacementPolicy) -> None:
        self.stage, self.policy = stage, policy
        self.nodes: dict[str, Node] = {}
        self.timing = StageTiming(stage)

    @property
    def parallelism(self) -> int:
        """Tell how many units are worked on at once where slots are alike: engines work on prompts in turn."""
        slots = max((node.instance.slots for node in self.nodes.values()), default=1)
        return max(1, slots) if self.stage == PLAIN else 1

    def unit_us(self, node: Node) -> float:
        """Tell an instance's learned time per unit."""
        return self.timing.unit_us(node)

    def mean_service_us(self, node: Node) -> float:
        """Tell what a request takes of an instance's time on average."""
        return self.timing.mean_units * self.unit_us(node) / self.parallelism

    def _serving_nodes(self, now: float, excluded: set[str]) -> list[Node]:
        """Tell the instances that take requests; where there are none, those that only the core takes for lost."""
        others = [node for node in self.nodes.values() if node.instance.identity not in excluded]
        return [node for node in others if node.is_serving(now)] or [
            node for node in others if node.instance.state == LOST
        ]

    def key_group(self, now: float, key: str, excluded: set[str], fits: Callable[[Node], bool]) -> list[Node]:
        """Tell the members of a key's group that may take a request; where none may, any other that may."""
        ready = self._serving_nodes(now, excluded)
        usable = [node for node in ready if not node.is_ejected(now)] or ready
        ranked = sorted(usable, key=lambda node: rendezvous_weight(key, node))
        fitting = [node for node in ranked[: self.policy.group_size] if fits(node)]
        return fitting or [node for node in ranked[self.policy.group_size :] if fits(node)]

    def has_capacity(self, node: Node, units: float, target_s: float) -> bool:
        """The bound on what is out at an instance from here."""
        if len(node.in_flight.slots) < MIN_OUTSTANDING:
            return True
        bound = self.policy.outstanding_fraction * target_s * MICROSECONDS / self.unit_us(node) * self.parallelism
        return node.outstanding < CEILING and node.in_flight.units_out + units <= bound

    def candidates(
        self, now: float, nodes: Iterable[Node], units: Callable[[Node], float], is_late: bool
    ) -> list[Candidate]:
        """Tell what each of some instances would make of a request; what is late waits behind all else."""
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
        """Put an attempt into an instance's book."""
        unit_us = self.unit_us(candidate.node) / self.parallelism
        candidate.node.in_flight.reserve(attempt_id, candidate.units, unit_us, int(now * MICROSECONDS))
        self.timing.record_placement(candidate.units)
        job = candidate.node.queue.add(
            now * MICROSECONDS, candidate.priority, candidate.units * unit_us, job_id, candidate.units
        )
        return Reservation(candidate.node, attempt_id, candidate.units, self, job)

    def record_remote_placement(self, now: float, node: Node, hint: PlacementHint) -> None:
        """Another head sent work to an instance."""
        if not hint.units:
            return
        self.timing.record_placement(hint.units)
        service_us = hint.units * self.unit_us(node) / self.parallelism
        node.queue.add(now * MICROSECONDS, hint.priority, service_us, hint.job_id, hint.units)

    def finish_job(self, now: float, node: Node, job: Job, ended_at: float) -> None:
        """A prompt was read: its instance's queue goes on from there, and the time spent is a sample."""
        ended_at_us = ended_at * MICROSECONDS
        self.timing.learn_from_job(node, job.units, node.queue.service_us(job, ended_at_us))
        node.queue.finish(now * MICROSECONDS, job, ended_at_us)


def record_answer(now: float, reservation: Reservation, is_streaming: bool) -> None:
    """The attempt's units are done: what they took teaches the time per unit. A stream goes on."""
    book, now_us = reservation.node.in_flight, int(now * MICROSECONDS)
    if reservation.attempt_id not in book.slots:
        return
    slot = book.drop(reservation.attempt_id, now_us)
    reservation.pool.timing.learn_from_answer(reservation.node, slot.units, now_us - slot.sent)
    book.heard = now_us
    reservation.node.record_answer(now)
    if is_streaming:
        reservation.is_streaming = True
        reservation.node.open_streams += 1


def release(now: float, reservation: Reservation) -> None:
    """Nothing of the attempt is out any more."""
    if reservation.attempt_id in reservation.node.in_flight.slots:
        reservation.node.in_flight.drop(reservation.attempt_id, int(now * MICROSECONDS))
        reservation.node.queue.drop(reservation.job)
    if reservation.is_streaming:
        reservation.is_streaming = False
        reservation.node.open_streams -= 1
