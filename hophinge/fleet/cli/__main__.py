"""Starts the command line."""

from hophinge.fleet.cli.commands import main

if __name__ == "__main__":
    main()
