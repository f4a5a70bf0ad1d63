"""Real processes on loopback, the network between them, and what goes wrong with both: for tests and measurements."""
