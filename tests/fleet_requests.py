"""A fleet on loopback with two services, and how its answers and the instances' records are read."""

from __future__ import annotations

import json
from collections import Counter

from hophinge.fleet.emulation.loopback_fleet import READY_PORT, LoopbackFleet, Reply, configuration_document
from hophinge.load.rig.conditions import Condition, wait_until

BOUND_S = 30.0
MACHINES = 3
ROUTES = (("/m/", "streaming", "models"), ("/p/", "unsafe", "plain"))
PROMPT = (
    (b"Hophinge-Model", b"m"),
    (b"Hophinge-Token-Usage", b"900,80"),
    (b"Hophinge-Prompt-Prefix", b"aa:700,bb:200"),
)
INSTANCES = (
    ("p1", "models", "prefill"),
    ("p2", "models", "prefill"),
    ("d1", "models", "decode"),
    ("d2", "models", "decode"),
    ("s1", "plain", ""),
    ("s2", "plain", ""),
)


async def begin(fleet: LoopbackFleet) -> None:
    await fleet.start()
    for identity, service, stage in INSTANCES:
        await fleet.start_instance(identity, service, stage)
    await wait_until([taken(fleet, 0, configuration_document(1, ROUTES), 0)], BOUND_S)
    await wait_until([fleet.ready_condition(number, 1, len(INSTANCES)) for number in range(MACHINES)], BOUND_S)
    # A head that doesn't know how many share the retry budget repeats little.
    await wait_until([counts_heads(fleet, number) for number in range(MACHINES)], BOUND_S)


def taken(fleet: LoopbackFleet, number: int, data: bytes, base: int) -> Condition:
    async def look() -> tuple[bool, str]:
        status = await fleet.configure(number, data, base)
        return status == 200, f"answered {status}"

    return Condition(fleet.control(number), "takes a configuration", look)


def runs(fleet: LoopbackFleet) -> Counter[str]:
    return Counter(run.request for engine in fleet.engines_by_address.values() for run in engine.runs)


def streamed(reply: Reply) -> bool:
    ids = [line for line in reply.body.decode().splitlines() if line.startswith("id:")]
    return reply.status == 200 and reply.is_complete and ids == [f"id: {number}" for number in range(1, 5)]


def counts_heads(fleet: LoopbackFleet, number: int) -> Condition:
    """A head has been there for long enough to know how many share the retry budget."""

    async def look() -> tuple[bool, str]:
        reply = await fleet.call(fleet.address(number, READY_PORT), "GET", "/v1/member", b"", [(b"Host", b"c")])
        heads = json.loads(reply.body)["heads-for-budgets"]
        return heads >= len(fleet.ips), f"counts {heads}"

    return Condition(fleet.head(number), "counts all heads", look)
