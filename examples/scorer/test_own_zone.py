"""The scorer's own test: it needs no head, only candidates."""

from __future__ import annotations

from hophinge.core.choice import Book
from hophinge.core.interface import Arrival, NodeEntry, Phase
from hophinge.scoring.interface import Setting, Surroundings, View
from hophinge_own_zone import OwnZone, Parameters, hophinge_scorer

ASK = Arrival("request", 1.0, "volume", 0, -1, 1, "key", 1_000_000, True, 0)


def test_bricks_elsewhere_get_the_way_added() -> None:
    """The way is added for those of other zones alone."""
    books = [Book(NodeEntry(f"brick-{zone}", zone, zone, Phase.ON, 1.0, 0)) for zone in (0, 1, 2, 1)]
    scorer = OwnZone(Parameters(zone=1, beyond_us=3_000.0), Setting(300_000, 75_000.0))
    assert scorer.added_us(View.of(0, ASK, books, Surroundings())) == [3_000.0, 0.0, 3_000.0, 0.0]


def test_the_package_brings_what_its_entry_point_says() -> None:
    """The kind is that of this package."""
    kind = hophinge_scorer()
    assert kind.name == "own-zone" and kind.parameters is Parameters and kind.make is OwnZone
