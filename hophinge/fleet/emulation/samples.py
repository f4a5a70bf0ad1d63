"""Sample data of a fleet of any size, for measurements of bytes, time and memory."""

from __future__ import annotations

import json

from random import Random

from hophinge.coordination.dissemination import GossipStore
from hophinge.coordination.leases import LeaseHolder
from hophinge.fleet.placement.hints import PlacementHint
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.registry.instance import READY, Instance, Model, record_of


def instance(number: int) -> Instance:
    """Return an instance."""
    stage = "prefill" if number % 4 == 0 else "decode"
    return Instance(
        f"i-{number:010x}",
        f"service{number % 22}",
        f"10.{number % 8}.{number // 250}.{number % 250}:8080",
        f"zone-{number % 19}",
        "v1",
        64,
        READY,
        stage,
        (Model("m", 1),),
    )


def gossip_store(count: int) -> GossipStore:
    """Return a store with the records of instances."""
    store = GossipStore()
    for number in range(count):
        store.store_if_newer(0.0, record_of(instance(number), 1))
    return store


def configuration_document(routes: int) -> bytes:
    """Return a configuration with a number of routes."""
    rows = [
        {
            "name": f"r-{number:07x}",
            "host": f"host{number % 50}.example",
            "path-prefix": f"/t{number:06x}/",
            "route-type": "streaming",
            "timeout-ms": 8000,
            "target-latency-ms": 720,
            "priority": 1,
            "service": f"service{number % 22}",
            "max-attempts": 2,
            "session-affinity": True,
            "resumable": True,
            "gap_aim_ms": 58,
        }
        for number in range(routes)
    ]
    services = [
        {
            "name": f"service{number}",
            "max-connections": 390,
            "engine": {"slots": 64, "kv-cache-tokens": 441937, "handle-ttl-s": 5.0},
        }
        for number in range(22)
    ]
    return json.dumps({"version": 7, "routes": rows, "services": services}).encode()


def lease_holder(number: int) -> LeaseHolder:
    """Return the holder of a lease."""
    address = f"10.1.{number // 250}.{number % 250}:7661"
    return LeaseHolder(f"{number:016x}", f"edge-zone-{number % 19}-{number}", address, f"zone-{number % 19}")


SAMPLE_JOB_ID = 1 << 39  # of the size that most random ids have


def hint(number: int) -> PlacementHint:
    """Return a placement hint."""
    segments = ((f"{number:08x}", 2520), (f"{number + 1:08x}", 3780), (f"{number + 2:08x}", 2890))
    return PlacementHint(f"i-{number % 1700:010x}", 2890, segments, 2, 9300, SAMPLE_JOB_ID + number)


def placement(count: int) -> Placement:
    """Return a placement with instances of one service."""
    placement = Placement("zone-1", lambda identity: None, Random(1))
    for number in range(count):
        member = instance(number * 22)
        placement.instances.update_instance(member.identity, member)
    placement.instances.configure({"service0": 441_937})
    return placement
