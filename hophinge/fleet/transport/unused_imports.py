"""Suppresses imports of the HTTP libraries that are not used: start time and memory count on small machines.

httpcore loads `trio` and `sniffio` where they are installed, and `certifi` for TLS, which the programs do not use: they
run on asyncio alone, without TLS. uvicorn loads its command line, with `click` and `multiprocessing`; the programs use
its server from Python. msgspec prefers `typing_extensions` to the standard library, which has the same functions. This
module must be imported before these libraries.
"""

from __future__ import annotations

import importlib
import sys
from types import ModuleType

ABSENT = ("trio", "sniffio")  # their imports fail as if they were not installed
EMPTY = ("certifi",)  # imported by httpcore for a function that is only called for TLS
COMMAND_LINE = "uvicorn.main"
COMMAND_LINE_NAMES = ("Server", "main", "run")  # that the package imports from it
PREFERRED = "typing_extensions"  # absent while msgspec is imported, which then uses `typing`

_modules: dict[str, ModuleType | None] = sys.modules  # type: ignore[assignment]
for _name in ABSENT:
    _modules.setdefault(_name, None)
for _name in EMPTY:
    _modules.setdefault(_name, ModuleType(_name))


def _command_line() -> ModuleType:
    module = ModuleType(COMMAND_LINE)
    for name in COMMAND_LINE_NAMES:
        setattr(module, name, None)
    return module


def _import_msgspec() -> None:
    if PREFERRED in sys.modules:
        return  # already loaded: suppressing it would save nothing
    _modules[PREFERRED] = None
    try:
        importlib.import_module("msgspec")
    finally:
        del _modules[PREFERRED]


_modules.setdefault(COMMAND_LINE, _command_line())
_import_msgspec()
