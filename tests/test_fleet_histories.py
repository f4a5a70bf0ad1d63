"""Real processes under drawn faults and steady requests: the rules, as clients, instances and the operator see them."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import pytest

from hophinge.fleet.emulation.loopback_fleet import LoopbackFleet, Reply, configuration_document
from hophinge.fleet.emulation.instance_server import FAILURES
from hophinge.fleet.forwarding.headers import find_field
from hophinge.load.rig.conditions import wait_until
from tests.fleet_faults import draw_faults
from tests.fleet_requests import BOUND_S, INSTANCES, MACHINES, PROMPT, ROUTES, begin, runs, streamed, taken

SEEDS = (1, 2)
NO_CONFIGURATION = 0  # of a head that has just started
RETRY_AFTER = b"retry-after"  # on an unsafe request: nothing ran, it may be sent again


@dataclass
class Seen:
    """What clients got, and which configuration each life of a head was seen under."""

    replies: dict[str, Reply] = field(default_factory=dict)
    versions: dict[tuple[int, int], list[int]] = field(default_factory=lambda: defaultdict(list))


async def _ask(fleet: LoopbackFleet, random: Random, seen: Seen) -> None:
    """Send one request after another, each under a name of its own and once only."""
    for count in itertools.count():
        number = random.randrange(MACHINES)
        path, name = (("/m/q", f"m{count}"), ("/p/q", f"p{count}"))[count % 2]
        fields = PROMPT if path == "/m/q" else ()
        try:
            seen.replies[name] = await fleet.request(number, path, name, *fields)
            life = number, fleet.head(number).starts
            member = await fleet.call(fleet.address(number, 1), "GET", "/v1/member", b"", [(b"Host", b"c")])
        except FAILURES:
            await asyncio.sleep(0)
            continue
        seen.versions[life].append(json.loads(member.body)["configuration"] or NO_CONFIGURATION)


async def _faults(fleet: LoopbackFleet, random: Random) -> int:
    """Let every fault come once while configurations change; tells the last version."""
    version = 1
    for fault in draw_faults(random):
        number = random.randrange(MACHINES)
        await fault.begin(fleet, number)
        version += 1
        routes = (*ROUTES, (f"/v{version}/", "unsafe", "plain"))
        other = (number + random.randrange(1, MACHINES)) % MACHINES
        await wait_until([taken(fleet, other, configuration_document(version, routes), version - 1)], BOUND_S)
        await wait_until(
            [fleet.ready_condition(one, version, len(INSTANCES)) for one in range(MACHINES) if one != number], BOUND_S
        )
        await fault.repair(fleet, number)
        await wait_until([fleet.serving_condition(one, version) for one in range(MACHINES)], BOUND_S)
        await wait_until([fleet.ready_condition(one, version, len(INSTANCES)) for one in range(MACHINES)], BOUND_S)
    return version


def _check(seen: Seen, counted: Counter[str], version: int) -> None:
    assert len(seen.replies) > 20, "requests went on through the faults"
    for name, reply in seen.replies.items():
        if name.startswith("p"):
            assert counted[name] <= 1, f"{name} ran {counted[name]} times"
            assert reply.status != 200 or reply.body.endswith(f" {name}".encode())
            sent_again = find_field(reply.fields, RETRY_AFTER) is not None
            assert not sent_again or counted[name] == 0, f"{name} ran, and its client was told to send it again"
        elif reply.status == 200 and reply.is_complete:
            assert streamed(reply), f"{name} has a gap or a repeat: {reply.body!r}"
    assert any(reply.status == 200 for reply in seen.replies.values())
    for life, versions in seen.versions.items():
        assert versions == sorted(versions), f"head {life} went back: {versions}"
        assert versions[-1] <= version


@pytest.mark.parametrize("seed", SEEDS)
def test_rules_hold_while_machines_fail_one_after_another(tmp_path: Path, seed: int) -> None:
    async def run() -> None:
        random, seen = Random(seed), Seen()
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await begin(fleet)
            await wait_until(
                [fleet.serving_condition(number, 1) for number in range(MACHINES)], BOUND_S
            )  # a late seed has joined
            asking = asyncio.create_task(_ask(fleet, Random(seed + 1_000), seen))
            try:
                version = await _faults(fleet, random)
            finally:
                asking.cancel()
                await asyncio.gather(asking, return_exceptions=True)
            _check(seen, runs(fleet), version)

    asyncio.run(run())
