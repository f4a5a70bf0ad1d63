"""Keeps out what the HTTP libraries load on the chance that somebody uses it: start and memory count on small machines.

httpcore loads `trio` and `sniffio` where they happen to be installed beside, and asks for the latter at each call; both
programs run on asyncio alone. Imported before it.
"""

from __future__ import annotations

import sys
from types import ModuleType

UNUSED = ("trio", "sniffio")

_modules: dict[str, ModuleType | None] = sys.modules    # type: ignore[assignment]
for _name in UNUSED:
    _modules.setdefault(_name, None)        # an import of it fails as if it were not installed
