"""The console of all commands, and how a command fails."""

from __future__ import annotations

import sys

import typer
from rich.console import Console

out = Console(highlight=False)


def fail(text: str, status: int = 2) -> typer.Exit:
    """Print an error as one line on standard error; the result is to be raised."""
    print(f"hophinge: {' '.join(text.split())}", file=sys.stderr)
    return typer.Exit(status)
