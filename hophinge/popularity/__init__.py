"""Predicts the demand for objects and plans prefetches; decided without I/O."""
