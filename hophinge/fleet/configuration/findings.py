"""Errors in a configuration document, each with the path of its field."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One error in the document, with the path of the field."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


Findings = tuple[Finding, ...]
