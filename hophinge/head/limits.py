"""Divides the machine's limits among a head's processes: sockets for backends and clients, memory for bodies."""

from __future__ import annotations

from typing import NamedTuple

from hophinge.head.config import Limits
from hophinge.net.operations_server import MAX_CALLERS

MIN_SOCKETS = 16  # for backends and for clients each, however many another process uses
RESERVED_SOCKETS = 40  # for files, discovery and connections that are being closed
BACKEND_FRACTION = 0.4  # of the rest, for connections to backends
CLIENT_DIVISOR = 3  # of the socket limit: connections that clients may hold for requests, also in an upgrade
IDLE_DIVISOR = 5  # of the socket limit: clients' idle connections, besides those with a request
MAX_IDLE_PER_BACKEND = 24  # connections to one backend, from all heads together; idle ones beyond it are closed
SMALL_FLEET = 8  # processes; so few never fill a backend's connection table, and reconnecting costs more than idling
BASE_MB = 36  # memory of a process without bodies
BODY_MEMORY_FRACTION = 0.4  # of the rest, for bodies in flight; copies and the allocator need as much again
MIN_BODIES_MB = 2.0


class ProcessLimits(NamedTuple):
    """The limits of one process."""

    body_bytes: int  # of bodies in flight
    backend_connections: int  # to all backends
    idle_per_backend: int  # connections to one backend beyond which idle ones are closed
    client_connections: int
    idle_clients: int  # client connections without a request


def divide_limits(limits: Limits, processes: int, used_elsewhere: int, gateways: int, control: bool) -> ProcessLimits:
    """Return the limits of one process; `used_elsewhere`: file descriptors that other processes of this head use.

    A connection carries one request at a time, so the limits of connections, which include idle ones, also bound open
    requests. Idle clients need connections besides the busy ones; idle connections to backends do not count extra.
    """
    body_mb = (limits.memory_mb - processes * BASE_MB) * BODY_MEMORY_FRACTION / processes
    left = limits.sockets - used_elsewhere
    sockets = left - RESERVED_SOCKETS - (MAX_CALLERS if control else 0)
    to_backends = max(MIN_SOCKETS, int(sockets * BACKEND_FRACTION))
    heads = gateways * processes
    # In an upgrade, clients move from the old process to the new one while the old one still counts their connections.
    # A limit below what clients hold would close connections and make new ones wait at that very moment.
    while_moving = min(left - RESERVED_SOCKETS, limits.sockets // CLIENT_DIVISOR + MIN_SOCKETS)
    return ProcessLimits(
        body_bytes=int(max(MIN_BODIES_MB, body_mb) * 1024 * 1024),
        backend_connections=to_backends,
        idle_per_backend=max(1, MAX_IDLE_PER_BACKEND // heads) if heads > SMALL_FLEET else to_backends,
        client_connections=max(MIN_SOCKETS, sockets - to_backends, while_moving if used_elsewhere else 0),
        idle_clients=max(8, limits.sockets // IDLE_DIVISOR),
    )
