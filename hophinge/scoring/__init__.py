"""Scorers as plug-ins, and the weights that they share with peers; no I/O."""
