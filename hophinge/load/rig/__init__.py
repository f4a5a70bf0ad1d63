"""Runs real processes and an emulated network on loopback, with injected faults, for tests and measurements."""
