"""Reader of one form of the service document: typed values of its subforms, and mistakes for whatever is invalid."""

from __future__ import annotations

import re
from collections.abc import Callable

from hophinge.routing.quantities import EXAMPLES, QuantityError, format_quantity, parse_quantity
from hophinge.routing.records import Scope
from hophinge.routing.s_expressions import Atom, Form, Node

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}", re.ASCII)
VOLUME_NAME = re.compile(r"[0-9a-f]{16}|[a-z0-9][a-z0-9.-]{0,62}", re.ASCII)
INTEGER = re.compile(r"[0-9]{1,9}", re.ASCII)
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
MAX_TIME_US = 3_600_000_000  # no wait or window is longer than an hour


class FormReader:
    """Subforms of one form, by keyword; each is read once, and what is left unread is a mistake."""

    def __init__(self, form: Form, report: Callable[[Node, str], None]) -> None:
        """Sort the items of a form; `report` takes the position and text of each mistake."""
        self.form = form
        self._report = report
        self.is_valid = True
        self.subforms: dict[str, Form] = {}
        self.leading_atoms: list[Atom] = []
        self.known_keywords: list[str] = []
        for item in form.items[1:]:
            if isinstance(item, Atom):
                self.leading_atoms.append(item)
            elif not item.keyword:
                self.report(item, f"a part of ({form.keyword} ...) begins with its word, like (rate 120 units/s)")
            elif item.keyword in self.subforms:
                self.report(item, f"({item.keyword} ...) stands twice in one form; keep one")
            else:
                self.subforms[item.keyword] = item

    def report(self, node: Node, text: str) -> None:
        """Report a mistake."""
        self.is_valid = False
        self._report(node, text)

    def require(self, condition: bool, text: str) -> None:
        """Report a mistake of the form as a whole, unless a subform already has one that may have caused it."""
        if not condition and self.is_valid:
            self.report(self.form, text)

    def read_name(self, kind: str) -> str:
        """Read the single name after the form's keyword; `kind` says in mistakes what is named."""
        if len(self.leading_atoms) != 1:
            position = self.leading_atoms[1] if len(self.leading_atoms) > 1 else self.form
            keyword = self.form.keyword
            self.report(position, f"({keyword} ...) takes one name: ({keyword} NAME ...)")
            return ""
        return self._checked_name(self.leading_atoms[0], kind)

    def reject_names(self) -> None:
        """Report names after the form's keyword, for a form that has none."""
        if self.leading_atoms:
            self.report(
                self.leading_atoms[0],
                f"({self.form.keyword} ...) takes bracketed parts only, not {self.leading_atoms[0]}",
            )

    def _checked_name(self, atom: Atom, kind: str, pattern: re.Pattern[str] = NAME) -> str:
        if not pattern.fullmatch(atom.text):
            self.report(
                atom, f"{atom.text!r} is no name of a {kind}; use letters, digits, '.', '_' and '-', at most 63"
            )
            return ""
        return atom.text

    def _take_atoms(self, keyword: str) -> tuple[Form | None, list[Atom]]:
        self.known_keywords.append(keyword)
        form = self.subforms.pop(keyword, None)
        if form is None:
            return None, []
        atoms = [item for item in form.items[1:] if isinstance(item, Atom)]
        if len(atoms) < len(form.items) - 1:
            self.report(form, f"({keyword} ...) takes words, not forms")
            return form, []
        if not atoms:
            self.report(form, f"({keyword}) is empty; state its value or remove it")
        return form, atoms

    def read_names(self, keyword: str, kind: str, pattern: re.Pattern[str] = NAME) -> tuple[str, ...]:
        """Read a list of distinct names."""
        _, atoms = self._take_atoms(keyword)
        names: dict[str, None] = {}  # in their order
        for atom in atoms:
            name = self._checked_name(atom, kind, pattern)
            if name in names:
                self.report(atom, f"{name} stands twice; name each {kind} once")
            if name:
                names[name] = None
        return tuple(names)

    def read_optional_name(self, keyword: str, kind: str, pattern: re.Pattern[str] = NAME) -> str:
        """Read one name; empty where the subform is missing."""
        form, atoms = self._take_atoms(keyword)
        if form is not None and len(atoms) > 1:
            self.report(atoms[1], f"({keyword} ...) takes one {kind}")
        return self._checked_name(atoms[0], kind, pattern) if atoms else ""

    def read_choice(self, keyword: str, choices: tuple[str, ...]) -> str:
        """Read one of several words; the first is the default."""
        _, atoms = self._take_atoms(keyword)
        if atoms and (len(atoms) > 1 or atoms[0].text not in choices):
            self.report(atoms[0], f"({keyword} ...) is one of {', '.join(choices)}")
        return atoms[0].text if atoms and atoms[0].text in choices else choices[0]

    def read_quantity(
        self,
        keyword: str,
        dimension: str,
        default: float,
        min_value: float = 0.0,
        max_value: float = 1e12,
        is_required: bool = False,
    ) -> float:
        """Read a quantity with its unit, in the base unit of its dimension."""
        form, atoms = self._take_atoms(keyword)
        if form is None:
            if is_required:
                self.report(self.form, f"({self.form.keyword} ...) needs ({keyword} {EXAMPLES[dimension]})")
            return default
        if not atoms:
            return default
        try:
            value = parse_quantity([atom.text for atom in atoms], dimension)
        except QuantityError as error:
            self.report(atoms[0], f"({keyword} ...): {error}")
            return default
        if not min_value <= value <= max_value:
            lowest = format_quantity(min_value, dimension)
            highest = format_quantity(max_value, dimension)
            self.report(atoms[0], f"({keyword} ...) must be from {lowest} to {highest}")
            return default
        return value

    def read_number(
        self, keyword: str, default: float, min_value: float, max_value: float, is_integer: bool = False
    ) -> float:
        """Read a number without unit, as of weights and counts of attempts."""
        form, atoms = self._take_atoms(keyword)
        if form is None or not atoms:
            return default
        text = atoms[0].text
        is_number = (INTEGER if is_integer else DECIMAL).fullmatch(text) is not None
        if len(atoms) > 1 or not is_number or not min_value <= float(text) <= max_value:
            kind = "whole number" if is_integer else "number"
            self.report(atoms[0], f"({keyword} ...) is one {kind} from {min_value:g} to {max_value:g}, without unit")
            return default
        return float(text)

    def read_time_us(self, keyword: str, default: int = 0, min_us: int = 0, is_required: bool = False) -> int:
        """Read a time of at most an hour, in microseconds."""
        return int(self.read_quantity(keyword, "time", default, min_us, MAX_TIME_US, is_required))

    def read_scope(self) -> Scope:
        """Read the scope that a form applies to."""
        return Scope(
            self.read_optional_name("tenant", "tenant"),
            self.read_optional_name("volume", "volume", VOLUME_NAME),
            self.read_optional_name("class", "class"),
        )

    def read_subform(self, keyword: str) -> FormReader | None:
        """Return the reader of a subform that has subforms of its own; None where it is missing."""
        self.known_keywords.append(keyword)
        form = self.subforms.pop(keyword, None)
        if form is None:
            return None
        reader = FormReader(form, self.report)
        reader.reject_names()
        return reader

    def read_shares(self, keyword: str) -> tuple[float, ...]:
        """Read rising shares that end with 100 %; where the subform is missing, just 100 %."""
        self.known_keywords.append(keyword)
        form = self.subforms.pop(keyword, None)
        if form is None:
            return (1.0,)
        words = [item.text for item in form.items[1:] if isinstance(item, Atom)]
        try:
            words = " ".join(words).replace("%", " % ").split()  # 10% and 10 % alike
            shares = [parse_quantity(words[at : at + 2], "share") for at in range(0, len(words), 2)]
            if not shares or shares != sorted(set(shares)) or shares[-1] != 1.0 or shares[0] <= 0:
                raise QuantityError(f"shares rise and end with 100 %, like ({keyword} 10 % 50 % 100 %)")
        except QuantityError as error:
            self.report(form, f"({keyword} ...): {error}")
            return (1.0,)
        return tuple(shares)

    def reject_unknown(self) -> None:
        """Report subforms that were not read: this kind of form has none of their keywords."""
        known = ", ".join(self.known_keywords)
        for keyword, subform in self.subforms.items():
            self.report(subform, f"({self.form.keyword} ...) has no part ({keyword} ...); it may have {known}")
