"""The mechanisms of placement that can be turned off one by one, and the figures they work with.

The defaults are what is in service. Trials give other values in a file beside a checkout (`dataplane/trial.py`); no
deployment sets any of them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Order(Enum):
    """In which order instances are asked to read the prompts that can be in time."""

    SHORTEST = "shortest"  # the least work first
    ARRIVAL = "arrival"


@dataclass(frozen=True, slots=True)
class Policy:
    """What placement does."""

    order: Order = Order.SHORTEST
    late_last: bool = True  # what can't be in time waits behind everything else
    group: int = 3  # members of a key's group
    kept_part: float = 0.8  # of an instance's memory, believed to hold cached parts
    others_share: float = 0.3  # weight of an instance's time, which others wait for, beside one's own time
    streams_share: float = 0.03  # more of it for each answer that is being made there
    again_us: float = 20.0  # weight of each token that is read again though another instance keeps it
    guessed_part: float = 0.5  # of a shared part's reading, saved at its first member where nobody keeps it
    out_part: float = 0.5  # of the route's aim that the units out at an instance may fill
    drops_told: bool = True  # heads tell each other of prompts that will not be read
    refuse_hopeless: bool = True  # what can't begin before its client gives up is refused at once
    patience_part: float = 0.5  # of a client's patience, beyond which it is hopeless
    stages_by_work: bool = True  # instances change their stage by the work that is reported
    reading_part: float = 0.85  # of the time of instances that read, to which they are to be busy
    making_part: float = 0.35  # of the slots or memory of those that make tokens, that is to be taken
    trace: bool = False  # each request's way is logged
