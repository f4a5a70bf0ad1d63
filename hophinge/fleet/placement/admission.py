"""Decides whether a head may send a request to an instance now.

First attempts, retries, prefills, decodes and resumed streams are all placed through the pools. The pools check here
before they choose an instance, and record here each request that they place.
"""

from __future__ import annotations

from hophinge.fleet.placement.reachability import ZoneReachability
from hophinge.fleet.placement.warmup import WarmupLimits
from hophinge.fleet.registry.instance import Instance
from hophinge.fleet.registry.warmup import Warmup


class InstanceAdmission:
    """The instances that get no requests of this head, or only a limited rate of them."""

    def __init__(self, warmup: WarmupLimits, reachability: ZoneReachability) -> None:
        self.warmup = warmup
        self.reachability = reachability
        self.evacuated_zones: set[str] = set()

    def is_evacuated(self, instance: Instance) -> bool:
        """Return whether the operator has evacuated the instance's zone."""
        return instance.zone in self.evacuated_zones

    def is_limited(self, now: float, instance: Instance) -> bool:
        """Return whether the instance is rate limited because it may be cold.

        It gets requests only when no instance without a limit has capacity.
        """
        return self.warmup.is_limited(now, instance)

    def is_unreachable(self, now: float, instance: Instance, may_probe: bool = True) -> bool:
        """Return whether the instance is avoided because its zone is unreachable.

        Requests are sent to it only if its stage has no reachable instance, and never for the prefill stage.
        """
        return self.reachability.is_avoided(now, instance, may_probe)

    def may_receive(self, now: float, instance: Instance) -> bool:
        """Return whether this head may send a request to the instance now."""
        return not self.is_evacuated(instance) and self.warmup.may_receive(now, instance)

    def record_answer(self, now: float, instance: Instance) -> None:
        """Record that the instance responded to this head."""
        self.warmup.record_answer(now, instance.identity)

    def record_report(self, now: float, instance: Instance) -> None:
        """Record that the instance reported its load to a control member."""
        self.warmup.record_alive(now, instance.identity)

    def apply_warmup(self, now: float, identity: str, warmup: Warmup | None) -> None:
        """Apply the warmup record of an instance; None if the instance has ended."""
        self.warmup.apply_record(now, identity, warmup)

    def record_silence(self, now: float, instance: Instance) -> None:
        """Record that the instance did not respond: it may have crashed, and may be cold when it returns."""
        self.warmup.limit_until_confirmed(now, instance.identity)

    def record_sent(self, now: float, instance: Instance) -> None:
        """Record that this head sends a request to the instance."""
        self.warmup.record_sent(now, instance)
        self.reachability.record_sent(now, instance)
