"""The tunable values of placement, and the switches that disable its mechanisms one by one.

Deployments always run with the defaults. Trials override values by a file (`hophinge/fleet/trial.py`).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class PrefillOrder(Enum):
    """The order in which an instance prefills the prompts that can meet their target."""

    SHORTEST = "shortest"  # the shortest service time first
    ARRIVAL = "arrival"


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """The values of placement. Fractions are between 0 and 1; weights multiply a time.

    Attributes:
        order: the order in which an instance prefills the prompts that can meet their target.
        defers_late: requests that cannot meet their target wait behind all others.
        group_size: the number of instances that a key is hashed to.
        cache_fraction: the fraction of an instance's memory that is assumed to hold cached segments.
        others_weight: the weight of a request's service time as the cost for the requests that wait behind it; the
            request's own time has weight 1.
        stream_weight: added to `others_weight` for each response that the instance is decoding.
        reread_us: the cost, in microseconds, of each token that is prefilled although another instance has it cached.
        assumed_reuse_fraction: the fraction of the shared segments' service time that is credited to the first member
            of the key's group if no instance has them cached: later requests will reuse them there.
        outstanding_fraction: the fraction of the route's latency target that the units outstanding at an instance may
            take.
        shares_drops: heads notify each other of prompts that will not be prefilled.
        rejects_hopeless: hopeless requests are rejected at once, see `client_timeout_fraction`.
        client_timeout_fraction: a request that has to wait is hopeless if its first token is expected after this
            fraction of the client's remaining timeout.
        switches_by_load: instances change their stage according to the reported load.
        prefill_utilization: the target fraction of time that prefill instances are busy.
        decode_utilization: the target fraction of slots or memory that decode instances use.
        trace: each request is logged.

    """

    order: PrefillOrder = PrefillOrder.SHORTEST
    defers_late: bool = True
    group_size: int = 3
    cache_fraction: float = 0.8
    others_weight: float = 0.3
    stream_weight: float = 0.03
    reread_us: float = 20.0
    assumed_reuse_fraction: float = 0.5
    outstanding_fraction: float = 0.5
    shares_drops: bool = True
    rejects_hopeless: bool = True
    client_timeout_fraction: float = 0.5
    switches_by_load: bool = True
    prefill_utilization: float = 0.85
    decode_utilization: float = 0.35
    trace: bool = False
