"""The program that carries the traffic."""
