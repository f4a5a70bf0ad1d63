"""Divides the machine's limits: sockets between backends and clients, memory for bodies in flight."""

from __future__ import annotations

from typing import NamedTuple

from hophinge.head.config import Limits
from hophinge.net.operations_server import MAX_CALLERS

MIN_SOCKETS = 16  # for backends and for clients each, however many another process holds
RESERVED_SOCKETS = 40  # of the limit, for files, discovery and what is just being closed
BACKEND_FRACTION = 0.4  # of the rest, for connections to backends
CLIENT_DIVISOR = 3  # of the limit, what clients hold for requests
IDLE_DIVISOR = 5  # of the limit may rest: clients may hold a third of it for requests
MAX_IDLE_PER_BACKEND = 24  # connections to one backend, of all heads together, beyond which none are kept idle
SMALL_FLEET = 8  # whose requests never filled a backend's table: opening anew costs more than what stays idle
BASE_MB = 36  # of memory, whatever is on its way
BODY_MEMORY_FRACTION = (
    0.4  # of the rest, for bodies on their way; as much again is copies, and what the allocator keeps
)
MIN_BODIES_MB = 2.0


class ProcessLimits(NamedTuple):
    """The limits of one process."""

    body_bytes: int  # bytes on their way
    backend_connections: int  # connections to all backends
    idle_per_backend: int  # connections kept idle to one backend
    client_connections: int  # connections of clients
    idle_clients: int  # of those, without a request


def divide_limits(limits: Limits, processes: int, used_elsewhere: int, gateways: int, control: bool) -> ProcessLimits:
    """Return the limits of a process when another process uses so many of the descriptors.

    A connection carries one request, so these bound busy ones; idle ones are among them. Clients that say nothing
    need room besides those that ask, backends do not.
    """
    body_mb = (limits.memory_mb - processes * BASE_MB) * BODY_MEMORY_FRACTION / processes
    left = limits.sockets - used_elsewhere
    sockets = left - RESERVED_SOCKETS - (MAX_CALLERS if control else 0)
    to_backends = max(MIN_SOCKETS, int(sockets * BACKEND_FRACTION))
    heads = gateways * processes
    # Clients' connections move from one process to the other: those that the other still counts are on their way,
    # and a bound below what clients hold would close them and let new ones wait just then.
    moving = min(left - RESERVED_SOCKETS, limits.sockets // CLIENT_DIVISOR + MIN_SOCKETS)
    return ProcessLimits(
        body_bytes=int(max(MIN_BODIES_MB, body_mb) * 1024 * 1024),
        backend_connections=to_backends,
        idle_per_backend=max(1, MAX_IDLE_PER_BACKEND // heads) if heads > SMALL_FLEET else to_backends,
        client_connections=max(MIN_SOCKETS, sockets - to_backends, moving if used_elsewhere else 0),
        idle_clients=max(8, limits.sockets // IDLE_DIVISOR),
    )
