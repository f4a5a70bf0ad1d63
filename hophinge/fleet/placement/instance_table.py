"""The instances that a head knows, indexed by identity and by service and stage."""

from __future__ import annotations

from collections.abc import Callable

from hophinge.fleet.placement.admission import InstanceAdmission
from hophinge.fleet.placement.node import Node, PrefixCache, SegmentBudget
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.pool import InstancePool
from hophinge.fleet.placement.stage_outlook import StageOutlook, predict_stage
from hophinge.fleet.placement.timing import OTHER_STAGE
from hophinge.fleet.registry.instance import SWITCHING, Instance


DEFAULT_MAX_SEGMENTS = 200_000  # cached at all instances together


class InstanceTable:
    """The instances of all services, each in the pool of its service and stage."""

    def __init__(
        self, policy: PlacementPolicy, on_instance_removed: Callable[[str], None], admission: InstanceAdmission
    ) -> None:
        self.policy = policy
        self.admission = admission
        self.on_instance_removed = on_instance_removed
        self.pools: dict[tuple[str, str], InstancePool] = {}
        self.nodes: dict[str, Node] = {}
        self.segment_budget = SegmentBudget(DEFAULT_MAX_SEGMENTS)
        self.configured_services: frozenset[str] | None = None  # None before the first configuration
        self.cache_tokens: dict[str, int] = {}  # by service: an instance's memory for cached segments
        self.stage_switch_s: dict[str, float | None] = {}  # by service: the duration of a stage change

    def update_instance(self, identity: str, instance: Instance | None, now: float = 0.0) -> None:
        """Add or update an instance, or remove it if it has ended (None). `now` is seconds on the caller's clock."""
        node = self.nodes.get(identity)
        if node is not None and (instance is None or instance.stage != node.instance.stage):
            self.pool_of(node).nodes.pop(identity, None)
        if instance is None:
            self.admission.warmup.remove(identity)
            if node is not None:
                del self.nodes[identity]
                node.cache.clear()
                self._forget_names(node.instance)
                self.on_instance_removed(identity)
            return
        self.admission.warmup.update_instance(now, instance, node is None)
        if node is None:
            node = self.nodes[identity] = Node(instance)
            node.cache = PrefixCache(self.cache_tokens.get(instance.service, 0), self.segment_budget)
        node.instance = instance
        if instance.state != SWITCHING:
            node.switching_since = None
        elif node.switching_since is None:
            node.switching_since = now
        self.pool_of(node).nodes[identity] = node

    def _forget_names(self, removed: Instance) -> None:
        """Forget a zone and a pool without instances: instances choose these names when they register."""
        if not any(node.instance.zone == removed.zone for node in self.nodes.values()):
            self.admission.reachability.zones.pop(removed.zone, None)
        key = removed.service, removed.stage
        pool = self.pools.get(key)
        is_configured = self.configured_services is None or removed.service in self.configured_services
        if pool is not None and not pool.nodes and not is_configured:
            del self.pools[key]

    def update_evacuation(self, zone: str, is_evacuated: bool, now: float) -> None:
        """Record that a zone is evacuated or in use again; instances may have become cold during the evacuation."""
        if is_evacuated:
            self.admission.evacuated_zones.add(zone)
            return
        if zone not in self.admission.evacuated_zones:
            return  # an evacuation that ended before this head started: the warmup records say which instances are cold
        self.admission.evacuated_zones.discard(zone)
        for identity, node in self.nodes.items():
            if node.instance.zone == zone:
                self.admission.warmup.limit_until_confirmed(now, identity)

    def is_evacuated(self, identity: str) -> bool:
        """Return whether an instance is in an evacuated zone."""
        node = self.nodes.get(identity)
        return node is not None and self.admission.is_evacuated(node.instance)

    def configure(self, memory_tokens: dict[str, int]) -> None:
        """Set the memory of each service's instances, in tokens; a fraction of it holds cached segments."""
        self.cache_tokens = {
            service: int(tokens * self.policy.cache_fraction) for service, tokens in memory_tokens.items()
        }
        for node in self.nodes.values():
            node.cache.capacity_tokens = self.cache_tokens.get(node.instance.service, 0)

    def predict_stage(self, now: float, service: str, stage: str) -> StageOutlook:
        """Predict when a service's stage that accepts no requests now will accept them again."""
        members = self.pool(service, stage).available_nodes()
        other_stage = OTHER_STAGE.get(stage)
        others = self.pool(service, other_stage).available_nodes() if other_stage is not None else []
        return predict_stage(now, stage, members, others, self.stage_switch_s.get(service))

    def pool(self, service: str, stage: str) -> InstancePool:
        """Return the instances of a stage of a service."""
        key = service, stage
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = InstancePool(stage, self.policy, self.admission)
        return pool

    def pool_of(self, node: Node) -> InstancePool:
        """Return the pool that an instance belongs to."""
        return self.pool(node.instance.service, node.instance.stage)
