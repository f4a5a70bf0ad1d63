"""The command line; a head starts without it."""
