"""Heads that an operator has declared gone for good by `(retired n7)`, which is rejected while they are connected.

An operator can be wrong about a head: it may only be partitioned or stopped, and return with its requests in flight. So
a declaration is valid for one absence. When the head returns, the store removes the declaration, and the head's
statements are required again; its next absence has to be declared again.
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
    since_ms: int  # when it was connected last, in milliseconds since 1970; 0: unknown
    remedy: str


def without_retired(records: Sequence[Record], head: str) -> list[Record]:
    """Return the records without the declaration that a head is retired, if there is one."""
    return [
        msgspec.structs.replace(record, retired_heads=tuple(name for name in record.retired_heads if name != head))
        if isinstance(record, MaintenanceRule)
        else record
        for record in records
    ]


def retirement_errors(
    records: Iterable[Record], connected: Collection[str], form: Form | None, document: str
) -> list[str]:
    """Return an error for each head that is declared retired while it is connected.

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
            line,
            column,
            f"{head} is not gone, it is connected to this service; remove it from (retired ...), or stop it first",
        )
        errors.append(error.located_in(document))
    return errors


def _position(form: Form | None, head: str) -> tuple[int, int]:
    """Return the line and column where a form declares a head retired; the beginning if it does not."""
    for item in form.items if form is not None else ():
        if isinstance(item, Form) and item.keyword == RETIRED:
            for atom in item.items[1:]:
                if isinstance(atom, Atom) and atom.text == head:
                    return atom.line, atom.column
    return 1, 1


def absence_remedy(head: str) -> str:
    """Return what an operator can do about an absent head."""
    return (
        f"start {head} or restore its network; if it is gone for good: (retired {head}) in (maintenance ...); for a "
        f"single drain: (without {head}) in its (outage ...)"
    )


def absent_heads(
    known: Iterable[str],
    connected: Collection[str],
    retired: Collection[str],
    since_ms: Callable[[str], int],
    max_rows: int,
) -> list[AbsentHead]:
    """Return at most `max_rows` heads that are neither connected nor declared retired, the longest absent first.

    Heads of which it is unknown when they were connected last come before all others.
    """
    absent = sorted((since_ms(name), name) for name in known if name not in connected and name not in retired)
    return [AbsentHead(name, since, absence_remedy(name)) for since, name in absent[:max_rows]]
