"""Tokens of heads and staff: how they are read, and how a call bears one."""

from __future__ import annotations

from pathlib import Path
from typing import Any


def bearer(context: Any) -> str:
    """Tell the token that a call bears, or nothing."""
    for name, value in context.invocation_metadata() or ():
        if name == "authorization" and isinstance(value, str):
            return value.removeprefix("Bearer ")
    return ""


def read_tokens(path: Path) -> dict[str, str]:
    """Read a file of tokens, one `NAME TOKEN` a line; the token of 16 characters or more tells the name."""
    tokens: dict[str, str] = {}
    for at, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        words = line.split()
        if len(words) != 2 or len(words[1]) < 16 or not words[1].isascii():
            raise ValueError(f"{path}:{at}: a line is NAME TOKEN, the token of 16 ASCII characters or more")
        if words[1] in tokens:
            raise ValueError(f"{path}:{at}: the token of {tokens[words[1]]} stands here again")
        tokens[words[1]] = words[0]
    if not tokens:
        raise ValueError(f"{path}: no token; a line is NAME TOKEN")
    return tokens
