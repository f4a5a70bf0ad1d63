"""The command line of the fleet."""
