"""The instances of one stage of one service, and which of them takes the next request.

A key is hashed to a group; of its members that have room, the one whose book frees earliest takes the request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b

from hophinge.core.choice.nodes import CEILING
from hophinge.fleet.placement.hints import Hint
from hophinge.fleet.placement.node import MICROSECONDS, Node
from hophinge.fleet.placement.policy import Policy
from hophinge.fleet.placement.queue import Job
from hophinge.fleet.placement.timing import PLAIN, StageTiming
from hophinge.fleet.placement.urgency import priority_of
from hophinge.fleet.registry.instance import LOST

FEW = 4  # requests that may always be out at an instance


@dataclass(slots=True)
class Placed:
    """One attempt's place in a book."""

    node: Node
    name: tuple[str, int]
    units: float
    pool: Pool
    job: Job
    streaming: bool = False


@dataclass(frozen=True, slots=True)
class Offer:
    """What an instance would make of a request."""

    node: Node
    units: float
    done_us: float  # when the units would be done
    spent_us: float  # what they take of the instance's time
    priority: int  # that it would have there: 0 first
    wait_us: float  # until it would be begun
    late: bool  # it can't be in time


def rank(key: str, node: Node) -> bytes:
    """Tell a node's place among all for a key, by rendezvous hashing."""
    return blake2b(f"{key}\0{node.instance.identity}".encode(), digest_size=8).digest()


class Pool:
    """The instances of one stage of one service."""

    def __init__(self, stage: str, policy: Policy) -> None:
        self.stage, self.policy = stage, policy
        self.nodes: dict[str, Node] = {}
        self.timing = StageTiming(stage)

    @property
    def width(self) -> int:
        """Tell how many units are worked on at once where slots are alike: engines work on prompts in turn."""
        slots = max((node.instance.slots for node in self.nodes.values()), default=1)
        return max(1, slots) if self.stage == PLAIN else 1

    def unit_us(self, node: Node) -> float:
        """Tell an instance's learned time per unit."""
        return self.timing.unit_us(node)

    def mean_us(self, node: Node) -> float:
        """Tell what a request takes of an instance's time on average."""
        return self.timing.mean_units * self.unit_us(node) / self.width

    def _ready(self, now: float, avoid: set[str]) -> list[Node]:
        """Tell the instances that take requests; where there are none, those that only the core takes for lost."""
        others = [node for node in self.nodes.values() if node.instance.identity not in avoid]
        return [node for node in others if node.serves(now)] or [node for node in others if node.instance.state == LOST]

    def group(self, now: float, key: str, avoid: set[str], fits: Callable[[Node], bool]) -> list[Node]:
        """Tell the members of a key's group that may take a request; where none may, any other that may."""
        ready = self._ready(now, avoid)
        usable = [node for node in ready if not node.rests(now)] or ready
        ranked = sorted(usable, key=lambda node: rank(key, node))
        found = [node for node in ranked[: self.policy.group] if fits(node)]
        return found or [node for node in ranked[self.policy.group :] if fits(node)]

    def room(self, node: Node, units: float, aim_s: float) -> bool:
        """The bound on what is out at an instance from here."""
        if len(node.book.slots) < FEW:
            return True
        bound = self.policy.out_part * aim_s * MICROSECONDS / self.unit_us(node) * self.width
        return node.out < CEILING and node.book.units_out + units <= bound

    def offers(self, now: float, nodes: Iterable[Node], units: Callable[[Node], float], late: bool) -> list[Offer]:
        """Tell what each of some instances would make of a request; what is late waits behind all else."""
        made: list[Offer] = []
        now_us = now * MICROSECONDS
        for node in nodes:
            wanted = units(node)
            spent = wanted * self.unit_us(node)
            priority = priority_of(self.policy, spent, late)
            begin = node.queue.begin(now_us, priority)
            done = begin + spent + self.timing.fixed_us
            made.append(Offer(node, wanted, done, spent, priority, begin - now_us, late))
        return made

    def reserve(self, now: float, offer: Offer, name: tuple[str, int], number: int) -> Placed:
        """Put an attempt into an instance's book."""
        unit_us = self.unit_us(offer.node) / self.width
        offer.node.book.reserve(name, offer.units, unit_us, int(now * MICROSECONDS))
        self.timing.placed(offer.units)
        job = offer.node.queue.add(now * MICROSECONDS, offer.priority, offer.units * unit_us, number, offer.units)
        return Placed(offer.node, name, offer.units, self, job)

    def others_sent(self, now: float, node: Node, hint: Hint) -> None:
        """Another head sent work to an instance."""
        if not hint.units:
            return
        self.timing.placed(hint.units)
        spent = hint.units * self.unit_us(node) / self.width
        node.queue.add(now * MICROSECONDS, hint.priority, spent, hint.job, hint.units)

    def finished(self, now: float, node: Node, job: Job, ended: float) -> None:
        """A prompt was read: its instance's queue goes on from there, and the time spent is a sample."""
        ended_us = ended * MICROSECONDS
        self.timing.job_ended(node, job.units, node.queue.spent_us(job, ended_us))
        node.queue.finish(now * MICROSECONDS, job, ended_us)


def answered(now: float, placed: Placed, streaming: bool) -> None:
    """The attempt's units are done: what they took teaches the time per unit. A stream goes on."""
    book, now_us = placed.node.book, int(now * MICROSECONDS)
    if placed.name not in book.slots:
        return
    slot = book.drop(placed.name, now_us)
    placed.pool.timing.answer_took(placed.node, slot.units, now_us - slot.sent)
    book.heard = now_us
    placed.node.answered(now)
    if streaming:
        placed.streaming = True
        placed.node.streams += 1


def ended(now: float, placed: Placed) -> None:
    """Nothing of the attempt is out any more."""
    if placed.name in placed.node.book.slots:
        placed.node.book.drop(placed.name, int(now * MICROSECONDS))
        placed.node.queue.drop(placed.job)
    if placed.streaming:
        placed.streaming = False
        placed.node.streams -= 1
