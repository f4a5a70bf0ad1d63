"""The instances of one stage of one service, what a unit of work takes there, and who takes the next request.

A key is hashed to a group; of its members that have room, the one whose book frees earliest takes the request.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b

from hophinge.core.choice.nodes import CEILING
from hophinge.fleet.placement.hints import Hint
from hophinge.fleet.placement.node import MICROSECONDS, Node
from hophinge.fleet.placement.queue import Job
from hophinge.fleet.registry.instance import LOST

GROUP = 3                   # members of a key's group
PART = 0.5                  # part of the route's aim that the units out at an instance may fill
FEW = 4                     # requests that may always be out at an instance
MEMORY = 0.98               # weight kept by what all instances of a stage have taught
LATE_PRIORITY = 8           # of requests that are late already: an instance admits all others before them
SHORT_US = (40_000.0, 100_000.0, 200_000.0, 400_000.0, 800_000.0)   # shorter work is admitted before longer
PREFILL, DECODE, PLAIN = "prefill", "decode", ""
START_UNIT_US = {PREFILL: 30.0, DECODE: 60.0, PLAIN: 20_000.0}      # until an answer has taught better
START_FIXED_US = {PREFILL: 25_000.0, DECODE: 30_000.0, PLAIN: 0.0}  # of an answer's time that no unit takes
QUANTILE = 0.3              # of answers' times, that counts as served without waiting
NODE_STEP = 0.3             # weight of the newest sample in an instance's time per unit
TYPICAL_STEP = 0.05         # and in what is typical of its stage
UNIT_STEP = 0.1             # part by which one answer moves the time per unit at most
FIXED_STEP_US = 4_000.0     # by which one answer moves it at most
FAR_OFF = 2.0               # times the time per unit: a sample beyond it is mostly something else
LEAST_TAUGHT = {PREFILL: 1_500.0, DECODE: 1_500.0, PLAIN: 0.0}  # units of a request that teaches the time per unit


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
    done_us: float              # when the units would be done
    spent_us: float             # what they take of the instance's time
    priority: int               # that it would have there: 0 first


def rank(key: str, node: Node) -> bytes:
    """Tell a node's place among all for a key, by rendezvous hashing."""
    return blake2b(f"{key}\0{node.instance.identity}".encode(), digest_size=8).digest()


