"""The forms on maintenance: how much may be out, outages and releases, with what they may not say."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence

from hophinge.routing.bounds import Maintenance, Most, Outage, Release
from hophinge.routing.fields import Fields
from hophinge.routing.records import Record

BUILD = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.+-]{0,63}", re.ASCII)
MIN_SETTLE_US = 3_000_000  # heads tell their counts every two seconds: sooner nothing is known of a wave
WORDS = ("go", "halt", "back")


def _most(part: Fields | None) -> Most | None:
    if part is None:
        return None
    most = Most(
        int(part.number("most", -1, 0, 10_000, whole=True)),
        part.quantity("most-part", "share", -1.0, most=1.0),
        int(part.number("zone-most", -1, 0, 10_000, whole=True)),
        part.quantity("zone-part", "share", -1.0, most=1.0),
    )
    part.whole(
        most.most >= 0 or most.part >= 0,
        f"({part.form.word} ...) needs (most 3) or (most-part 10 %), or both: the stricter counts",
    )
    part.end()
    return most


def _maintenance(part: Fields) -> Record:
    part.nameless()
    return Maintenance(
        _most(part.form_of("heads")),
        _most(part.form_of("bricks")),
        int(part.quantity("served", "heads", 2, 1, 1e4)),
        part.quantity("capacity", "rate", 0.0, 0.001),
        part.names("retired", "head"),
        part.names("free", "permit"),
    )


def _outage(part: Fields) -> Record:
    outage = Outage(
        part.name("outage"), part.names("bricks", "brick"), part.names("heads", "head"), part.names("without", "head")
    )
    part.whole(bool(outage.backends or outage.heads), "an outage needs (bricks NAME ...) or (heads NAME ...)")
    return outage


def _release(part: Fields) -> Record:
    release = Release(
        part.name("release"),
        part.one("build", "build", BUILD),
        part.names("heads", "head"),
        part.shares("waves"),
        part.time("settle", 30_000_000, MIN_SETTLE_US),
        part.time("patience", 300_000_000, 1000),
        part.quantity("refused", "share", 0.02, most=1.0),
        part.choice("word", WORDS),
        int(part.number("again", 0, 0, 1_000_000, whole=True)),
    )
    part.whole(bool(release.build), "a release needs (build NAME): the build that its heads come back with")
    return release


READERS: dict[str, Callable[[Fields], Record]] = {
    "maintenance": _maintenance,
    "outage": _outage,
    "release": _release,
}


def faults(looked_at: Sequence[Record], records: Mapping[str, Record]) -> list[tuple[str, str]]:
    """Tell what outages and releases get wrong about the rest, by name: (name, mistake)."""
    found: list[tuple[str, str]] = []
    taken: dict[tuple[str, str], str] = {}
    rule = records.get("maintenance/*")
    bounds = rule if isinstance(rule, Maintenance) else Maintenance()
    for record in looked_at:
        wanted: list[tuple[str, str]] = []
        if isinstance(record, Outage):
            wanted = [*(("brick", one) for one in record.backends), *(("head", one) for one in record.heads)]
        elif isinstance(record, Release):
            wanted = [("head", one) for one in record.heads] or [("head", "")]
        for kind in sorted({kind for kind, _ in wanted}):
            if (bounds.heads if kind == "head" else bounds.backends) is None:
                found.append((record.key, f"no {kind} may be out: add (maintenance ({kind}s (most 1)))"))
        if isinstance(record, Outage):
            for place in wanted:
                if place in taken:
                    found.append((record.key, f"the {place[0]} {place[1]} is in {taken[place]} already; keep one"))
                taken.setdefault(place, record.key)
    return found
