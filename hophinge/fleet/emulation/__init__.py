"""Engines and services as stand-ins on loopback, for tests of the two programs and for experiments."""
