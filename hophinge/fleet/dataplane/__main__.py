"""Entry point of a head of the fleet."""

from hophinge.fleet import early_signals  # isort: skip  # noqa: F401 - before imports that take long

from hophinge.fleet.dataplane.program import serve
from hophinge.fleet.program import run

if __name__ == "__main__":
    run(serve)
