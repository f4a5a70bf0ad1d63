"""Bearer tokens of heads and operators: reads them from token files and from the metadata of calls."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Protocol

MIN_TOKEN_CHARS = 16


class CallContext(Protocol):
    """The part of a gRPC call's context that gives access to its metadata."""

    def invocation_metadata(self) -> Iterable[tuple[str, str | bytes]] | None:
        """Return the metadata that the caller sent."""


def bearer_token(context: CallContext) -> str:
    """Return the bearer token of a call; empty if it has none."""
    for name, value in context.invocation_metadata() or ():
        if name == "authorization" and isinstance(value, str):
            return value.removeprefix("Bearer ")
    return ""


def read_tokens(path: Path) -> dict[str, str]:
    """Read a file with one `NAME TOKEN` per line and `#` comments.

    Returns:
        The names by token.

    Raises:
        ValueError: A line is malformed, a token occurs twice, or there is no token.
        OSError: The file cannot be read.

    """
    tokens: dict[str, str] = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        words = line.split()
        if len(words) != 2 or len(words[1]) < MIN_TOKEN_CHARS or not words[1].isascii():
            raise ValueError(f"{path}:{number}: expected NAME TOKEN, with a token of at least 16 ASCII characters")
        name, token = words
        if token in tokens:
            raise ValueError(f"{path}:{number}: this token is already that of {tokens[token]}")
        tokens[token] = name
    if not tokens:
        raise ValueError(f"{path}: no tokens; each line must have the form NAME TOKEN")
    return tokens
