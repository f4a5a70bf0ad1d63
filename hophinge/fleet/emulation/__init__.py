"""Emulated engines and services, on loopback or in virtual time, for tests of the two programs and for experiments."""
