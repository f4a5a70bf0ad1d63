"""Which instance takes a request: its key is hashed to a group, of which the one whose book frees earliest takes it.

Books are those of the decision module in service. Each is charged by size: tokens to read that are not believed to be
cached there, tokens to make, or one unit where a service has no engine. What an instance has out from here stays
under its learned rate times a part of the tightest aim, never below a few requests and never above the ceiling.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

from hophinge.core.choice.nodes import CEILING
from hophinge.fleet.placement.node import MICROSECONDS, Node
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.registry.instance import Instance

GROUP = 3                   # members of a key's group
PART = 0.5                  # part of the route's aim that the units out at an instance may fill
FEW = 4                     # requests that may always be out at an instance
PREFILL, DECODE, PLAIN = "prefill", "decode", ""
START_UNIT_US = {PREFILL: 30.0, DECODE: 1_000.0, PLAIN: 20_000.0}    # until an answer has taught better
MEMORY = 0.98               # weight kept by what all instances of a stage have taught
CACHED_S = 30.0             # how long a part read at an instance is believed to be kept there


@dataclass(slots=True)
class Placed:
    """One attempt's place in a book."""

    node: Node
    name: tuple[str, int]
    units: float
    pool: Pool


class Pool:
    """The instances of one stage of one service."""

    def __init__(self, stage: str) -> None:
        self.stage = stage
        self.nodes: dict[str, Node] = {}
        self.spent = self.served = 0.0

    def unit_us(self, node: Node) -> float:
        """Tell an instance's learned time per unit; one not yet heard from counts as average."""
        if node.book.served > 0:
            return node.book.spent / node.book.served
        return self.spent / self.served if self.served > 0 else START_UNIT_US[self.stage]

    def learned(self, units: float, spent: float) -> None:
        """Take what an answer taught."""
        self.spent = self.spent * MEMORY + spent
        self.served = self.served * MEMORY + units


def _rank(key: str, node: Node) -> bytes:
    return blake2b(f"{key}\0{node.instance.identity}".encode(), digest_size=8).digest()


class Placement:
    """The books of one data plane."""

    def __init__(self) -> None:
        self.pools: dict[tuple[str, str], Pool] = {}
        self.nodes: dict[str, Node] = {}
        self.changed: Callable[[str], None] = lambda identity: None

    # --- instances -----------------------------------------------------------------------------------------------

    def instance(self, identity: str, instance: Instance | None) -> None:
        """Take what is known of an instance; None where it has ended."""
        node = self.nodes.get(identity)
        if node is not None and (instance is None or instance.stage != node.instance.stage):
            self.pool(node.instance.service, node.instance.stage).nodes.pop(identity, None)
        if instance is None:
            if self.nodes.pop(identity, None) is not None:
                self.changed(identity)
            return
        if node is None:
            node = self.nodes[identity] = Node(instance)
        node.instance = instance
        self.pool(instance.service, instance.stage).nodes[identity] = node

    def pool(self, service: str, stage: str) -> Pool:
        """Tell the instances of a stage."""
        key = service, stage
        found = self.pools.get(key)
        if found is None:
            found = self.pools[key] = Pool(stage)
        return found

    # --- choice --------------------------------------------------------------------------------------------------

    def choose(self, now: float, pool: Pool, key: str, units: Callable[[Node], float], avoid: set[str],
               aim_s: float) -> Node | None:
        """Choose an instance for a request with a key, or None where none may take it."""
        ready = [node for node in pool.nodes.values() if node.serving and node.instance.identity not in avoid]
        usable = [node for node in ready if not node.rests(now)] or ready
        ranked = sorted(usable, key=lambda node: _rank(key, node))
        group = [node for node in ranked[:GROUP] if self._room(node, pool, units(node), aim_s)]
        group = group or [node for node in ranked[GROUP:] if self._room(node, pool, units(node), aim_s)]
        return min(group, key=lambda node: self._free(now, node, pool, units(node)), default=None)

    def _room(self, node: Node, pool: Pool, units: float, aim_s: float) -> bool:
        """The bound on what is out at an instance from here."""
        out = len(node.book.slots)
        if out < FEW:
            return True
        bound = PART * aim_s * MICROSECONDS / pool.unit_us(node)
        return out < CEILING and node.book.units_out + units <= bound

    def _free(self, now: float, node: Node, pool: Pool, units: float) -> float:
        """Tell when an instance would be done with a request, by its book and by the load it told of."""
        unit_us = pool.unit_us(node)
        begin = max(node.book.free, now * MICROSECONDS)
        others = node.others(now) * self._mean_units(node, pool) * unit_us / max(1, self._width(node, pool))
        return begin + others + units * unit_us

    def _mean_units(self, node: Node, pool: Pool) -> float:
        slots = node.book.slots.values()
        return sum(slot.units for slot in slots) / len(slots) if slots else 1.0

    def _width(self, node: Node, pool: Pool) -> int:
        return 1 if pool.stage == PREFILL else max(1, node.instance.slots)

    # --- books ---------------------------------------------------------------------------------------------------

    def reserve(self, now: float, pool: Pool, node: Node, name: tuple[str, int], units: float) -> Placed:
        """Put an attempt into an instance's book."""
        node.book.reserve(name, units, pool.unit_us(node) / self._width(node, pool), int(now * MICROSECONDS))
        return Placed(node, name, units, pool)

    def release(self, now: float, placed: Placed, served: bool) -> None:
        """Take an attempt out of the book; what it took teaches the instance's time per unit."""
        book, now_us = placed.node.book, int(now * MICROSECONDS)
        if placed.name not in book.slots:
            return
        slot = book.drop(placed.name, now_us)
        if served:
            placed.pool.learned(slot.units, book.learn(slot, now_us))
            book.heard = now_us
            placed.node.answered()


def prefill_units(now: float, prompt: Prompt) -> Callable[[Node], float]:
    """Tell the tokens that an instance would read: all after the parts believed to be cached there."""

    def units(node: Node) -> float:
        cached = 0
        for part, tokens in prompt.parts:
            if now - node.parts.get(part, float("-inf")) > CACHED_S:
                break
            cached += tokens
        return float(max(1, prompt.tokens_in - cached))

    return units


def decode_units(prompt: Prompt) -> Callable[[Node], float]:
    """Tell the tokens to be made."""
    return lambda node: float(max(1, prompt.tokens_out))


def one_unit(node: Node) -> float:
    """Requests without a size count one each."""
    return 1.0
