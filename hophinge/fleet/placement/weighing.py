"""Weighs where a prompt is read: apart, at a prefill instance, or where its tokens are made.

All terms are microseconds: time until the first token, and what a choice costs others or the operator in its place.
"""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.fleet.placement.node import Node
from hophinge.fleet.placement.policy import Policy
from hophinge.fleet.placement.pool import Offer, Pool
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.registry.instance import LOST, READY

MOVE_US = 15_000.0  # from the end of reading to the first token elsewhere
FAR_BODY_US = 1.0  # weight of each token of a prompt whose request goes to another zone
FAR_MEMORY_US = 3.0  # weight of each token whose memory is moved to another zone


@dataclass(frozen=True, slots=True)
class Choice:
    """The best offer of those weighed."""

    pool: Pool
    offer: Offer
    reads: bool
    done_us: float  # when the first token should come


def crowding_us(offer: Offer, prompt: Prompt) -> float:
    """Tell how long a request is likely to wait for memory."""
    return offer.node.crowding_us(prompt.tokens_in + prompt.tokens_out)


class Weighing:
    """One request's prompt against the instances that could read it."""

    def __init__(self, prompt: Prompt, zone: str, prefill: Pool, decode: Pool, policy: Policy) -> None:
        self.prompt, self.zone, self.policy = prompt, zone, policy
        self.prefill, self.decode = prefill, decode
        members = [*prefill.nodes.values(), *decode.nodes.values()]
        nodes = [node for node in members if node.instance.state in (READY, LOST)]
        kept = max((node.cache.cached(prompt) for node in nodes), default=0)
        self.kept = min(prompt.shared_tokens, kept)

    def _far_body_us(self, node: Node) -> float:
        return FAR_BODY_US * self.prompt.tokens_in if node.instance.zone != self.zone else 0.0

    def far_memory_us(self, reader: Node, maker: Node) -> float:
        """Tell what moving the prompt's memory between two instances costs beyond a move within a zone."""
        return FAR_MEMORY_US * self.prompt.tokens_in if reader.instance.zone != maker.instance.zone else 0.0

    def _cost_us(self, offer: Offer) -> float:
        """Tell what reading at an instance costs."""
        node = offer.node
        share = self.policy.others_share + self.policy.streams_share * node.running()
        again = self.policy.again_us * max(0, self.kept - node.cache.cached(self.prompt))
        return offer.done_us + share * offer.spent_us + again + self._far_body_us(node)

    def _making_us(self, reader: Node, offer: Offer) -> float:
        """Tell what making the tokens at an instance costs, once the prompt is read elsewhere."""
        node = offer.node
        return crowding_us(offer, self.prompt) + self.far_memory_us(reader, node) + self._far_body_us(node)

    def choose(self, reading: list[Offer], making: list[Offer]) -> Choice | None:
        """Choose among the offers of both stages; the first of `reading` is the key's first member with room."""
        if not making:
            return None
        whole = min(making, key=lambda offer: self._cost_us(offer) + crowding_us(offer, self.prompt))
        at_once = self._cost_us(whole) + crowding_us(whole, self.prompt)
        apart_costs = [
            self._cost_us(offer) + min(self._making_us(offer.node, maker) for maker in making) + MOVE_US
            for offer in reading
        ]
        if apart_costs and not self.kept:
            unit_us = self.prefill.unit_us(reading[0].node)
            apart_costs[0] -= self.policy.guessed_part * self.prompt.shared_tokens * unit_us
        best = min(range(len(reading)), key=lambda number: apart_costs[number], default=None)
        if best is not None and apart_costs[best] < at_once:
            return Choice(self.prefill, reading[best], True, reading[best].done_us + MOVE_US)
        return Choice(self.decode, whole, False, whole.done_us + crowding_us(whole, self.prompt))

    def choose_maker(self, reader: Node | None, offers: list[Offer]) -> Choice | None:
        """Choose who makes the tokens of a prompt that was read."""

        def cost(offer: Offer) -> float:
            moved = self.far_memory_us(reader, offer.node) if reader is not None else 0.0
            return offer.done_us + crowding_us(offer, self.prompt) + moved + self._far_body_us(offer.node)

        best = min(offers, key=cost, default=None)
        return Choice(self.decode, best, False, best.done_us + crowding_us(best, self.prompt)) if best else None
