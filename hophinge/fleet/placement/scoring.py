"""Scores the instances for the prefill of a prompt: a prefill instance, or the instance that decodes the tokens.

All costs are in microseconds: the time until the first token, plus equivalents of what a choice costs other requests or
the operator.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hophinge.fleet.placement.node import Node
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.pool import Candidate, InstancePool
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.registry.instance import LOST, READY

KV_TRANSFER_US = 15_000.0  # from the end of prefill to the first token at another instance
CROSS_ZONE_BODY_US = 1.0  # for each prompt token of a request that is sent to another zone
CROSS_ZONE_KV_US = 3.0  # for each prompt token whose KV cache is transferred to another zone


@dataclass(frozen=True, slots=True)
class PlacementChoice:
    """The best candidate, with the pool that it belongs to."""

    pool: InstancePool
    candidate: Candidate
    is_prefill_only: bool
    first_token_at_us: float  # estimated, on the head's clock


def memory_wait_us(candidate: Candidate, prompt: Prompt) -> float:
    """Return how long a request is expected to wait for memory at a candidate."""
    return candidate.node.memory_wait_us(prompt.tokens_in + prompt.tokens_out)


class PlacementScorer:
    """Scores the candidates for one request's prompt."""

    def __init__(
        self,
        prompt: Prompt,
        zone: str,
        prefill: InstancePool,
        decode: InstancePool,
        policy: PlacementPolicy,
        can_transfer: Callable[[Node, Node], bool] = lambda prefill_node, decode_node: True,
    ) -> None:
        self.prompt = prompt
        self.can_transfer = can_transfer
        self.zone = zone
        self.policy = policy
        self.prefill = prefill
        self.decode = decode
        members = [*prefill.nodes.values(), *decode.nodes.values()]
        nodes = [node for node in members if node.instance.state in (READY, LOST)]
        most_cached = max((node.cache.cached_tokens(prompt) for node in nodes), default=0)
        self.reusable_tokens = min(prompt.shared_tokens, most_cached)

    def _cross_zone_body_us(self, node: Node) -> float:
        return CROSS_ZONE_BODY_US * self.prompt.tokens_in if node.instance.zone != self.zone else 0.0

    def cross_zone_kv_us(self, prefill_node: Node, decode_node: Node) -> float:
        """Return the additional cost of transferring the prompt's KV cache if two instances are in different zones."""
        is_same_zone = prefill_node.instance.zone == decode_node.instance.zone
        return 0.0 if is_same_zone else CROSS_ZONE_KV_US * self.prompt.tokens_in

    def _prefill_cost_us(self, candidate: Candidate) -> float:
        """Return the cost of the prefill at an instance."""
        node = candidate.node
        weight = self.policy.others_weight + self.policy.stream_weight * node.running_decodes()
        reread_us = self.policy.reread_us * max(0, self.reusable_tokens - node.cache.cached_tokens(self.prompt))
        return candidate.done_at_us + weight * candidate.service_us + reread_us + self._cross_zone_body_us(node)

    def _decode_cost_us(self, prefill_node: Node, candidate: Candidate) -> float:
        """Return the cost of decoding at an instance after the prefill at another.

        The cost is infinite if the KV cache cannot be transferred between them.
        """
        node = candidate.node
        if not self.can_transfer(prefill_node, node):
            return float("inf")
        return (
            memory_wait_us(candidate, self.prompt)
            + self.cross_zone_kv_us(prefill_node, node)
            + self._cross_zone_body_us(node)
        )

    def choose(self, prefill_candidates: list[Candidate], decode_candidates: list[Candidate]) -> PlacementChoice | None:
        """Choose between one instance for both stages and one instance for each stage.

        The first of `prefill_candidates` is the first member of the key's group with capacity. Return None if there is
        no decode candidate.
        """
        if not decode_candidates:
            return None

        def combined_cost(candidate: Candidate) -> float:
            return self._prefill_cost_us(candidate) + memory_wait_us(candidate, self.prompt)

        combined = min(decode_candidates, key=combined_cost)
        combined_cost_us = combined_cost(combined)
        split_costs_us = [
            self._prefill_cost_us(candidate)
            + min(self._decode_cost_us(candidate.node, decode) for decode in decode_candidates)
            + KV_TRANSFER_US
            for candidate in prefill_candidates
        ]
        if split_costs_us and not self.reusable_tokens:
            unit_us = self.prefill.unit_us(prefill_candidates[0].node)
            split_costs_us[0] -= self.policy.assumed_reuse_fraction * self.prompt.shared_tokens * unit_us
        best_index = min(range(len(prefill_candidates)), key=lambda index: split_costs_us[index], default=None)
        if best_index is not None and split_costs_us[best_index] < combined_cost_us:
            best = prefill_candidates[best_index]
            return PlacementChoice(self.prefill, best, True, best.done_at_us + KV_TRANSFER_US)
        first_token_at_us = combined.done_at_us + memory_wait_us(combined, self.prompt)
        return PlacementChoice(self.decode, combined, False, first_token_at_us)

    def choose_decode(self, prefill_node: Node | None, candidates: list[Candidate]) -> PlacementChoice | None:
        """Choose the instance that decodes after a finished prefill; None if there is no candidate."""

        def cost_us(candidate: Candidate) -> float:
            node = candidate.node
            transfer_us = self.cross_zone_kv_us(prefill_node, node) if prefill_node is not None else 0.0
            first_token_at_us = candidate.done_at_us + memory_wait_us(candidate, self.prompt)
            return first_token_at_us + transfer_us + self._cross_zone_body_us(node)

        best = min(candidates, key=cost_us, default=None)
        if best is None:
            return None
        return PlacementChoice(self.decode, best, False, best.done_at_us + memory_wait_us(best, self.prompt))
