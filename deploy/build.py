"""Builds what a deploy file runs: `python3 deploy/build.py system` or `python3 deploy/build.py head`, at the root.

`system` is the router fleet, with its dependencies in `target/deps`; `head` is the head in service, in `.venv`. Needs
Python with pip (and venv for `head`), and no other program. Only wheels are installed: a source archive could need a
compiler, which no machine has to have. A build that is complete is not repeated until its requirements change; one that
was interrupted is begun anew.
"""

from __future__ import annotations

import compileall
import importlib.util
import shutil
import subprocess
import sys
import venv
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "hophinge"


class BuildError(Exception):
    """The build failed; the text is for an operator."""


@dataclass(frozen=True, slots=True)
class Target:
    """A part that is built."""

    requirements: Path
    marker: Path  # a copy of the requirements that were installed
    folder: Path  # what is removed before a new build
    is_environment: bool  # a virtual environment, and not a folder of packages


TARGETS = {
    "system": Target(
        ROOT / "deploy" / "system-requirements.txt",
        ROOT / "target" / "system-requirements.txt",
        ROOT / "target" / "deps",
        False,
    ),
    "head": Target(ROOT / "requirements.txt", ROOT / ".venv" / "requirements.txt", ROOT / ".venv", True),
}


def is_built(target: Target) -> bool:
    """Return whether the requirements are installed as they are now."""
    is_complete = target.marker.is_file() and target.folder.is_dir()
    return is_complete and target.marker.read_bytes() == target.requirements.read_bytes()


def create_environment(folder: Path) -> None:
    """Create a virtual environment with pip.

    Raises:
        BuildError: This Python cannot create one.

    """
    try:
        venv.create(folder, symlinks=True, with_pip=True)
    except subprocess.CalledProcessError as error:
        raise BuildError("no pip for a virtual environment: install the system package python3-venv") from error


def install(target: Target) -> None:
    """Install the requirements.

    Raises:
        BuildError: pip is missing, or a requirement cannot be had as a wheel.

    """
    if importlib.util.find_spec("pip") is None and not target.is_environment:
        raise BuildError("Python has no pip: install the system package python3-pip")
    target.marker.unlink(missing_ok=True)
    shutil.rmtree(target.folder, ignore_errors=True)
    destination: tuple[str, ...] = ()
    python = sys.executable
    if target.is_environment:
        create_environment(target.folder)
        python = str(target.folder / "bin" / "python")
    else:
        destination = ("--target", str(target.folder))
    words = [python, "-m", "pip", "install", "-q", "--only-binary=:all:", *destination, "-r", str(target.requirements)]
    if subprocess.run(words, cwd=ROOT, check=False).returncode != 0:
        name = target.requirements.relative_to(ROOT)
        raise BuildError(f"not all of {name} can be had as wheels for this Python and machine; pip names them above")
    target.marker.parent.mkdir(exist_ok=True)
    shutil.copyfile(target.requirements, target.marker)


def main(names: list[str]) -> int:
    """Build the named target; return the exit status."""
    if len(names) != 1 or names[0] not in TARGETS:
        print(f"build: name one of {', '.join(TARGETS)}", file=sys.stderr)
        return 2
    target = TARGETS[names[0]]
    try:
        if not is_built(target):
            install(target)
    except BuildError as error:
        print(f"build: {error}", file=sys.stderr)
        return 1
    # The sources are read-only where the programs run, so each start would compile them again.
    return 0 if compileall.compile_dir(SOURCES, quiet=1) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
