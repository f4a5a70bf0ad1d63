"""The composition root: start, signals, limits and end of a head."""
