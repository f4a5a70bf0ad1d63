"""Placement: chooses the instance for each attempt by the request's key, its size, and the load of the instances."""
