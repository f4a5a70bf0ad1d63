"""What all commands of the command line share: the console, and how a mistake is told."""

from __future__ import annotations

import sys

import typer
from rich.console import Console

out = Console(highlight=False)


def fail(text: str, status: int = 2) -> typer.Exit:
    """Say what is wrong in one line on standard error; the result is to be raised."""
    print(f"hophinge: {' '.join(text.split())}", file=sys.stderr)
    return typer.Exit(status)
