"""A scorer as a package of its own: a brick outside the head's zone counts as if it freed a while later."""

from __future__ import annotations

from msgspec import Struct

from hophinge.scoring.interface import Kind, Scorer, Setting, View, scorer_impl


WRITTEN_FOR = 1  # version of hophinge's interface that this was tested with; a head with another one refuses it


class Parameters(Struct, forbid_unknown_fields=True):
    """`[scoring.parameters.own-zone]` of the operator's file."""

    zone: int  # the head's, by its number in the node list
    beyond_us: float = 2_000.0  # what the way to another zone and back takes

    def __post_init__(self) -> None:
        """Check ranges; the text of the error stands beside the section's name when the head starts."""
        if not 0.0 <= self.beyond_us <= 1e6:
            raise ValueError("beyond_us must be from 0 to 1000000")


class OwnZone(Scorer):
    """It learns nothing and shares nothing."""

    def __init__(self, parameters: Parameters, setting: Setting) -> None:
        self.zone, self.beyond_us = parameters.zone, parameters.beyond_us

    def added_us(self, view: View) -> list[float]:
        """Add the way for each candidate that lies elsewhere."""
        return [0.0 if zone == self.zone else self.beyond_us for zone in view.zones]


@scorer_impl
def hophinge_scorer() -> Kind:
    """Tell hophinge what this package brings."""
    return Kind("own-zone", WRITTEN_FOR, Parameters, OwnZone)
