"""Scorers as plug-ins, and weights that they share; decided without I/O."""
