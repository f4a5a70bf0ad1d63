"""Drains and releases agreed across the fleet: who may be out, and when; decided without I/O."""
