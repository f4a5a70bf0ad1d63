"""The service document's surface: S-expressions with positions, and every mistake of a file at once.

The grammar is Lark's; its LALR parser is fed token by token, so that a stray bracket, a byte that belongs nowhere or
an end in the middle of a form is noted and reading goes on.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from lark import Lark, Token, Transformer

MAX_BYTES = 32 * 1024 * 1024  # of one file: 100,000 forms are some 10 MB
MAX_DEPTH = 8  # of brackets; no form needs more than four
MAX_MISTAKES = 100  # told of one file; who has more begins with these

GRAMMAR = r"""
start: node*
?node: form | ATOM | TEXT | BAD
form: OPEN node* CLOSE
OPEN: "("
CLOSE: ")"
TEXT.2: /"(?:[^"\\\n]|\\["\\])*"/
ATOM: /[^\s()";]+/
BAD.-1: /[^\s]/
COMMENT: /;[^\n]*/
SPACE: /\s+/
%ignore COMMENT
%ignore SPACE
"""


@dataclass(frozen=True, slots=True, order=True)
class Mistake:
    """One mistake: where it is, counted from 1, what is wrong and what would be right."""

    line: int
    column: int
    text: str

    def at(self, name: str) -> str:
        """Tell it as one line of a file of this name."""
        return f"{name}:{self.line}:{self.column}: {self.text}"


@dataclass(frozen=True, slots=True)
class Atom:
    """A word, a number or a quoted text."""

    text: str
    line: int
    column: int

    def __str__(self) -> str:
        return self.text


@dataclass(frozen=True, slots=True)
class Form:
    """A bracketed list; its place is that of its opening bracket."""

    items: tuple[Node, ...]
    line: int
    column: int

    @property
    def word(self) -> str:
        """Tell the word that it begins with; nothing where it begins with none."""
        return self.items[0].text if self.items and isinstance(self.items[0], Atom) else ""

    def __str__(self) -> str:
        return f"({self.word} ...)" if len(self.items) > 1 else f"({self.word})"


Node = Atom | Form


class _Nodes(Transformer[Token, Any]):
    """Makes nodes while the parser reduces; nothing here calls itself, however deep a file is."""

    def start(self, children: list[Any]) -> list[Node]:
        return [_atom(child) if isinstance(child, Token) else child for child in children]

    def form(self, children: list[Any]) -> Form:
        first = children[0]
        return Form(tuple(self.start(children[1:-1])), first.line or 1, first.column or 1)


def _atom(token: Token) -> Atom:
    text = str(token)
    if token.type == "TEXT":
        text = text[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return Atom(text, token.line or 1, token.column or 1)


_PARSER = Lark(GRAMMAR, parser="lalr", lexer="basic", transformer=_Nodes(), maybe_placeholders=False)


def decode(raw: bytes) -> tuple[str, list[Mistake]]:
    """Turn a file's bytes into text; what is no UTF-8 is told by its place."""
    if len(raw) > MAX_BYTES:
        return "", [Mistake(1, 1, f"the file has {len(raw)} bytes; at most {MAX_BYTES} are read: split it")]
    try:
        return raw.decode("utf-8"), []
    except UnicodeDecodeError as error:
        before = raw[: error.start].decode("utf-8")
        line = before.count("\n") + 1
        column = len(before) - (before.rfind("\n") + 1) + 1
        return "", [Mistake(line, column, f"byte 0x{raw[error.start]:02x} is no UTF-8; save the file as UTF-8")]


def parse(text: str) -> tuple[list[Node], list[Mistake]]:
    """Read a text; nodes that stand outside a mistake are kept, so that their own mistakes are told too."""
    mistakes: list[Mistake] = []
    steps = _PARSER.parse_interactive(text)
    opened: list[Token] = []
    last: Token | None = None
    for token in _tokens(text):
        last = token
        place = token.line or 1, token.column or 1
        if token.type == "BAD":
            what = "a text that does not end on its line" if str(token) == '"' else f"{str(token)!r} means nothing here"
            mistakes.append(Mistake(*place, f'{what}; quote it as "..." or remove it'))
            if len(mistakes) >= MAX_MISTAKES:
                return [], mistakes
            continue
        if token.type == "CLOSE":
            if not opened:
                mistakes.append(Mistake(*place, "')' closes nothing; remove it or open its form with '('"))
                if len(mistakes) >= MAX_MISTAKES:
                    return [], mistakes
                continue
            opened.pop()
        elif token.type == "OPEN":
            if len(opened) >= MAX_DEPTH:
                mistakes.append(Mistake(*place, f"brackets are nested deeper than {MAX_DEPTH}; close some with ')'"))
                return [], mistakes
            opened.append(token)
        steps.feed_token(token)
    if opened:
        first = opened[0]
        mistakes.append(
            Mistake(
                first.line or 1,
                first.column or 1,
                f"the file ends within this form; close it with {')' * len(opened)!r}",
            )
        )
        for _ in opened:
            steps.feed_token(Token.new_borrow_pos("CLOSE", ")", last or first))
    nodes: list[Node] = steps.feed_eof(last)  # type: ignore[no-untyped-call]
    return nodes, mistakes


def _tokens(text: str) -> Iterator[Token]:
    yield from _PARSER.lex(text)
