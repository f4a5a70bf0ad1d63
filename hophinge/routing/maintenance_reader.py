"""Readers of the maintenance forms: disruption budgets, outages and releases."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from hophinge.routing.form_reader import FormReader
from hophinge.routing.maintenance_records import DisruptionBudget, MaintenanceRule, Outage, Release
from hophinge.routing.records import Record, RecordMistake

BUILD_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.+-]{0,63}", re.ASCII)
MIN_SOAK_US = 3_000_000  # heads report their counts every two seconds; a shorter soak would see no report
RELEASE_COMMANDS = ("go", "halt", "back")


def _disruption_budget(reader: FormReader | None) -> DisruptionBudget | None:
    if reader is None:
        return None
    budget = DisruptionBudget(
        int(reader.read_number("most", -1, 0, 10_000, is_integer=True)),
        reader.read_quantity("most-part", "share", -1.0, max_value=1.0),
        int(reader.read_number("zone-most", -1, 0, 10_000, is_integer=True)),
        reader.read_quantity("zone-part", "share", -1.0, max_value=1.0),
    )
    reader.require(
        budget.max_count >= 0 or budget.max_share >= 0,
        f"({reader.form.keyword} ...) needs (most 3) or (most-part 10 %), or both: the stricter applies",
    )
    reader.reject_unknown()
    return budget


def _maintenance(reader: FormReader) -> Record:
    reader.reject_names()
    return MaintenanceRule(
        _disruption_budget(reader.read_subform("heads")),
        _disruption_budget(reader.read_subform("bricks")),
        int(reader.read_quantity("served", "heads", 2, 1, 1e4)),
        reader.read_quantity("capacity", "rate", 0.0, 0.001),
        reader.read_names("retired", "head"),
        reader.read_names("free", "permit"),
    )


def _outage(reader: FormReader) -> Record:
    outage = Outage(
        reader.read_name("outage"),
        reader.read_names("bricks", "brick"),
        reader.read_names("heads", "head"),
        reader.read_names("without", "head"),
    )
    reader.require(bool(outage.backends or outage.heads), "an outage needs (bricks NAME ...) or (heads NAME ...)")
    return outage


def _release(reader: FormReader) -> Record:
    release = Release(
        reader.read_name("release"),
        reader.read_optional_name("build", "build", BUILD_NAME),
        reader.read_names("heads", "head"),
        reader.read_shares("waves"),
        reader.read_time_us("settle", 30_000_000, MIN_SOAK_US),
        reader.read_time_us("patience", 300_000_000, 1000),
        reader.read_quantity("refused", "share", 0.02, max_value=1.0),
        reader.read_choice("word", RELEASE_COMMANDS),
        int(reader.read_number("again", 0, 0, 1_000_000, is_integer=True)),
    )
    reader.require(
        bool(release.build), "a release needs (build NAME): the build that its heads run after their restart"
    )
    return release


class Target(NamedTuple):
    """A backend (`brick` in the document) or head that a record takes out of service."""

    kind: str
    name: str


READERS: dict[str, Callable[[FormReader], Record]] = {
    "maintenance": _maintenance,
    "outage": _outage,
    "release": _release,
}


def reference_mistakes(checked: Sequence[Record], records: Mapping[str, Record]) -> list[RecordMistake]:
    """Return outages and releases that overlap with each other or that no disruption budget allows.

    Args:
        checked: The records to check.
        records: All records by key, including those that the checked ones may refer to.

    """
    mistakes: list[RecordMistake] = []
    outage_of: dict[Target, str] = {}
    rule = records.get("maintenance/*")
    bounds = rule if isinstance(rule, MaintenanceRule) else MaintenanceRule()
    for record in checked:
        targets = _targets(record)
        for kind in sorted({target.kind for target in targets}):
            if (bounds.heads if kind == "head" else bounds.backends) is None:
                text = f"no {kind} may be out of service: add (maintenance ({kind}s (most 1)))"
                mistakes.append(RecordMistake(record.key, text))
        if isinstance(record, Outage):
            for target in targets:
                if target in outage_of:
                    text = f"the {target.kind} {target.name} is already in {outage_of[target]}; keep one"
                    mistakes.append(RecordMistake(record.key, text))
                outage_of.setdefault(target, record.key)
    return mistakes


def _targets(record: Record) -> list[Target]:
    """Return what a record takes out of service; a head target with an empty name means all heads."""
    if isinstance(record, Outage):
        backends = [Target("brick", name) for name in record.backends]
        return backends + [Target("head", name) for name in record.heads]
    if isinstance(record, Release):
        return [Target("head", name) for name in record.heads] or [Target("head", "")]
    return []
