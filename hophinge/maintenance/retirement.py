"""Heads that an operator has declared gone for good, `(retired n7)`: rejected while the head is connected.

An operator can be wrong about a head: it was cut off or stopped, and comes back with the requests that it had. So the
declaration holds for one absence. When the head returns the store drops the declaration, and the head's statements are
required again; its next absence has to be declared anew.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple

import msgspec

from hophinge.routing.maintenance_records import MaintenanceRule
from hophinge.routing.s_expressions import Atom, Form, Mistake
from hophinge.routing.records import Record

RETIRED = "retired"


class AbsentHead(NamedTuple):
    """A head without a stream to this service."""

    name: str
    since_ms: int  # since 1970; 0: unknown
    remedy: str


def without_retired(records: Sequence[Record], head: str) -> list[Record]:
    """Return the records without the declaration that a head is gone; unchanged ones if none declares it."""
    return [
        msgspec.structs.replace(record, retired_heads=tuple(name for name in record.retired_heads if name != head))
        if isinstance(record, MaintenanceRule)
        else record
        for record in records
    ]


def retirement_errors(
    records: Iterable[Record], connected: Collection[str], form: Form | None, document: str
) -> list[str]:
    """Return an error for each head that is declared gone and is connected.

    Args:
        records: The maintenance records of the document.
        connected: Heads with a stream to this service.
        form: The `(maintenance ...)` form of the document, for the positions of errors.
        document: The name of the document.

    """
    retired = [name for record in records if isinstance(record, MaintenanceRule) for name in record.retired_heads]
    errors = []
    for head in (name for name in retired if name in connected):
        line, column = _position(form, head)
        error = Mistake(
            line, column, f"{head} is not gone, it has a stream here; take it out of (retired ...), or stop it first"
        )
        errors.append(error.located_in(document))
    return errors


def _position(form: Form | None, head: str) -> tuple[int, int]:
    """Return the line and column where a form declares a head as gone; the beginning if it does not."""
    for item in form.items if form is not None else ():
        if isinstance(item, Form) and item.keyword == RETIRED:
            for atom in item.items[1:]:
                if isinstance(atom, Atom) and atom.text == head:
                    return atom.line, atom.column
    return 1, 1


def absence_remedy(head: str) -> str:
    """Return what an operator can do about a head that is absent."""
    return (
        f"start {head} or mend its line; if it is gone for good: (retired {head}) in (maintenance ...); for one "
        f"drain alone: (without {head}) in its (outage ...)"
    )


def absent_heads(
    known: Iterable[str],
    connected: Collection[str],
    retired: Collection[str],
    since_ms: Callable[[str], int],
    max_rows: int,
) -> list[AbsentHead]:
    """Return the heads that are neither connected nor declared gone, those first that are absent for longest."""
    absent = sorted((since_ms(name), name) for name in known if name not in connected and name not in retired)
    return [AbsentHead(name, since, absence_remedy(name)) for since, name in absent[:max_rows]]
