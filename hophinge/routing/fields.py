"""The parts of one form, each asked for once, with a mistake for whatever is not as it should be."""

from __future__ import annotations

import re
from collections.abc import Callable

from hophinge.routing.document import Atom, Form, Node
from hophinge.routing.quantities import EXAMPLES, QuantityError, quantity, written
from hophinge.routing.records import Scope

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}", re.ASCII)
VOLUME = re.compile(r"[0-9a-f]{16}|[a-z0-9][a-z0-9.-]{0,62}", re.ASCII)
LONGEST_US = 3_600_000_000  # no wait or window is longer than an hour


class Fields:
    """The parts of one form; each is asked for once, what is left over is a mistake."""

    def __init__(self, form: Form, wrong: Callable[[Node, str], None]) -> None:
        self.form, self._wrong, self.clean = form, wrong, True
        self.parts: dict[str, Form] = {}
        self.heads: list[Atom] = []
        self.asked: list[str] = []
        for item in form.items[1:]:
            if isinstance(item, Atom):
                self.heads.append(item)
            elif not item.word:
                self.wrong(item, f"a part of ({form.word} ...) begins with its word, like (rate 120 units/s)")
            elif item.word in self.parts:
                self.wrong(item, f"({item.word} ...) stands twice in one form; keep one")
            else:
                self.parts[item.word] = item

    def wrong(self, node: Node, text: str) -> None:
        """Note a mistake; what only follows from one is not told."""
        self.clean = False
        self._wrong(node, text)

    def whole(self, right: bool, text: str) -> None:
        """Note a mistake of the form as a whole, unless a part of it is wrong already."""
        if not right and self.clean:
            self.wrong(self.form, text)

    def name(self, what: str) -> str:
        """Read the one name right after the form's word."""
        if len(self.heads) != 1:
            self.wrong(
                self.heads[1] if len(self.heads) > 1 else self.form,
                f"({self.form.word} ...) takes one name: ({self.form.word} NAME ...)",
            )
            return ""
        return self._named(self.heads[0], what)

    def nameless(self) -> None:
        """Take no name after the form's word."""
        if self.heads:
            self.wrong(self.heads[0], f"({self.form.word} ...) takes bracketed parts only, not {self.heads[0]}")

    def _named(self, atom: Atom, what: str, pattern: re.Pattern[str] = NAME) -> str:
        if not pattern.fullmatch(atom.text):
            self.wrong(atom, f"{atom.text!r} is no name of a {what}; use letters, digits, '.', '_' and '-', at most 63")
            return ""
        return atom.text

    def _words(self, part: str) -> tuple[Form | None, list[Atom]]:
        self.asked.append(part)
        form = self.parts.pop(part, None)
        if form is None:
            return None, []
        atoms = [item for item in form.items[1:] if isinstance(item, Atom)]
        if len(atoms) < len(form.items) - 1:
            self.wrong(form, f"({part} ...) takes words, not forms")
            return form, []
        if not atoms:
            self.wrong(form, f"({part}) is empty; state its value or remove it")
        return form, atoms

    def names(self, part: str, what: str, pattern: re.Pattern[str] = NAME) -> tuple[str, ...]:
        """Read a list of names, none twice."""
        _, atoms = self._words(part)
        found: dict[str, None] = {}
        for atom in atoms:
            name = self._named(atom, what, pattern)
            if name in found:
                self.wrong(atom, f"{name} stands twice; name each {what} once")
            if name:
                found[name] = None
        return tuple(found)

    def one(self, part: str, what: str, pattern: re.Pattern[str] = NAME) -> str:
        """Read one name."""
        form, atoms = self._words(part)
        if form is not None and len(atoms) > 1:
            self.wrong(atoms[1], f"({part} ...) takes one {what}")
        return self._named(atoms[0], what, pattern) if atoms else ""

    def choice(self, part: str, choices: tuple[str, ...]) -> str:
        """Read one of some words; the first is the default."""
        _, atoms = self._words(part)
        if atoms and (len(atoms) > 1 or atoms[0].text not in choices):
            self.wrong(atoms[0], f"({part} ...) is one of {', '.join(choices)}")
        return atoms[0].text if atoms and atoms[0].text in choices else choices[0]

    def quantity(
        self, part: str, dimension: str, default: float, least: float = 0.0, most: float = 1e12, needed: bool = False
    ) -> float:
        """Read a quantity with its unit."""
        form, atoms = self._words(part)
        if form is None:
            if needed:
                self.wrong(self.form, f"({self.form.word} ...) needs ({part} {EXAMPLES[dimension]})")
            return default
        if not atoms:
            return default
        try:
            value = quantity([atom.text for atom in atoms], dimension)
        except QuantityError as error:
            self.wrong(atoms[0], f"({part} ...): {error}")
            return default
        if not least <= value <= most:
            self.wrong(atoms[0], f"({part} ...) must be from {written(least, dimension)} to {written(most, dimension)}")
            return default
        return value

    def number(self, part: str, default: float, least: float, most: float, whole: bool = False) -> float:
        """Read a plain number, for what has no unit: weights and counts of attempts."""
        form, atoms = self._words(part)
        if form is None or not atoms:
            return default
        text = atoms[0].text
        right = re.fullmatch(r"[0-9]{1,9}" if whole else r"[0-9]{1,9}(\.[0-9]{1,9})?", text, re.ASCII)
        if len(atoms) > 1 or right is None or not least <= float(text) <= most:
            self.wrong(
                atoms[0],
                f"({part} ...) is one {'whole ' if whole else ''}number from {least:g} to {most:g}, without unit",
            )
            return default
        return float(text)

    def time(self, part: str, default: int = 0, least: int = 0, needed: bool = False) -> int:
        """Read a time, in microseconds."""
        return int(self.quantity(part, "time", default, least, LONGEST_US, needed))

    def scope(self) -> Scope:
        """Read whom a form is for."""
        return Scope(self.one("tenant", "tenant"), self.one("volume", "volume", VOLUME), self.one("class", "class"))

    def form_of(self, part: str) -> Fields | None:
        """Take a part that has parts of its own."""
        self.asked.append(part)
        form = self.parts.pop(part, None)
        if form is None:
            return None
        found = Fields(form, self.wrong)
        found.nameless()
        return found

    def shares(self, part: str) -> tuple[float, ...]:
        """Read shares that rise and end with all; without any, all at once."""
        self.asked.append(part)
        form = self.parts.pop(part, None)
        if form is None:
            return (1.0,)
        words = [item.text for item in form.items[1:] if isinstance(item, Atom)]
        try:
            words = " ".join(words).replace("%", " % ").split()  # 10% and 10 % alike
            shares = [quantity(words[at : at + 2], "share") for at in range(0, len(words), 2)]
            if not shares or shares != sorted(set(shares)) or shares[-1] != 1.0 or shares[0] <= 0:
                raise QuantityError(f"shares rise and end with 100 %, like ({part} 10 % 50 % 100 %)")
        except QuantityError as error:
            self.wrong(form, f"({part} ...): {error}")
            return (1.0,)
        return tuple(shares)

    def end(self) -> None:
        """Tell what nobody asked for."""
        for word, part in self.parts.items():
            self.wrong(part, f"({self.form.word} ...) has no part ({word} ...); it may have {', '.join(self.asked)}")
