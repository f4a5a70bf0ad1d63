"""Reader of one form of the service document: reads its subforms as typed values and reports invalid ones."""

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
MAX_TIME_US = 3_600_000_000  # one hour, the longest wait or window that a form may state


class FormReader:
    """Subforms of one form, by keyword; each is read once, and those that are never read are reported as unknown."""

    def __init__(self, form: Form, report: Callable[[Node, str], None]) -> None:
        """Split a form into its leading atoms and its subforms; `report` gets the node and text of each mistake."""
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
                self.report(
                    item, f"each part of ({form.keyword} ...) must begin with a keyword, like (rate 120 units/s)"
                )
            elif item.keyword in self.subforms:
                self.report(item, f"({item.keyword} ...) appears twice in one form; keep one")
            else:
                self.subforms[item.keyword] = item

    def report(self, node: Node, text: str) -> None:
        """Report a mistake and mark the form as invalid."""
        self.is_valid = False
        self._report(node, text)

    def require(self, condition: bool, text: str) -> None:
        """Report a mistake of the whole form if a condition fails, unless an earlier mistake may have caused it."""
        if not condition and self.is_valid:
            self.report(self.form, text)

    def read_name(self, kind: str) -> str:
        """Read the single name after the form's keyword; returns "" if it is invalid. `kind` is used in error texts."""
        if len(self.leading_atoms) != 1:
            position = self.leading_atoms[1] if len(self.leading_atoms) > 1 else self.form
            keyword = self.form.keyword
            self.report(position, f"({keyword} ...) takes one name: ({keyword} NAME ...)")
            return ""
        return self._checked_name(self.leading_atoms[0], kind)

    def reject_names(self) -> None:
        """Report names after the form's keyword, for a form that takes none."""
        if self.leading_atoms:
            self.report(
                self.leading_atoms[0],
                f"({self.form.keyword} ...) takes bracketed parts only, not {self.leading_atoms[0]}",
            )

    def _checked_name(self, atom: Atom, kind: str, pattern: re.Pattern[str] = NAME) -> str:
        if not pattern.fullmatch(atom.text):
            self.report(
                atom, f"{atom.text!r} is not a valid {kind} name; use at most 63 letters, digits, '.', '_' and '-'"
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
        """Read a list of distinct names; empty if the subform is missing."""
        _, atoms = self._take_atoms(keyword)
        names: dict[str, None] = {}  # an ordered set
        for atom in atoms:
            name = self._checked_name(atom, kind, pattern)
            if name in names:
                self.report(atom, f"{name} appears twice; list each {kind} once")
            if name:
                names[name] = None
        return tuple(names)

    def read_optional_name(self, keyword: str, kind: str, pattern: re.Pattern[str] = NAME) -> str:
        """Read one name; returns "" if the subform is missing or invalid."""
        form, atoms = self._take_atoms(keyword)
        if form is not None and len(atoms) > 1:
            self.report(atoms[1], f"({keyword} ...) takes one {kind}")
        return self._checked_name(atoms[0], kind, pattern) if atoms else ""

    def read_choice(self, keyword: str, choices: tuple[str, ...]) -> str:
        """Read one of several keywords; the first is the default."""
        _, atoms = self._take_atoms(keyword)
        if atoms and (len(atoms) > 1 or atoms[0].text not in choices):
            self.report(atoms[0], f"({keyword} ...) must be one of {', '.join(choices)}")
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
        """Read a quantity; return it in the base unit of its dimension, or the default if it is missing or invalid."""
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
        """Read a number without a unit, such as a weight or a number of attempts."""
        form, atoms = self._take_atoms(keyword)
        if form is None or not atoms:
            return default
        text = atoms[0].text
        is_number = (INTEGER if is_integer else DECIMAL).fullmatch(text) is not None
        if len(atoms) > 1 or not is_number or not min_value <= float(text) <= max_value:
            kind = "whole number" if is_integer else "number"
            self.report(
                atoms[0], f"({keyword} ...) must be one {kind} from {min_value:g} to {max_value:g}, without a unit"
            )
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
        """Return a reader for a subform that has subforms of its own; None if it is missing."""
        self.known_keywords.append(keyword)
        form = self.subforms.pop(keyword, None)
        if form is None:
            return None
        reader = FormReader(form, self.report)
        reader.reject_names()
        return reader

    def read_shares(self, keyword: str) -> tuple[float, ...]:
        """Read increasing shares that end with 100 % as fractions of 1; (1.0,) if the subform is missing or invalid."""
        self.known_keywords.append(keyword)
        form = self.subforms.pop(keyword, None)
        if form is None:
            return (1.0,)
        words = [item.text for item in form.items[1:] if isinstance(item, Atom)]
        try:
            words = " ".join(words).replace("%", " % ").split()  # accepts both 10% and 10 %
            shares = [parse_quantity(words[index : index + 2], "share") for index in range(0, len(words), 2)]
            if not shares or shares != sorted(set(shares)) or shares[-1] != 1.0 or shares[0] <= 0:
                raise QuantityError(f"shares must increase and end with 100 %, like ({keyword} 10 % 50 % 100 %)")
        except QuantityError as error:
            self.report(form, f"({keyword} ...): {error}")
            return (1.0,)
        return tuple(shares)

    def reject_unknown(self) -> None:
        """Report subforms that were not read, because this kind of form has no such subform."""
        known = ", ".join(self.known_keywords)
        for keyword, subform in self.subforms.items():
            self.report(subform, f"({self.form.keyword} ...) has no part ({keyword} ...); it may have {known}")
