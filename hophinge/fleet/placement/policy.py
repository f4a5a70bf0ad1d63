"""The mechanisms of placement that can be turned off one by one, and the values that they work with.

The defaults are what is in service. Trials give other values in a file beside a checkout (`hophinge/fleet/trial.py`);
no deployment sets any of them.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Any


class PrefillOrder(Enum):
    """The order in which instances are asked to read the prompts that can be in time."""

    SHORTEST = "shortest"  # the shortest service time first
    ARRIVAL = "arrival"


def _named(trial_name: str, default: Any) -> Any:
    """Return a field with another name in trial files, as `dataclasses.field` does; any type of default is possible."""
    return field(default=default, metadata={"trial_name": trial_name})


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """The values of placement. Fractions are between 0 and 1; weights are factors of a time.

    Attributes:
        order: the order in which prompts that can be in time are read.
        defers_late: requests that cannot be in time wait behind all others.
        group_size: instances that a key is hashed to.
        cache_fraction: of an instance's memory, believed to hold cached segments.
        others_weight: of an instance's service time, which others wait for, beside the request's own time.
        stream_weight: added to it for each answer that the instance is decoding.
        reread_us: the cost of each token that is read again though another instance has it cached.
        assumed_reuse_fraction: of a shared segment's service time, saved at the first member of its group where no
            instance has it cached.
        outstanding_fraction: of the route's latency target, that the units outstanding at an instance may take.
        shares_drops: heads inform each other of prompts that will not be read.
        rejects_hopeless: a request that cannot begin before its client gives up is rejected at once.
        client_timeout_fraction: of a client's timeout, beyond which a request is hopeless.
        switches_by_load: instances change their stage by the reported load.
        prefill_utilization: of their time, that prefill instances are to be busy.
        decode_utilization: of their slots or memory, that decode instances are to use.
        trace: a line of the log for each request.

    """

    order: PrefillOrder = PrefillOrder.SHORTEST
    defers_late: bool = _named("late_last", True)
    group_size: int = _named("group", 3)
    cache_fraction: float = _named("kept_part", 0.8)
    others_weight: float = _named("others_share", 0.3)
    stream_weight: float = _named("streams_share", 0.03)
    reread_us: float = _named("again_us", 20.0)
    assumed_reuse_fraction: float = _named("guessed_part", 0.5)
    outstanding_fraction: float = _named("out_part", 0.5)
    shares_drops: bool = _named("drops_told", True)
    rejects_hopeless: bool = _named("refuse_hopeless", True)
    client_timeout_fraction: float = _named("patience_part", 0.5)
    switches_by_load: bool = _named("stages_by_work", True)
    prefill_utilization: float = _named("reading_part", 0.85)
    decode_utilization: float = _named("making_part", 0.35)
    trace: bool = False


def fields_by_trial_name() -> dict[str, str]:
    """Return the fields of the policy by their names in trial files."""
    return {entry.metadata.get("trial_name", entry.name): entry.name for entry in fields(PlacementPolicy)}
