"""A one-line change of one module, and how it is imported in place of the sound one."""

from __future__ import annotations

import importlib.util
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = "hophinge"


@dataclass(frozen=True, slots=True)
class Mutant:
    """A change of one place of one module, and the test that finds it."""

    name: str
    module: str
    old: str
    new: str
    found_by: str

    def path(self) -> Path:
        """Tell where the module stands."""
        return ROOT / PACKAGE / f"{self.module}.py"

    def source(self) -> str:
        """Tell the module's mutated text; raises ValueError where the place is not there once."""
        text = self.path().read_text()
        if text.count(self.old) != 1:
            raise ValueError(f"{self.name}: {text.count(self.old)} places in {self.module}.py")
        return text.replace(self.old, self.new)


def install(mutant: Mutant) -> None:
    """Have the mutated module imported in place of the sound one; nothing of the library may be imported before."""
    name = f"{PACKAGE}.{mutant.module.replace('/', '.')}"
    if name in sys.modules:
        raise RuntimeError(f"{name} is imported already")
    path = mutant.path()
    spec = importlib.util.spec_from_file_location(name, path)
    assert spec is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    exec(compile(mutant.source(), str(path), "exec"), module.__dict__)
