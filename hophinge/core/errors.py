"""What every error of this program tells: a code that stays, what happened, and what an operator can do about it.

Each kind of error is a type of its own below `HophingeError`; `docs/operate/errors.md` lists them all by their code.
"""

from __future__ import annotations

from typing import ClassVar


class HophingeError(Exception):
    """Base of the program's errors. `code` never changes once released; `remedy` is one sentence for an operator."""

    code: ClassVar[str] = ""
    remedy: ClassVar[str] = ""

    def __init__(self, what: str) -> None:
        super().__init__(what)
        self.what = what

    def one_line(self) -> str:
        """Return the error as one line, for the log and the command line."""
        return one_line(self)


def one_line(error: BaseException) -> str:
    """Return any error as one line; one of another library has no code and no remedy."""
    what = " ".join(str(error).split()) or type(error).__name__
    if isinstance(error, HophingeError):
        return f"{what} [{error.code}] {error.remedy}"
    return what


def error_types() -> list[type[HophingeError]]:
    """Return all loaded error types, sorted by code."""
    found: set[type[HophingeError]] = set()
    open_types = [HophingeError]
    while open_types:
        for kind in open_types.pop().__subclasses__():
            if kind not in found:
                found.add(kind)
                open_types.append(kind)
    return sorted(found, key=lambda kind: kind.code)
