"""Sockets of the two programs: frames between members, HTTP servers and clients, timers."""
