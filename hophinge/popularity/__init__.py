"""Popularity that decays, and what it is worth to fetch beforehand; decided without I/O."""
