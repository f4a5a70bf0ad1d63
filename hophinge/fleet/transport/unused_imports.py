"""Suppresses imports of the HTTP libraries that are not used: start time and memory count on small machines.

httpcore loads `trio` and `sniffio` where they are installed, and `certifi` for TLS, which the programs do not use: they
run on asyncio alone, without TLS. Imported before httpcore.
"""

from __future__ import annotations

import sys
from types import ModuleType

ABSENT = ("trio", "sniffio")  # an import of it fails as if it were not installed
EMPTY = ("certifi",)  # imported by httpcore for a function that is only called for TLS

_modules: dict[str, ModuleType | None] = sys.modules  # type: ignore[assignment]
for _name in ABSENT:
    _modules.setdefault(_name, None)
for _name in EMPTY:
    _modules.setdefault(_name, ModuleType(_name))
