"""The scorer's own test: it needs no head, only candidates."""

from __future__ import annotations

from hophinge.scoring.interface import Setting
from hophinge.scoring.testing import Candidate, view
from hophinge_own_zone import OwnZone, Parameters, hophinge_scorer


def test_backends_elsewhere_get_the_way_added() -> None:
    """The way is added for those of other zones alone."""
    scorer = OwnZone(Parameters(zone=1, beyond_us=3_000.0), Setting(300_000, 75_000.0))
    choice = view([Candidate("a", zone=0), Candidate("b", zone=1), Candidate("c", zone=2), Candidate("d", zone=1)])
    assert scorer.added_us(choice) == [3_000.0, 0.0, 3_000.0, 0.0]


def test_the_package_brings_what_its_entry_point_says() -> None:
    """The kind is that of this package."""
    kind = hophinge_scorer()
    assert kind.name == "own-zone" and kind.parameters is Parameters and kind.make is OwnZone
