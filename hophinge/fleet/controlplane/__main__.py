"""Entry point of a control member."""

from hophinge.fleet import early_signals  # isort: skip  # noqa: F401 - before slow imports

from hophinge.fleet.controlplane.program import serve
from hophinge.fleet.program import run

if __name__ == "__main__":
    run(serve)
