"""Weighs where a prompt is read: apart, at a prefill instance, or where its tokens are made.

All terms are microseconds: time until the first token, and what a choice costs others or the operator in its place.
"""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.fleet.placement.node import Node
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.pool import Candidate, InstancePool
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.registry.instance import LOST, READY

KV_TRANSFER_US = 15_000.0  # from the end of reading to the first token elsewhere
CROSS_ZONE_BODY_US = 1.0  # weight of each token of a prompt whose request goes to another zone
CROSS_ZONE_KV_US = 3.0  # weight of each token whose memory is moved to another zone


@dataclass(frozen=True, slots=True)
class PlacementChoice:
    """The best offer of those weighed."""

    pool: InstancePool
    candidate: Candidate
    is_prefill_only: bool
    first_token_at_us: float  # when the first token should come


def memory_wait_us(candidate: Candidate, prompt: Prompt) -> float:
    """Tell how long a request is likely to wait for memory."""
    return candidate.node.memory_wait_us(prompt.tokens_in + prompt.tokens_out)


class PlacementScorer:
    """One request's prompt against the instances that could read it."""

    def __init__(
        self, prompt: Prompt, zone: str, prefill: InstancePool, decode: InstancePool, policy: PlacementPolicy
    ) -> None:
        self.prompt, self.zone, self.policy = prompt, zone, policy
        self.prefill, self.decode = prefill, decode
        members = [*prefill.nodes.values(), *decode.nodes.values()]
        nodes = [node for node in members if node.instance.state in (READY, LOST)]
        most_cached = max((node.cache.cached_tokens(prompt) for node in nodes), default=0)
        self.reusable_tokens = min(prompt.shared_tokens, most_cached)

    def _cross_zone_body_us(self, node: Node) -> float:
        return CROSS_ZONE_BODY_US * self.prompt.tokens_in if node.instance.zone != self.zone else 0.0

    def cross_zone_kv_us(self, prefill_node: Node, decode_node: Node) -> float:
        """Tell what moving the prompt's memory between two instances costs beyond a move within a zone."""
        return (
            CROSS_ZONE_KV_US * self.prompt.tokens_in if prefill_node.instance.zone != decode_node.instance.zone else 0.0
        )

    def _prefill_cost_us(self, candidate: Candidate) -> float:
        """Tell what reading at an instance costs."""
        node = candidate.node
        weight = self.policy.others_weight + self.policy.stream_weight * node.running_decodes()
        reread_us = self.policy.reread_us * max(0, self.reusable_tokens - node.cache.cached_tokens(self.prompt))
        return candidate.done_at_us + weight * candidate.service_us + reread_us + self._cross_zone_body_us(node)

    def _decode_cost_us(self, prefill_node: Node, candidate: Candidate) -> float:
        """Tell what making the tokens at an instance costs, once the prompt is read elsewhere."""
        node = candidate.node
        return (
            memory_wait_us(candidate, self.prompt)
            + self.cross_zone_kv_us(prefill_node, node)
            + self._cross_zone_body_us(node)
        )

    def choose(self, prefill_candidates: list[Candidate], decode_candidates: list[Candidate]) -> PlacementChoice | None:
        """Choose among the offers of both stages; the first of `reading` is the key's first member with room."""
        if not decode_candidates:
            return None
        combined = min(
            decode_candidates, key=lambda offer: self._prefill_cost_us(offer) + memory_wait_us(offer, self.prompt)
        )
        combined_cost_us = self._prefill_cost_us(combined) + memory_wait_us(combined, self.prompt)
        split_costs_us = [
            self._prefill_cost_us(offer)
            + min(self._decode_cost_us(offer.node, maker) for maker in decode_candidates)
            + KV_TRANSFER_US
            for offer in prefill_candidates
        ]
        if split_costs_us and not self.reusable_tokens:
            unit_us = self.prefill.unit_us(prefill_candidates[0].node)
            split_costs_us[0] -= self.policy.assumed_reuse_fraction * self.prompt.shared_tokens * unit_us
        best_index = min(range(len(prefill_candidates)), key=lambda number: split_costs_us[number], default=None)
        if best_index is not None and split_costs_us[best_index] < combined_cost_us:
            return PlacementChoice(
                self.prefill,
                prefill_candidates[best_index],
                True,
                prefill_candidates[best_index].done_at_us + KV_TRANSFER_US,
            )
        return PlacementChoice(
            self.decode, combined, False, combined.done_at_us + memory_wait_us(combined, self.prompt)
        )

    def choose_decode(self, prefill_node: Node | None, candidates: list[Candidate]) -> PlacementChoice | None:
        """Choose who makes the tokens of a prompt that was read."""

        def cost(offer: Candidate) -> float:
            transfer_us = self.cross_zone_kv_us(prefill_node, offer.node) if prefill_node is not None else 0.0
            return (
                offer.done_at_us
                + memory_wait_us(offer, self.prompt)
                + transfer_us
                + self._cross_zone_body_us(offer.node)
            )

        best = min(candidates, key=cost, default=None)
        return (
            PlacementChoice(self.decode, best, False, best.done_at_us + memory_wait_us(best, self.prompt))
            if best
            else None
        )
