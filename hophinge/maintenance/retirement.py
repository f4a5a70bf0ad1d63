"""The word that a head is gone for good, `(retired n7)`: refused while the head is here, taken back when it is back.

An operator can be wrong about a head: it was cut off or stopped, and comes back with what it had. So the word holds for
one absence. With the head's return the store forgets it, and the head's word is wanted again; the next absence has to
be named anew.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence

import msgspec

from hophinge.routing.bounds import Maintenance
from hophinge.routing.document import Atom, Form, Mistake
from hophinge.routing.records import Record

RETIRED = "retired"


def without_retired(forms: Sequence[Record], head: str) -> list[Record]:
    """Make the forms without the word that a head is gone; the same ones where none says so."""
    return [
        msgspec.structs.replace(one, retired=tuple(name for name in one.retired if name != head))
        if isinstance(one, Maintenance)
        else one
        for one in forms
    ]


def retirement_errors(forms: Iterable[Record], connected: Collection[str], form: Form | None, name: str) -> list[str]:
    """Tell the heads that are named as gone and have a stream here, each at its place; `place`: the form that names."""
    retired = [one for form in forms if isinstance(form, Maintenance) for one in form.retired if one in connected]
    found = []
    for head in retired:
        line, column = next(
            (
                (atom.line, atom.column)
                for part in (form.items if form is not None else ())
                if isinstance(part, Form) and part.word == RETIRED
                for atom in part.items[1:]
                if isinstance(atom, Atom) and atom.text == head
            ),
            (1, 1),
        )
        found.append(
            Mistake(
                line,
                column,
                f"{head} is not gone, it has a stream here; take it out of (retired ...), or stop it first",
            ).at(name)
        )
    return found


def absence_remedy(head: str) -> str:
    """Tell the words for a head that nobody hears of."""
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
) -> list[dict[str, object]]:
    """Tell heads without a stream, the one longest away first: its name, since when (0: unknown), what to say."""
    rows = sorted((since_ms(name), name) for name in known if name not in connected and name not in retired)
    return [{"name": name, "since_ms": since, "word": absence_remedy(name)} for since, name in rows[:max_rows]]
