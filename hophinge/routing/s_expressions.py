"""Syntax of the service document: S-expressions with positions; all mistakes of a file are reported at once.

Lark's LALR parser is fed token by token, so that parsing can continue after an unmatched bracket, an unexpected
character or an end of file within a form.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from lark import Lark, Token, Transformer

MAX_BYTES = 32 * 1024 * 1024  # of one file; 100,000 forms take about 10 MB
MAX_DEPTH = 8  # of nested brackets; no valid form needs more than four
MAX_MISTAKES = 100  # reported for one file

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
    """A mistake: its position, counted from 1, and a text that says what is wrong and how to correct it."""

    line: int
    column: int
    text: str

    def located_in(self, name: str) -> str:
        """Return the mistake as `name:line:column: text`."""
        return f"{name}:{self.line}:{self.column}: {self.text}"


@dataclass(frozen=True, slots=True)
class Atom:
    """A word, a number, or a quoted string without its quotes."""

    text: str
    line: int
    column: int

    def __str__(self) -> str:
        return self.text


@dataclass(frozen=True, slots=True)
class Form:
    """A bracketed list; its position is that of the opening bracket."""

    items: tuple[Node, ...]
    line: int
    column: int

    @property
    def keyword(self) -> str:
        """The atom that the form begins with; empty if it begins with another form or has no items."""
        return self.items[0].text if self.items and isinstance(self.items[0], Atom) else ""

    def __str__(self) -> str:
        return f"({self.keyword} ...)" if len(self.items) > 1 else f"({self.keyword})"


Node = Atom | Form


class DecodedText(NamedTuple):
    """The text of a file, and the mistakes in its encoding."""

    text: str
    mistakes: list[Mistake]


class ParsedNodes(NamedTuple):
    """The top-level nodes of a text, and the mistakes in its syntax."""

    nodes: list[Node]
    mistakes: list[Mistake]


class _Nodes(Transformer[Token, Any]):
    """Builds nodes while the parser reduces, so that the recursion depth does not depend on the file."""

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


def decode_text(raw: bytes) -> DecodedText:
    """Decode a file's bytes; a file that is too large or not UTF-8 is reported as a mistake."""
    if len(raw) > MAX_BYTES:
        return DecodedText(
            "", [Mistake(1, 1, f"the file has {len(raw)} bytes, but at most {MAX_BYTES} are allowed: split it")]
        )
    try:
        return DecodedText(raw.decode("utf-8"), [])
    except UnicodeDecodeError as error:
        before = raw[: error.start].decode("utf-8")
        line = before.count("\n") + 1
        column = len(before) - (before.rfind("\n") + 1) + 1
        mistake = Mistake(line, column, f"byte 0x{raw[error.start]:02x} is not valid UTF-8; save the file as UTF-8")
        return DecodedText("", [mistake])


def parse(text: str) -> ParsedNodes:
    """Parse a text; nodes without syntax mistakes are returned too, so that their own mistakes can be reported."""
    return _Parsing(text).run()


class _Parsing:
    """One run of the parser over a text."""

    def __init__(self, text: str) -> None:
        self.text = text
        self.parser = _PARSER.parse_interactive(text)
        self.mistakes: list[Mistake] = []
        self.open_brackets: list[Token] = []

    def run(self) -> ParsedNodes:
        last: Token | None = None
        for token in _tokens(self.text):
            last = token
            if self._accepts(token):
                self.parser.feed_token(token)
            elif self._must_stop(token):
                return ParsedNodes([], self.mistakes)
        self._close_forms(last)
        nodes: list[Node] = self.parser.feed_eof(last)  # type: ignore[no-untyped-call]  # lark's stub is untyped
        return ParsedNodes(nodes, self.mistakes)

    def _accepts(self, token: Token) -> bool:
        """Return whether to feed a token to the parser; report the mistake if not."""
        if token.type == "BAD":
            is_quote = str(token) == '"'
            problem = "the quoted text does not end on its line" if is_quote else f"unexpected character {str(token)!r}"
            self._report(token, f'{problem}; quote it as "..." or remove it')
            return False
        if token.type == "CLOSE":
            if not self.open_brackets:
                self._report(token, "')' has no matching '('; remove it or add the '('")
                return False
            self.open_brackets.pop()
        elif token.type == "OPEN":
            if len(self.open_brackets) >= MAX_DEPTH:
                self._report(token, f"brackets are nested deeper than {MAX_DEPTH}; close some with ')'")
                return False
            self.open_brackets.append(token)
        return True

    def _must_stop(self, token: Token) -> bool:
        """Return whether to stop parsing at a rejected token: nesting is too deep, or there are too many mistakes."""
        return token.type == "OPEN" or len(self.mistakes) >= MAX_MISTAKES

    def _report(self, token: Token, text: str) -> None:
        self.mistakes.append(Mistake(token.line or 1, token.column or 1, text))

    def _close_forms(self, last: Token | None) -> None:
        """Close the forms that are open at the end of the file, so that their contents are parsed."""
        if not self.open_brackets:
            return
        first = self.open_brackets[0]
        brackets = ")" * len(self.open_brackets)
        self._report(first, f"the file ends within this form; close it with {brackets!r}")
        for _ in self.open_brackets:
            self.parser.feed_token(Token.new_borrow_pos("CLOSE", ")", last or first))


def _tokens(text: str) -> Iterator[Token]:
    yield from _PARSER.lex(text)
