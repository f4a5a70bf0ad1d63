"""Warmup records at control members and heads in virtual time, and the number of heads that a head counts."""

from __future__ import annotations

import asyncio
from functools import partial

from hophinge.coordination.dissemination import GossipRecord
from hophinge.coordination.leases import LEASE_DURATION_S
from hophinge.coordination.view import Replica
from hophinge.fleet.placement.hints import SuspectedInstances
from hophinge.fleet.registry.instance import READY
from hophinge.fleet.registry.warmup import WARMUP_PREFIX, Warmup, warmup_of
from tests.control_world import HEARTBEAT_S, ControlWorld, _settings
from tests.virtual_loop import play

FORMED_S = 6.0
HEAL_S = 12.0
ONE, TWO, THREE, FOUR, FIVE = (f"10.0.0.{number}:7660" for number in range(1, 6))


def _listen(world: ControlWorld) -> dict[str, Warmup | None]:
    """Return a mapping that records the newest warmup record at each head."""
    newest: dict[str, Warmup | None] = {}

    def receive(address: str, identity: str, record: GossipRecord) -> None:
        newest[address] = warmup_of(record)

    for address, head in world.heads.items():
        head.listen(WARMUP_PREFIX, partial(receive, address))
    return newest


def test_a_suspicion_at_one_member_reaches_all_heads_and_a_heartbeat_at_another_ends_it() -> None:
    async def run() -> None:
        world = ControlWorld(1)
        newest = _listen(world)
        await asyncio.sleep(FORMED_S)
        assert await world.send_heartbeat(ONE, "i", READY, 1)
        await asyncio.sleep(0.5)
        assert newest == dict.fromkeys(world.heads, Warmup(0))
        soft_state = world.members[TWO].soft_state
        assert soft_state is not None
        soft_state.receive(Replica("head", "10.0.1.1:7661", "z1"), SuspectedInstances(("i",)))
        await asyncio.sleep(0.5)
        assert [warmup is not None and warmup.is_confirmed for warmup in newest.values()] == [False] * len(world.heads)
        assert await world.send_heartbeat(FIVE, "i", READY, 2)
        await asyncio.sleep(0.5)
        assert newest == dict.fromkeys(world.heads, Warmup(0))

    play(run())


def test_a_head_started_in_the_smaller_partition_counts_no_heads_until_the_partition_heals() -> None:
    async def run() -> None:
        world = ControlWorld(2)
        await asyncio.sleep(FORMED_S)
        assert {head.connected_head_count(world.loop.time()) for head in world.heads.values()} == {len(world.heads)}
        settings = _settings("10.0.1.99", "z1", False, False)
        smaller = {ONE, FOUR, settings.internal_data_address}
        world.cut(smaller, (set(world.members) | set(world.heads)) - smaller)
        await asyncio.sleep(4 * HEARTBEAT_S)
        world._add_head(settings)
        started = world.heads[settings.internal_data_address]
        await asyncio.sleep(2 * LEASE_DURATION_S)
        assert started.renewal.holds_lease(world.loop.time())
        assert started.connected_head_count(world.loop.time()) == 0
        world.heal()
        await asyncio.sleep(HEAL_S)
        assert started.connected_head_count(world.loop.time()) == len(world.heads)

    play(run())
