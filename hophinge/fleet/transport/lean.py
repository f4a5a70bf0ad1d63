"""Keeps out what the HTTP libraries load on the chance that somebody uses it: start and memory count on small machines.

httpcore loads `trio` where it happens to be installed beside; both programs run on asyncio alone. Imported before it.
"""

from __future__ import annotations

import sys
from types import ModuleType

UNUSED = ("trio",)

_modules: dict[str, ModuleType | None] = sys.modules    # type: ignore[assignment]
for _name in UNUSED:
    _modules.setdefault(_name, None)        # an import of it fails as if it were not installed
