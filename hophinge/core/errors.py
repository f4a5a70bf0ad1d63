"""The base of the program's errors: each has a stable code, a message and a remedy for the operator.

Each kind of error is a subclass of `HophingeError`; `docs/operate/errors.md` lists all of them by code.
"""

from __future__ import annotations

from typing import ClassVar


class HophingeError(Exception):
    """Base class of the program's errors. A released `code` never changes; `remedy` is one sentence for an operator."""

    code: ClassVar[str] = ""
    remedy: ClassVar[str] = ""

    def __init__(self, what: str) -> None:
        super().__init__(what)
        self.what = what

    def one_line(self) -> str:
        """Return the error as one line, for the log and the command line."""
        return one_line(self)


def one_line(error: BaseException) -> str:
    """Return any error as one line, with code and remedy if it is a `HophingeError`."""
    what = " ".join(str(error).split()) or type(error).__name__
    if isinstance(error, HophingeError):
        return f"{what} [{error.code}] {error.remedy}"
    return what


def error_types() -> list[type[HophingeError]]:
    """Return all loaded error types, sorted by code."""
    found: set[type[HophingeError]] = set()
    unvisited = [HophingeError]
    while unvisited:
        for error_type in unvisited.pop().__subclasses__():
            if error_type not in found:
                found.add(error_type)
                unvisited.append(error_type)
    return sorted(found, key=lambda error_type: error_type.code)
