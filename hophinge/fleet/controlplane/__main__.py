"""Starts a control member."""

from hophinge.fleet.controlplane.program import serve
from hophinge.fleet.program import run

if __name__ == "__main__":
    run(serve)
