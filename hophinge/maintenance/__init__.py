"""Coordinates drains and releases across the fleet: which processes may be out, and when; decided without I/O."""
