"""Which instances take a request: one to read the prompt and one to make the tokens, or one for both.

The ordinary path: the prompt's last shared part is the key; it is hashed to a group of prefill instances and to one of
decode instances, and in each group the one whose book frees earliest takes the request. Books are charged by size, in
tokens to read that are not believed to be kept there.

Reading at the decode instance itself costs no move and is weighed against it: it takes the time that decode instances
were learned to take for a token read.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hophinge.fleet.placement.hints import Hint, Hints
from hophinge.fleet.placement.node import KEPT_PART, Cache, Node
from hophinge.fleet.placement.pool import DECODE, PLAIN, PREFILL, Offer, Placed, Pool
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.registry.instance import Instance

OVERHEAD_TOKENS = 400       # what a request takes beside its tokens, told in tokens
MOVE_US = 15_000.0          # from the end of reading to the first token elsewhere, beside the units
FAR_US = 10_000.0           # more of it between zones
SHARE_OF_OTHERS = 0.5       # weight of an instance's time, which others wait for, beside one's own time


@dataclass(frozen=True, slots=True)
class Plan:
    """Where the next attempt of a request goes."""

    placed: Placed
    reads: bool                 # only the prompt is read there


class Placement:
    """The books of one data plane."""

    def __init__(self, zone: str, changed: Callable[[str], None]) -> None:
        self.zone, self.changed = zone, changed
        self.pools: dict[tuple[str, str], Pool] = {}
        self.nodes: dict[str, Node] = {}
        self.memory: dict[str, int] = {}        # tokens that an instance of a service keeps
        self.untold: list[Hint] = []

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
            node.cache = Cache(self.memory.get(instance.service, 0))
        node.instance = instance
        self.pool(instance.service, instance.stage).nodes[identity] = node

    def configured(self, memory: dict[str, int]) -> None:
        """Take the tokens that instances of each service hold, of which some are for running requests."""
        self.memory = {service: int(tokens * KEPT_PART) for service, tokens in memory.items()}
        for node in self.nodes.values():
            node.cache.tokens = self.memory.get(node.instance.service, 0)

    def pool(self, service: str, stage: str) -> Pool:
        """Tell the instances of a stage."""
        key = service, stage
        found = self.pools.get(key)
        if found is None:
            found = self.pools[key] = Pool(stage)
        return found

    # --- hints ---------------------------------------------------------------------------------------------------

    def told(self) -> Hints | None:
        """Tell what was placed here since the last call."""
        hints, self.untold = tuple(self.untold), []
        return Hints(hints) if hints else None

    def hinted(self, now: float, hints: Hints) -> None:
        """Take what other heads placed."""
        for hint in hints.hints:
            node = self.nodes.get(hint.instance)
            if node is not None:
                self.pool(node.instance.service, node.instance.stage).others_sent(now, node, hint.units)
                node.cache.remember(hint.parts)

    # --- choice --------------------------------------------------------------------------------------------------

    def plain(self, now: float, service: str, stage: str, name: tuple[str, int], avoid: set[str],
              aim_s: float) -> Plan | None:
        """Place a request without a prompt: each counts one unit."""
        pool = self.pool(service, stage)
        units = 1.0 if stage == PLAIN else float(OVERHEAD_TOKENS)
        nodes = pool.group(now, name[0], avoid, lambda node: pool.room(node, units, aim_s))
        offers = pool.offers(now, nodes, lambda node: units)
        best = min(offers, key=lambda offer: offer.done_us, default=None)
        return self._reserve(now, pool, best, name, None, False) if best is not None else None

    def generation(self, now: float, service: str, prompt: Prompt, name: tuple[str, int], avoid: set[str],
                   aim_s: float) -> Plan | None:
        """Place a request whose prompt is still to be read: at a prefill instance, or where its tokens are made."""
        reading = self._offers(now, self.pool(service, PREFILL), prompt, avoid, aim_s)
        making = self._offers(now, self.pool(service, DECODE), prompt, avoid, aim_s)
        apart = min(reading, key=self._cost, default=None) if making else None
        whole = min(making, key=self._cost, default=None)
        if apart is not None and (whole is None or self._cost(apart) + self._move_us(apart.node) < self._cost(whole)):
            return self._reserve(now, self.pool(service, PREFILL), apart, name, prompt, True)
        if whole is not None:
            return self._reserve(now, self.pool(service, DECODE), whole, name, prompt, False)
        return None

    def decode(self, now: float, service: str, prompt: Prompt, name: tuple[str, int], avoid: set[str],
               aim_s: float) -> Plan | None:
        """Place a request whose prompt was read: it is charged for what moving it takes."""
        pool = self.pool(service, DECODE)
        units = float(OVERHEAD_TOKENS)
        nodes = pool.group(now, prompt.key, avoid, lambda node: pool.room(node, units, aim_s))
        offers = pool.offers(now, nodes, lambda node: units)
        best = min(offers, key=lambda offer: offer.done_us, default=None)
        return self._reserve(now, pool, best, name, prompt, False) if best is not None else None

    def _offers(self, now: float, pool: Pool, prompt: Prompt, avoid: set[str], aim_s: float) -> list[Offer]:
        def units(node: Node) -> float:
            return float(max(1, prompt.tokens_in - node.cache.cached(prompt)) + OVERHEAD_TOKENS)

        nodes = pool.group(now, prompt.key, avoid, lambda node: pool.room(node, units(node), aim_s))
        return pool.offers(now, nodes, units)

    @staticmethod
    def _cost(offer: Offer) -> float:
        return offer.done_us + SHARE_OF_OTHERS * offer.spent_us

    def _move_us(self, node: Node) -> float:
        return MOVE_US + (FAR_US if node.instance.zone != self.zone else 0.0)

    def _reserve(self, now: float, pool: Pool, offer: Offer, name: tuple[str, int], prompt: Prompt | None,
                 reads: bool) -> Plan:
        parts = prompt.parts if prompt is not None else ()
        offer.node.cache.remember(parts)
        self.untold.append(Hint(offer.node.instance.identity, int(offer.units), parts))
        return Plan(pool.reserve(now, offer, name), reads)