class Pool:
    """The instances of one stage of one service."""

    def __init__(self, stage: str) -> None:
        self.stage = stage
        self.nodes: dict[str, Node] = {}
        self.typical_us = START_UNIT_US[stage]      # for one not yet heard from
        self.mean_units = 0.0           # of requests placed lately
        self.fixed_us = START_FIXED_US[stage]

    @property
    def width(self) -> int:
        """Tell how many units are worked on at once where slots are alike: engines work on prompts in turn."""
        slots = max((node.instance.slots for node in self.nodes.values()), default=1)
        return max(1, slots) if self.stage == PLAIN else 1

    def unit_us(self, node: Node) -> float:
        """Tell an instance's learned time per unit; one not yet heard from counts as is typical of its stage."""
        return node.unit_us or self.typical_us

    def mean_us(self, node: Node) -> float:
        """Tell what a request takes of an instance's time on average."""
        return self.mean_units * self.unit_us(node) / self.width

    def taught(self, node: Node, units: float, took_us: float) -> None:
        """Take what an answer took. What lies above the lower part of such times is waiting behind others' work."""
        if units < LEAST_TAUGHT[self.stage]:
            return
        if self.reads_in_turn:
            self._taught_fixed(node, units, took_us)
            return
        sample = max(1.0, took_us - self.fixed_us) / units
        node.unit_us = _towards(node.unit_us or self.typical_us, sample)
        self.typical_us = _towards(self.typical_us, sample)

    def _taught_fixed(self, node: Node, units: float, took_us: float) -> None:
        """Move the fixed time towards the lower part of what answers took beyond their units."""
        above = took_us - units * self.unit_us(node) > self.fixed_us
        step = FIXED_STEP_US * (QUANTILE if above else QUANTILE - 1)
        self.fixed_us = max(0.0, self.fixed_us + step)

    def _ready(self, now: float, avoid: set[str]) -> list[Node]:
        """Tell the instances that take requests; where there are none, those that only the core takes for lost."""
        others = [node for node in self.nodes.values() if node.instance.identity not in avoid]
        return ([node for node in others if node.serves(now)]
                or [node for node in others if node.instance.state == LOST])

    def group(self, now: float, key: str, avoid: set[str], fits: Callable[[Node], bool]) -> list[Node]:
        """Tell the members of a key's group that may take a request; where none may, any other that may."""
        ready = self._ready(now, avoid)
        usable = [node for node in ready if not node.rests(now)] or ready
        ranked = sorted(usable, key=lambda node: rank(key, node))
        found = [node for node in ranked[:GROUP] if fits(node)]
        return found or [node for node in ranked[GROUP:] if fits(node)]

    def room(self, node: Node, units: float, aim_s: float) -> bool:
        """The bound on what is out at an instance from here."""
        if len(node.book.slots) < FEW:
            return True
        bound = PART * aim_s * MICROSECONDS / self.unit_us(node) * self.width
        return node.out < CEILING and node.book.units_out + units <= bound

    def offers(self, now: float, nodes: Iterable[Node], units: Callable[[Node], float], late: bool) -> list[Offer]:
        """Tell what each of some instances would make of a request; what is late waits behind all else."""
        made: list[Offer] = []
        now_us = now * MICROSECONDS
        for node in nodes:
            wanted = units(node)
            spent = wanted * self.unit_us(node)
            priority = LATE_PRIORITY if late else bisect_right(SHORT_US, spent)
            done = node.queue.begin(now_us, priority) + spent + self.fixed_us
            made.append(Offer(node, wanted, done, spent, priority))
        return made

    def reserve(self, now: float, offer: Offer, name: tuple[str, int], number: int) -> Placed:
        """Put an attempt into an instance's book."""
        unit_us = self.unit_us(offer.node) / self.width
        offer.node.book.reserve(name, offer.units, unit_us, int(now * MICROSECONDS))
        self.placed(offer.units)
        job = offer.node.queue.add(now * MICROSECONDS, offer.priority, offer.units * unit_us, number, offer.units)
        return Placed(offer.node, name, offer.units, self, job)

    def placed(self, units: float) -> None:
        """Take note of a request's size."""
        self.mean_units += (units - self.mean_units) * (1 - MEMORY) * 2

    def others_sent(self, now: float, node: Node, hint: Hint) -> None:
        """Another head sent work to an instance."""
        if not hint.units:
            return
        self.placed(hint.units)
        spent = hint.units * self.unit_us(node) / self.width
        node.queue.add(now * MICROSECONDS, hint.priority, spent, hint.job, hint.units)

    @property
    def reads_in_turn(self) -> bool:
        """Tell whether instances work on one request at a time: engines, on the prompts that they read."""
        return self.stage != PLAIN

    def finished(self, now: float, node: Node, job: Job, ended: float) -> None:
        """A prompt was read: its instance's queue goes on from there, and the time spent teaches the time per unit."""
        spent = node.queue.finished(now * MICROSECONDS, job, ended * MICROSECONDS)
        if job.units >= LEAST_TAUGHT[self.stage]:
            sample = spent / job.units
            node.unit_us = _follow(node.unit_us or self.typical_us, sample, NODE_STEP)
            self.typical_us = _follow(self.typical_us, sample, TYPICAL_STEP)


def _towards(unit_us: float, sample_us: float) -> float:
    """Move a time per unit towards the lower part of the samples."""
    return unit_us * (1 + UNIT_STEP * (QUANTILE if sample_us > unit_us else QUANTILE - 1))


def _follow(unit_us: float, sample_us: float, step: float) -> float:
    """Move a time per unit towards a sample; one far off counts as one at a bound."""
    return unit_us + step * (min(max(sample_us, unit_us / FAR_OFF), unit_us * FAR_OFF) - unit_us)


def answered(now: float, placed: Placed, streaming: bool) -> None:
    """The attempt's units are done: what they took teaches the time per unit. A stream goes on."""
    book, now_us = placed.node.book, int(now * MICROSECONDS)
    if placed.name not in book.slots:
        return
    slot = book.drop(placed.name, now_us)
    placed.pool.taught(placed.node, slot.units, now_us - slot.sent)
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
