"""Bearer tokens of heads and operators: the files that list them, and their place in a call."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Protocol

MIN_TOKEN_CHARS = 16


class CallContext(Protocol):
    """The part of a gRPC call's context that bears its metadata."""

    def invocation_metadata(self) -> Iterable[tuple[str, str | bytes]] | None:
        """Return the metadata that the caller sent."""


def bearer_token(context: CallContext) -> str:
    """Return the bearer token of a call; empty where it has none."""
    for name, value in context.invocation_metadata() or ():
        if name == "authorization" and isinstance(value, str):
            return value.removeprefix("Bearer ")
    return ""


def read_tokens(path: Path) -> dict[str, str]:
    """Read a file with one `NAME TOKEN` a line and `#` comments.

    Returns:
        The name of each token.

    Raises:
        ValueError: A line is malformed, a token occurs twice, or there is none.
        OSError: The file cannot be read.

    """
    tokens: dict[str, str] = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        words = line.split()
        if len(words) != 2 or len(words[1]) < MIN_TOKEN_CHARS or not words[1].isascii():
            raise ValueError(f"{path}:{number}: a line is NAME TOKEN, the token of 16 ASCII characters or more")
        name, token = words
        if token in tokens:
            raise ValueError(f"{path}:{number}: the token of {tokens[token]} stands here again")
        tokens[token] = name
    if not tokens:
        raise ValueError(f"{path}: no token; a line is NAME TOKEN")
    return tokens
